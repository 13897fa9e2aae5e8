package broker_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cyclamenrelay.example/batch"
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/wire"
)

// entryNode returns the testbed's entry as other entries know it.
func (b *testbed) entryNode(name string) wire.Node {
	return wire.Node{Name: name, Address: b.entry.Address(), DataCentre: "dc", Roles: []string{"entry"}}
}

// Pattern: a pool whose targets report to other entries only. An entry that has no target
// for a job asks the others and runs it there.
func TestEntryUsesTargetsOfOthers(t *testing.T) {
	lender := newTestbedWith(t, "lender", nil)
	lender.agent("a1", 1000, done)
	b := newTestbedWith(t, "entry-1", func() []wire.Node { return []wire.Node{lender.entryNode("lender")} })
	assert.Equal(t, outcomeKind(b.submit(job("j", batch.Step{Count: 2}))), "complete")
	assert.Equal(t, len(lender.startedTasks()), 2)
}

// Pattern: all entries are full. Jobs are refused after one round trip, and a flood of them
// causes few questions.
func TestFullFleetIsAskedRarely(t *testing.T) {
	full := func(ctx context.Context, _ wire.StartRun) wire.RunEnded {
		<-ctx.Done()
		return wire.RunEnded{End: batch.Stopped, Proof: batch.ProofListing}
	}
	lender := newTestbedWith(t, "lender", nil)
	lender.agent("a1", 100, full)
	questions := 0
	b := newTestbedWith(t, "entry-1", func() []wire.Node {
		questions++
		return []wire.Node{lender.entryNode("lender")}
	})
	j := job("j", batch.Step{Count: 1})
	j.Steps[0].Need.CPU = 200
	before := time.Now()
	for range 1000 {
		assert.Equal(t, outcomeKind(b.submit(j)), "refuse")
	}
	const atMostEvery = 50 * time.Millisecond
	assert.Assert(t, questions <= 1+int(time.Since(before)/atMostEvery), "%d questions", questions)
}

// Guards against starting a delayed order: an entry confirms only runs that it waits for.
func TestOnlyWantedRunsAreConfirmed(t *testing.T) {
	b := newTestbed(t)
	asked := make(chan wire.Message, 2)
	node := make(chan *link.Node, 1)
	b.agent("a1", 1000, func(ctx context.Context, m wire.StartRun) wire.RunEnded {
		n := <-node
		for _, run := range []uint64{m.Run, m.Run + 1} {
			a, _ := n.Call(ctx, link.Dest{Address: b.entry.Address()}, wire.ConfirmRun{Task: m.Task, Run: run})
			asked <- a
		}
		return done(ctx, m)
	})
	node <- b.agentNode
	assert.Equal(t, outcomeKind(b.submit(job("j", batch.Step{Count: 1}))), "complete")
	_, confirmed := (<-asked).(wire.Done)
	assert.Assert(t, confirmed, "a run in progress was not confirmed")
	_, confirmed = (<-asked).(wire.Done)
	assert.Assert(t, !confirmed, "a run that the entry does not know was confirmed")
	other := b.node("a2", keys.Agent)
	b.serve(other)
	a, err := other.Call(t.Context(), link.Dest{Address: b.entry.Address()}, wire.ConfirmRun{Task: "j.0.0.0", Run: 1})
	assert.NilError(t, err)
	_, confirmed = a.(wire.Done)
	assert.Assert(t, !confirmed, "a run was confirmed to an agent that it was not sent to")
}

// Pattern: a target has filled up since its last report. Its agent returns the task, which
// goes elsewhere; the agent may get it again later.
func TestReturnedTaskIsPlacedAgain(t *testing.T) {
	b := newTestbed(t)
	answer := func(_ context.Context, m wire.StartRun) wire.RunEnded {
		if m.Returnable {
			return wire.RunEnded{End: batch.NotStarted, Proof: batch.ProofNotSent, Returned: true}
		}
		return wire.RunEnded{End: batch.Done, Proof: batch.ProofListing}
	}
	b.agent("a1", 1000, answer)
	assert.Equal(t, outcomeKind(b.submit(job("j", batch.Step{Count: 3}))), "complete")
	assert.Equal(t, len(b.startedTasks()), 9, "each of three tasks is returned twice, then waits")
}

// Guards against acting on a permission that has run out: an entry that was paused until
// after the job's limit does not confirm its run, though its call is still open.
func TestRunIsNotConfirmedAfterTheLimit(t *testing.T) {
	// Contexts end by the real clock, which is far from the limit.
	clock := clockwork.NewFakeClockAt(time.Now().Add(time.Hour))
	b := newTestbedWithClock(t, "entry-1", nil, clock)
	node := make(chan *link.Node, 1)
	asked := make(chan wire.Message, 2)
	b.agent("a1", 1000, func(ctx context.Context, m wire.StartRun) wire.RunEnded {
		n := <-node
		ask := func() {
			a, _ := n.Call(ctx, link.Dest{Address: b.entry.Address()}, wire.ConfirmRun{Task: m.Task, Run: m.Run})
			asked <- a
		}
		ask()
		clock.Advance(300 * time.Millisecond) // the agent does not count as silent yet
		ask()
		return done(ctx, m)
	})
	node <- b.agentNode
	j := job("j", batch.Step{Count: 1})
	j.Steps[0].Estimate = 10 * time.Millisecond
	b.broker.Submit(t.Context(), new(caller), queue(), j, clock.Now().Add(200*time.Millisecond))
	_, confirmed := (<-asked).(wire.Done)
	assert.Assert(t, confirmed)
	_, confirmed = (<-asked).(wire.Done)
	assert.Assert(t, !confirmed, "a run was confirmed after its job's limit")
}
