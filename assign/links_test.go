package assign_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/assign"
	"cyclamenrelay.example/batch"
	"cyclamenrelay.example/peers"
	"cyclamenrelay.example/wire"
)

// burstEnd is the end of the bursts. Simulations of large deployments end then, as they take
// minutes under the race detector.
const burstEnd = 11 * time.Second

// largeSize returns the size of the users' deployment of hundreds of machines.
func largeSize() size {
	return size{entries: 55, agents: 240, interval: timing().BusyInterval, cpu: 15_000, cores: 64_000, links: peers.HomeEntries, dataCentres: 5, until: burstEnd}
}

// mediumSize returns the size of the users' deployment of a hundred machines.
func mediumSize() size {
	return size{entries: 13, agents: 74, interval: timing().BusyInterval, cpu: 7000, cores: 64_000, links: peers.HomeEntries, dataCentres: 3, until: burstEnd}
}

// withAllEntries returns a deployment of the size in which each agent reports to all
// entries, as often as 100 reports a second from one agent and the greatest age of a
// report permit.
func (n size) withAllEntries() size {
	n.links = 0
	n.interval = min(time.Duration(n.entries)*10*time.Millisecond, timing().MaxReportAge-2*networkDelay)
	return n
}

// loads returns a steady load of 70 % and a burst of all kinds, or only the burst for a large
// deployment.
func loads(n size) []pattern {
	if n.agents > 100 {
		return patterns()[4:5]
	}
	return []pattern{patterns()[0], patterns()[4]}
}

// inTime returns the fraction of the jobs that ended in time.
func (w *simulation) inTime() float64 {
	all := w.byKind["all"]
	return float64(all.inTime) / float64(all.submitted)
}

// Pattern: many entries share the targets, at 70 % load and in a burst of all kinds. The
// fewer entries choose among the same targets, the more jobs end in time.
func TestFewEntriesShareATarget(t *testing.T) {
	for name, n := range map[string]size{"13 x 74": mediumSize(), "55 x 240": largeSize()} {
		for _, p := range loads(n) {
			few, all := simulate(n, p, assign.DefaultSettings(), 7), simulate(n.withAllEntries(), p, assign.DefaultSettings(), 7)
			t.Logf("%s, %s: in time %.3f, with reports to all entries %.3f", name, p.name, few.inTime(), all.inTime())
			assert.Assert(t, few.inTime() > all.inTime())
		}
	}
}

// Pattern: a target has filled up since its last report. It returns the task, and the entry
// places it again with the newer load.
func TestReturnedTasksFindFreeTargets(t *testing.T) {
	for name, n := range map[string]size{"3 x 11": currentSize(), "13 x 74": mediumSize(), "55 x 240": largeSize()} {
		for _, p := range loads(n) {
			waiting := simulate(n, p, assign.DefaultSettings(), 7)
			n.maxReturns = 2
			returning := simulate(n, p, assign.DefaultSettings(), 7)
			n.maxReturns = 0
			t.Logf("%s, %s: in time %.3f, when all tasks wait where they were sent %.3f", name, p.name, returning.inTime(), waiting.inTime())
			assert.Assert(t, returning.inTime() > waiting.inTime())
		}
	}
}

// Pattern: a tenth of the entries get four times the mean load, as clients are hashed to
// entries. They reach targets elsewhere within one more round trip.
func TestFullEntryBorrowsTargets(t *testing.T) {
	uneven := pattern{
		name: "uneven entries", factor: func(string, time.Duration) float64 { return 0.8 },
		entryFactor: func(e int, at time.Duration) float64 {
			if e%10 == 0 && between(at, 6*time.Second, 11*time.Second) {
				return 4
			}
			return 1
		},
	}
	n := largeSize()
	alone := simulate(n, uneven, assign.DefaultSettings(), 7)
	n.neighbours = 6
	borrowing := simulate(n, uneven, assign.DefaultSettings(), 7)
	refused := func(w *simulation) int { return w.byKind["all"].refused }
	t.Logf("refused %d, without borrowing %d, in time %.3f and %.3f", refused(borrowing), refused(alone), borrowing.inTime(), alone.inTime())
	assert.Assert(t, refused(borrowing) < refused(alone)/2)
	assert.Assert(t, borrowing.inTime() > alone.inTime())
}

// Pattern: an agent is slow to report. Its runs go on at the agent until the entry's lease
// ends, so its entry must not give them up before.
func TestSlowReportsKeepRunsUntilTheLeaseEnds(t *testing.T) {
	f := assign.New("e", "dc", timing())
	f.HandleReport(report("a", wire.TargetLoad{Incarnation: 1, Seq: 1}), "", epoch)
	assert.Equal(t, len(f.Silent(epoch.Add(timing().Lease))), 0)
	assert.Equal(t, len(f.Silent(epoch.Add(timing().Lease+1))), 1)
	_, ok := f.Place(assign.Task{Pool: "p", Need: batch.Resources{CPU: 100}}, epoch.Add(timing().MaxReportAge+1))
	assert.Assert(t, !ok, "a target got work %v after its last report", timing().MaxReportAge)
}

// Pattern: an entry asks another for targets. Only targets with free capacity are lent, and
// the age of their reports counts from the question.
func TestLentTargets(t *testing.T) {
	now := epoch.Add(100 * time.Millisecond)
	task := assign.Task{Pool: "p", Need: batch.Resources{CPU: 400}, Estimate: time.Second}
	lender, borrower := assign.New("e1", "dc", timing()), assign.New("e2", "dc", timing())
	lender.HandleReport(report("full", wire.TargetLoad{Incarnation: 1, Seq: 1, Used: batch.Resources{CPU: 700}}), "x:1", epoch)
	lender.HandleReport(report("half", wire.TargetLoad{Incarnation: 1, Seq: 1, Used: batch.Resources{CPU: 500}}), "x:2", epoch)
	lender.HandleReport(report("free", wire.TargetLoad{Incarnation: 1, Seq: 1}), "x:3", epoch)
	lent := lender.Lend(task, 5, now)
	assert.Equal(t, len(lent), 2)
	assert.Equal(t, lent[0].Report.Agent, "free")
	assert.Equal(t, lent[1].Age, 100*time.Millisecond)
	assert.Equal(t, len(lender.Lend(task, 1, now)), 1)

	asked := now.Add(time.Second)
	for _, l := range lent {
		assert.Assert(t, borrower.Borrow(l, asked, asked.Add(time.Millisecond)))
	}
	assert.Equal(t, borrower.Address("half"), "x:2")
	p, ok := borrower.Place(task, asked)
	assert.Assert(t, ok)
	assert.Equal(t, p.Agent, "free")
	assert.Assert(t, !borrower.Borrow(lent[0], asked, asked), "a lent target replaced a recent report")
	stale := asked.Add(timing().MaxReportAge)
	_, ok = borrower.Place(task, stale)
	assert.Assert(t, !ok, "a lent target got work though its report is %v old", timing().MaxReportAge+lent[1].Age)
	assert.Assert(t, !borrower.Borrow(lent[1], asked, stale), "a report was added that is too old")
}
