package runner_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/batch"
	"cyclamenrelay.example/evac"
	"cyclamenrelay.example/wire"
)

// evacuationLimit is shorter than the users', to shorten the tests.
const evacuationLimit = 2 * time.Second

func newEvacuationTestbed(t *testing.T) *testbed {
	x := newTarget()
	return newTestbedWithEvacuation(t, x, x, longLease, evac.NewTiming(evacuationLimit))
}

// tell sets what the entry says from now on.
func (b *testbed) tell(version uint64, age time.Duration, evacuated bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.byEntry = &wire.EvacuationState{Version: version, Age: age, Evacuated: evacuated}
}

// checkRefused checks that a task is refused as certainly not run.
func (b *testbed) checkRefused(task string) {
	b.t.Helper()
	e := <-b.start(task, 100)
	assert.Assert(b.t, e.End == batch.NotStarted && e.Proof == batch.ProofNotSent, "%+v", e)
}

// Guards against queued tasks that start in an evacuated data centre, are returned twice or
// not at all, and against runs in progress that are stopped.
func TestEvacuationReturnsQueuedTasks(t *testing.T) {
	b := newEvacuationTestbed(t)
	b.tell(4, 0, false)
	b.openTarget()
	running := b.startRunning("t1")
	var queued []<-chan wire.RunEnded
	for _, task := range []string{"t2", "t3", "t4"} {
		queued = append(queued, b.start(task, 950))
	}
	b.await("the tasks to be queued", func() bool { return b.lastReport().Backlog.Total().CPU == 2850 })
	b.tell(5, 0, true)
	for _, end := range queued {
		e := <-end
		assert.Assert(t, e.End == batch.NotStarted && e.Proof == batch.ProofNotSent, "%+v", e)
	}
	b.await("a report of a closed target without queued tasks", func() bool {
		r := b.lastReport()
		return !r.Open && r.Backlog.Total().CPU == 0 && r.Used.CPU == 100
	})
	b.checkRefused("t5")
	b.target.finish("t1", 1, batch.Done)
	assert.Equal(t, (<-running).End, batch.Done)

	b.tell(4, 0, false)
	time.Sleep(300 * time.Millisecond) // several reports
	b.checkRefused("t6")
	b.tell(6, 0, false)
	b.await("a report of an open target", func() bool { return b.lastReport().Open })
	b.startRunning("t7")
}

// Guards against an agent that starts tasks after its restart before it knows whether its
// data centre is evacuated.
func TestRestartedAgentWaitsForOneAnswer(t *testing.T) {
	b := newEvacuationTestbed(t)
	b.mu.Lock()
	b.byKeeper = &wire.EvacuationState{Version: 7, Evacuated: true}
	b.mu.Unlock()
	b.runner.HandleAnnouncement(b.target.announcement(1, true))
	b.await("a report", func() bool { return b.lastReport().Target != "" })
	b.checkRefused("t1")
	b.mu.Lock()
	for _, r := range b.reports {
		assert.Assert(t, !r.Open)
	}
	b.mu.Unlock()
	b.tell(8, 0, false)
	b.await("a report of an open target", func() bool { return b.lastReport().Open })
}

// Guards against an agent that refuses all work for as long as neither keepers nor entries can
// tell it anything, as behind an older build.
func TestAgentServesWhenNobodyKnows(t *testing.T) {
	b := newEvacuationTestbed(t)
	b.openTarget()
	b.startRunning("t1")
	b.mu.Lock()
	defer b.mu.Unlock()
	assert.Assert(t, b.questions > 0)
}

// Guards against an agent whose entries are all cut off from the keepers and tell it an old
// state: it asks a keeper itself.
func TestAgentOfCutOffEntriesAsksKeeper(t *testing.T) {
	b := newEvacuationTestbed(t)
	b.tell(4, 0, false)
	b.openTarget()
	b.mu.Lock()
	asked := b.questions
	b.byKeeper = &wire.EvacuationState{Version: 5, Evacuated: true}
	b.mu.Unlock()
	b.tell(4, time.Minute, false)
	b.await("a report of a closed target", func() bool { return !b.lastReport().Open })
	b.checkRefused("t1")
	b.mu.Lock()
	defer b.mu.Unlock()
	assert.Assert(t, b.questions > asked)
}
