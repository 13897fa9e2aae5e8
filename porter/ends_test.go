package porter_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/batch"
	"cyclamenrelay.example/porter"
	"cyclamenrelay.example/wire"
)

// isRunning reports whether a run is at work now, by the target's own account.
func (x *fakeTarget) isRunning(task string, run uint64) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lapse()
	return x.running[porter.Running{Task: task, Run: run}]
}

func (x *fakeTarget) change(f func()) {
	x.mu.Lock()
	defer x.mu.Unlock()
	f()
}

// overdue sends a task that is stopped as soon as it runs, and returns
// where the agent's word that it is over arrives.
func (b *bed) overdue(task string) <-chan wire.RunEnded {
	out := make(chan wire.RunEnded, 1)
	go func() {
		a, err := b.entry.CallPeer(b.t.Context(), "agent-1", wire.StartRun{
			Job: "j", Task: task, Run: 1, Need: batch.Resources{CPU: 100}, Estimate: longLease, Patience: longLease, Overdue: 1,
		})
		if e, ok := a.(wire.RunEnded); ok && err == nil {
			out <- e
		}
	}()
	return out
}

// Guards against a task that runs twice at a time: a stop that the target
// rejected was taken for one that it obeyed.
func TestRejectedStopIsNoEnd(t *testing.T) {
	for _, v := range []porter.Verdict{porter.Unhealthy, porter.Invalid, porter.Expired, porter.Full} {
		t.Run(v.String(), func(t *testing.T) {
			x := newTarget()
			x.stopAnswer = v
			b := newBed(t, x)
			b.ready()
			e := <-b.overdue("t1")
			assert.Assert(t, !x.isRunning("t1", 1), "%s, shown by %s, and it runs", e.End, e.Shown)
		})
	}
}

// Guards against a task that runs twice at a time: a target that refuses
// connections for a moment was taken for dead.
func TestRefusedConnectionIsNoEnd(t *testing.T) {
	x := newTarget()
	b := newBed(t, x)
	b.ready()
	end := b.running("t1")
	x.change(func() { x.refusing = true })
	e := <-end
	assert.Assert(t, !x.isRunning("t1", 1), "%s, shown by %s, and it runs", e.End, e.Shown)
	b.await("a closed report", func() bool { return !b.last().Open })
}

// Guards against a task that runs twice at a time: a run that had to end was
// kept alive by the renewals for the others on its target.
func TestRunThatMustEndIsNotRenewed(t *testing.T) {
	x := newTarget()
	x.stopAnswer = porter.Unhealthy
	b := newBed(t, x)
	b.ready()
	end := b.overdue("t1")
	other := b.start("t2", 100)
	e := <-end
	assert.Equal(t, e.End, batch.Stopped)
	assert.Assert(t, !x.isRunning("t1", 1), "%s, shown by %s, and it runs", e.End, e.Shown)
	<-other // by the end of the lease, which is the whole target's
	x.change(func() { x.stopAnswer = porter.Accepted })
	b.await("a target that takes work again", func() bool {
		end := b.start("t3", 100)
		b.await("a run or its end", func() bool { return len(end) > 0 || b.runs() == 1 })
		return b.runs() == 1
	})
}

// Guards against a task that runs twice at a time: an agent that has started
// again renewed the lease of runs of its predecessor that it could not stop.
func TestRunsOfAnEarlierAgentAreNotRenewed(t *testing.T) {
	x := newTarget()
	x.stopAnswer = porter.Unhealthy
	x.change(func() {
		x.running[porter.Running{Task: "old", Run: 1}] = true
		x.until = x.clock() + longLease/100
	})
	b := newBed(t, x)
	b.porter.Announced(x.announcement(1, true))
	b.await("open report", func() bool { return b.last().Open })
	assert.Assert(t, !x.isRunning("old", 1))
}

// lives are two lives of targets on one worker, told apart by their IDs.
type lives map[string]*fakeTarget

func (l lives) Start(ctx context.Context, t porter.Target, o porter.Order) (porter.Reply, error) {
	return l[t.ID].Start(ctx, t, o)
}

func (l lives) Stop(ctx context.Context, t porter.Target, o porter.Order) (porter.Reply, error) {
	return l[t.ID].Stop(ctx, t, o)
}

func (l lives) Hold(ctx context.Context, t porter.Target, h porter.Hold) (porter.Listing, error) {
	return l[t.ID].Hold(ctx, t, h)
}

// Guards against a task that runs twice at a time: a target was taken for dead
// when another one came to its worker, at another address.
func TestTargetMayOutliveTheNextOnesArrival(t *testing.T) {
	x, next := newTarget(), newTarget()
	b := newBedOf(t, x, lives{"i-1": x, "i-2": next})
	b.ready()
	end := b.running("t1")
	x.change(func() { x.stopAnswer = porter.Unhealthy })
	a := next.announcement(1, true)
	a.ID, a.Born, a.Address = "i-2", 8, "y"
	assert.Assert(t, b.porter.Announced(a))
	e := <-end
	assert.Assert(t, !x.isRunning("t1", 1), "%s, shown by %s, and it runs", e.End, e.Shown)
}

// Guards against a task that runs twice at a time: a target that has said that
// it leaves goes on for as long as it is not answered.
func TestTargetMayOutliveItsLeave(t *testing.T) {
	x := newTarget()
	b := newBed(t, x)
	b.ready()
	end := b.running("t1")
	x.change(func() { x.stopAnswer = porter.Unhealthy })
	b.porter.Left("i-1")
	e := <-end
	assert.Assert(t, !x.isRunning("t1", 1), "%s, shown by %s, and it runs", e.End, e.Shown)
}
