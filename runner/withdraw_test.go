package runner_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/batch"
	"cyclamenrelay.example/wire"
)

// withdraw returns whether the agent agrees to withdraw a run.
func (b *testbed) withdraw(task string, run uint64, query bool) bool {
	a, err := b.entry.CallPeer(b.t.Context(), "agent-1", wire.WithdrawRun{Task: task, Run: run, Query: query})
	assert.NilError(b.t, err)
	_, done := a.(wire.Done)
	return done
}

// Guards against an answer that a run was withdrawn while it runs, or that starts later.
func TestOnlyWaitingRunsAreWithdrawn(t *testing.T) {
	b := newTestbed(t, newTarget())
	b.openTarget()
	b.startRunning("t1")
	waiting := b.start("t2", 1000)
	b.await("the second task to wait", func() bool { return b.lastReport().Backlog.Total().CPU == 1000 })
	assert.Assert(t, !b.withdraw("t1", 1, false), "a run in progress was withdrawn")
	assert.Assert(t, !b.withdraw("t2", 2, false), "an unknown run was withdrawn")
	assert.Assert(t, b.withdraw("t2", 1, true))
	assert.Equal(t, len(waiting), 0, "a query withdrew the run")
	assert.Assert(t, b.withdraw("t2", 1, false))
	e := <-waiting
	assert.Equal(t, e.End, batch.NotStarted)
	assert.Equal(t, e.Proof, batch.ProofNotSent)
	b.target.finish("t1", 1, batch.Done)
	b.await("the capacity to be free", func() bool { return b.lastReport().Used.CPU == 0 })
	assert.Assert(t, !b.target.isRunning("t2", 1), "a withdrawn run started")
}

// Guards against holding tasks that wait at a stopping agent until its end, where it is not
// known any more that they have not started.
func TestStoppingAgentReturnsWaitingTasks(t *testing.T) {
	b := newTestbed(t, newTarget())
	b.openTarget()
	running := b.startRunning("t1")
	waiting := b.start("t2", 1000)
	b.await("the second task to wait", func() bool { return b.lastReport().Backlog.Total().CPU == 1000 })
	drained := make(chan struct{})
	go func() {
		b.runner.Drain(t.Context())
		close(drained)
	}()
	select {
	case e := <-waiting:
		assert.Equal(t, e.End, batch.NotStarted)
	case <-drained:
		t.Fatal("the waiting task was held for as long as the agent drained")
	case <-time.After(20 * time.Second):
		t.Fatal("the waiting task was not returned")
	}
	b.target.finish("t1", 1, batch.Done)
	assert.Equal(t, (<-running).End, batch.Done)
}
