package ledger_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"cyclamenrelay.example/ledger"
	"cyclamenrelay.example/model"

	"gotest.tools/v3/assert"
)

var (
	ann    = ledger.Owner{Entry: "ann", Incarnation: 1}
	bob    = ledger.Owner{Entry: "bob", Incarnation: 1}
	digest = []byte("d")
)

func apply(t testing.TB, l *ledger.Ledger, now time.Duration, c ledger.Command) ledger.Result {
	b, err := ledger.Commands.Encode(c)
	assert.NilError(t, err)
	r, err := ledger.Results.Decode(l.Apply(0, now, b))
	assert.NilError(t, err)
	return r
}

func applyJob(t testing.TB, l *ledger.Ledger, c ledger.Command) ledger.JobResult {
	r, ok := apply(t, l, 0, c).(ledger.JobResult)
	assert.Assert(t, ok)
	return r
}

func applyClaim(t testing.TB, l *ledger.Ledger, c ledger.Command) ledger.ClaimResult {
	r, ok := apply(t, l, 0, c).(ledger.ClaimResult)
	assert.Assert(t, ok)
	return r
}

func openJob(key string) ledger.OpenJob {
	return ledger.OpenJob{Key: key, Digest: digest, Owner: ann, Tasks: 2, Agents: []string{"b", "a", "a"}}
}

func TestJob(t *testing.T) {
	l := ledger.New()
	r := applyJob(t, l, openJob("k"))
	assert.Equal(t, r.Verdict, ledger.Done)
	assert.DeepEqual(t, r.Job.Agents, []string{"a", "b"})
	resubmitted := openJob("k")
	resubmitted.Owner = bob
	assert.DeepEqual(t, applyJob(t, l, resubmitted), ledger.JobResult{Verdict: ledger.Exists, Job: r.Job})
	resubmitted.Digest = []byte("other")
	assert.Equal(t, applyJob(t, l, resubmitted).Verdict, ledger.Conflict)

	take := ledger.TakeJob{Key: "k", Epoch: 1, Owner: bob}
	assert.Equal(t, applyJob(t, l, take).Job.Epoch, uint64(2))
	assert.Equal(t, applyJob(t, l, take).Verdict, ledger.Done)
	assert.Equal(t, applyJob(t, l, ledger.TakeJob{Key: "k", Epoch: 1, Owner: ann}).Verdict, ledger.Fenced)
	assert.Equal(t, applyJob(t, l, ledger.AddAgents{Key: "k", Epoch: 1, Owner: ann, Agents: []string{"c"}}).Verdict, ledger.Fenced)
	assert.DeepEqual(t, applyJob(t, l, ledger.AddAgents{Key: "k", Epoch: 2, Owner: bob, Agents: []string{"c"}}).Job.Agents, []string{"a", "b", "c"})
	var many []string
	for i := range ledger.MaxAgents - 2 {
		many = append(many, fmt.Sprint("agent", i))
	}
	assert.Equal(t, applyJob(t, l, ledger.AddAgents{Key: "k", Epoch: 2, Owner: bob, Agents: many}).Verdict, ledger.Full)

	done := ledger.FinishJob{Key: "k", Epoch: 1, Owner: ann, Status: ledger.Complete, Outcomes: []byte{2, 2}, Answer: []byte("x")}
	assert.Equal(t, applyJob(t, l, done).Verdict, ledger.Fenced)
	done.Epoch, done.Owner = 2, bob
	first := applyJob(t, l, done)
	assert.Assert(t, first.Verdict == ledger.Done && first.Job.AnswerKept)
	done.Status, done.Outcomes, done.Answer = ledger.Failed, []byte{2, 4}, []byte("y")
	assert.DeepEqual(t, applyJob(t, l, done), ledger.JobResult{Verdict: ledger.Finished, Job: first.Job})
	assert.Equal(t, applyJob(t, l, ledger.TakeJob{Key: "k", Epoch: 2, Owner: ann}).Verdict, ledger.Finished)
	partial := ledger.FinishJob{Key: "k", Epoch: 2, Owner: bob, Status: ledger.Complete, Outcomes: []byte{2, 3}}
	_, ok := apply(t, l, 0, partial).(ledger.Invalid)
	assert.Assert(t, ok, "a job with a failed task was recorded as complete")
}

func TestClaim(t *testing.T) {
	l := ledger.New()
	open := ledger.OpenClaim{Key: "k", Digest: digest, Owner: ann, ID: "1"}
	assert.Equal(t, applyClaim(t, l, open).Verdict, ledger.Done)
	assert.Equal(t, applyClaim(t, l, open).Verdict, ledger.Done)
	other := ledger.OpenClaim{Key: "k", Digest: digest, Owner: bob, ID: "2"}
	assert.Equal(t, applyClaim(t, l, other).Verdict, ledger.Exists)
	assert.Equal(t, applyClaim(t, l, ledger.ReleaseClaim{Key: "k", Owner: bob, ID: "2"}).Verdict, ledger.Fenced)
	assert.Equal(t, applyClaim(t, l, ledger.ReleaseClaim{Key: "k", Owner: ann, ID: "1"}).Verdict, ledger.Done)
	assert.Equal(t, applyClaim(t, l, other).Verdict, ledger.Done)
	assert.Equal(t, applyClaim(t, l, ledger.FinishClaim{Key: "k", Owner: ann, ID: "1", Failed: &model.Failed{}}).Verdict, ledger.Fenced)
	big := ledger.FinishClaim{Key: "k", Owner: bob, ID: "2", Complete: &model.Complete{Status: 200, Body: make([]byte, ledger.MaxAnswer+1)}}
	r := applyClaim(t, l, big)
	assert.Assert(t, r.Claim.Status == ledger.Complete && !r.Claim.BodyKept && r.Claim.Complete.Body == nil)
	big.Complete, big.Failed = nil, &model.Failed{Reason: "late"}
	assert.DeepEqual(t, applyClaim(t, l, big), ledger.ClaimResult{Verdict: ledger.Finished, Claim: r.Claim})
	assert.Equal(t, applyClaim(t, l, ledger.ReleaseClaim{Key: "k", Owner: bob, ID: "2"}).Verdict, ledger.Finished)
}

func TestRetention(t *testing.T) {
	l := ledger.New()
	limits := ledger.Limits{Finished: time.Hour, Open: 3 * time.Hour, Records: 2, Bytes: 1 << 20}
	apply(t, l, 0, ledger.SetLimits{Limits: limits})
	applyJob(t, l, openJob("a"))
	applyJob(t, l, openJob("b"))
	applyJob(t, l, ledger.FinishJob{Key: "a", Epoch: 1, Owner: ann, Status: ledger.Failed, Outcomes: []byte{3, 4}})
	verdict := func(now time.Duration, key string) ledger.Verdict {
		return apply(t, l, now, openJob(key)).(ledger.JobResult).Verdict
	}
	assert.Equal(t, verdict(time.Hour-1, "c"), ledger.Full)
	assert.Equal(t, verdict(time.Hour-1, "a"), ledger.Exists)
	assert.Equal(t, verdict(time.Hour, "c"), ledger.Done)
	assert.Equal(t, verdict(0, "d"), ledger.Full)
	assert.Equal(t, verdict(3*time.Hour-1, "b"), ledger.Exists)
	assert.DeepEqual(t, apply(t, l, 4*time.Hour, ledger.Expire{}), ledger.Expired{Records: 2})
	assert.DeepEqual(t, apply(t, l, 0, ledger.SetLimits{Limits: limits}), ledger.Usage{Limits: limits})
}

func randomCommand(r *rand.Rand) ledger.Command {
	key, owner := fmt.Sprint("k", r.IntN(6)), []ledger.Owner{ann, bob}[r.IntN(2)]
	epoch, id := 1+r.Uint64N(3), fmt.Sprint(r.IntN(2))
	switch r.IntN(8) {
	case 0:
		return ledger.OpenJob{Key: key, Digest: digest, Owner: owner, Tasks: 1}
	case 1:
		return ledger.TakeJob{Key: key, Epoch: epoch, Owner: owner}
	case 2:
		return ledger.AddAgents{Key: key, Epoch: epoch, Owner: owner, Agents: []string{fmt.Sprint("a", r.IntN(70))}}
	case 3:
		return ledger.FinishJob{Key: key, Epoch: epoch, Owner: owner, Status: ledger.Complete, Outcomes: []byte{2}, Answer: []byte{byte(r.IntN(9))}}
	case 4:
		return ledger.OpenClaim{Key: key, Digest: digest, Owner: owner, ID: id}
	case 5:
		return ledger.FinishClaim{Key: key, Owner: owner, ID: id, Complete: &model.Complete{Status: r.IntN(9)}}
	case 6:
		return ledger.ReleaseClaim{Key: key, Owner: owner, ID: id}
	}
	return ledger.Expire{}
}

// TestRandomCommands applies random commands to a ledger, to one restored from
// its snapshot, and to a replay from the start: answers and states are equal,
// each epoch has one owner, and finished jobs keep their answer.
func TestRandomCommands(t *testing.T) {
	for seed := range uint64(40) {
		r := rand.New(rand.NewPCG(seed, 9))
		l, replay := ledger.New(), ledger.New()
		restored := ledger.New()
		owners := map[string]ledger.Owner{}
		answers := map[string]byte{}
		limits := ledger.SetLimits{Limits: ledger.Limits{Finished: time.Hour, Open: 2 * time.Hour, Records: 8, Bytes: 1 << 16}}
		apply(t, l, 0, limits)
		apply(t, replay, 0, limits)
		now := time.Duration(0)
		for i := range 600 {
			now += time.Duration(r.IntN(10)) * time.Minute
			c := randomCommand(r)
			a := apply(t, l, now, c)
			assert.DeepEqual(t, apply(t, replay, now, c), a)
			if i > 300 {
				assert.DeepEqual(t, apply(t, restored, now, c), a)
			}
			if i%100 == 0 {
				assert.NilError(t, restored.Restore(l.Snapshot()))
			}
			j, ok := a.(ledger.JobResult)
			if !ok || j.Job == nil {
				continue
			}
			epochID := fmt.Sprint(j.Job.Key, j.Job.Opened, j.Job.Epoch)
			if o, ok := owners[epochID]; ok {
				assert.Equal(t, j.Job.Owner, o)
			}
			owners[epochID] = j.Job.Owner
			if j.Job.Status == ledger.Complete {
				if b, ok := answers[epochID]; ok {
					assert.Equal(t, j.Job.Answer[0], b)
				}
				answers[epochID] = j.Job.Answer[0]
			}
		}
		assert.DeepEqual(t, restored.Snapshot(), l.Snapshot())
		assert.DeepEqual(t, replay.Snapshot(), l.Snapshot())
		assert.DeepEqual(t, restored.Usage(), l.Usage())
	}
}

// TestExpiryAfterQueueCompaction changes the owner of a job so often that the
// expiry queue of open records is compacted, at a different point in each run:
// the job is still dropped in time.
func TestExpiryAfterQueueCompaction(t *testing.T) {
	limits := ledger.Limits{Finished: 1, Open: time.Hour, Records: 2, Bytes: 1 << 20}
	for takes := uint64(4097); takes < 4102; takes++ {
		l := ledger.New()
		apply(t, l, 0, ledger.SetLimits{Limits: limits})
		applyJob(t, l, openJob("head"))
		applyJob(t, l, openJob("k"))
		for i := range takes {
			assert.Equal(t, applyJob(t, l, ledger.TakeJob{Key: "k", Epoch: i + 1, Owner: bob}).Verdict, ledger.Done)
		}
		assert.DeepEqual(t, apply(t, l, time.Hour, ledger.Expire{}), ledger.Expired{Records: 2})
	}
}

func FuzzLedger(f *testing.F) {
	r := rand.New(rand.NewPCG(1, 1))
	l := ledger.New()
	for range 30 {
		c := randomCommand(r)
		apply(f, l, 0, c)
		b, _ := ledger.Commands.Encode(c)
		f.Add(b, l.Snapshot())
	}
	f.Fuzz(func(t *testing.T, command, snapshot []byte) {
		l := ledger.New()
		_ = l.Restore(snapshot)
		_, err := ledger.Results.Decode(l.Apply(1, time.Hour, command))
		assert.NilError(t, err)
		_, err = ledger.Results.Decode(l.Query(command))
		assert.NilError(t, err)
		assert.NilError(t, ledger.New().Restore(l.Snapshot()))
	})
}

func BenchmarkOpenJob(b *testing.B) {
	l := ledger.New()
	var before, after runtime.MemStats
	commands := make([][]byte, b.N)
	agents := make([]string, 11)
	for i := range agents {
		agents[i] = fmt.Sprint("agent-", i)
	}
	for i := range b.N {
		commands[i], _ = ledger.Commands.Encode(ledger.OpenJob{Key: fmt.Sprint("key-", i), Digest: make([]byte, 32), Owner: ann, Tasks: 100, Agents: agents})
	}
	limits, _ := ledger.Commands.Encode(ledger.SetLimits{Limits: ledger.Limits{Finished: 1, Open: 1, Records: b.N, Bytes: 1 << 40}})
	l.Apply(0, 0, limits)
	runtime.GC()
	runtime.ReadMemStats(&before)
	b.ResetTimer()
	for _, c := range commands {
		l.Apply(0, 0, c)
	}
	b.StopTimer()
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(b.N), "B/record")
	b.ReportMetric(float64(l.Usage().Bytes)/float64(b.N), "charged-B/record")
	runtime.KeepAlive(commands)
}
