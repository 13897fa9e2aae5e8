package runner_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/batch"
	"cyclamenrelay.example/runner"
	"cyclamenrelay.example/wire"
)

// isRunning reports whether the target executes the run now.
func (x *fakeTarget) isRunning(task string, run uint64) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.enforceLease()
	return x.running[runner.RunKey{Task: task, Run: run}]
}

// withLock calls f with mu held.
func (x *fakeTarget) withLock(f func()) {
	x.mu.Lock()
	defer x.mu.Unlock()
	f()
}

// startOverdue sends a task that becomes overdue, and is stopped, as soon as it runs.
// The agent's answer arrives on the returned channel.
func (b *testbed) startOverdue(task string) <-chan wire.RunEnded {
	out := make(chan wire.RunEnded, 1)
	go func() {
		a, err := b.entry.CallPeer(b.t.Context(), "agent-1", wire.StartRun{
			Job: "j", Task: task, Run: 1, Need: batch.Resources{CPU: 100}, Estimate: longLease, MaxStartDelay: longLease, MaxRunTime: 1,
		})
		if e, ok := a.(wire.RunEnded); ok && err == nil {
			out <- e
		}
	}()
	return out
}

// Guards against two simultaneous runs of a task: a stop order that the target
// rejected was taken for an accepted one.
func TestRejectedStopDoesNotEndRun(t *testing.T) {
	for _, v := range []runner.Verdict{runner.Unhealthy, runner.Invalid, runner.Expired, runner.Full} {
		t.Run(v.String(), func(t *testing.T) {
			x := newTarget()
			x.stopAnswer = v
			b := newTestbed(t, x)
			b.openTarget()
			e := <-b.startOverdue("t1")
			assert.Assert(t, !x.isRunning("t1", 1), "the run was reported as %s, proven by %s, but is still running", e.End, e.Proof)
		})
	}
}

// Guards against two simultaneous runs of a task: a target that refused connections
// for a moment was taken for dead.
func TestRefusedConnectionDoesNotEndRun(t *testing.T) {
	x := newTarget()
	b := newTestbed(t, x)
	b.openTarget()
	end := b.startRunning("t1")
	x.withLock(func() { x.refusesConnections = true })
	e := <-end
	assert.Assert(t, !x.isRunning("t1", 1), "the run was reported as %s, proven by %s, but is still running", e.End, e.Proof)
	b.await("a report that the target is closed", func() bool { return !b.lastReport().Open })
}

// Guards against a flood of connections: stop orders that a target did not accept were
// repeated every 10 ms until its lease had ended, one new connection each.
func TestStopsAreRetriedWithBackoff(t *testing.T) {
	x := newTarget()
	x.stopAnswer = runner.Unhealthy
	b := newTestbed(t, x)
	b.openTarget()
	<-b.startOverdue("t1")
	// Within the lease of 1 s: after 10, 20 and 40 ms, then every 80 ms.
	x.withLock(func() { assert.Assert(t, x.stops <= 17, "%d stop orders were sent", x.stops) })
}

// Guards against two simultaneous runs of a task: a run that had to end was kept
// alive by the lease renewals for the other runs on its target.
func TestLeaseNotRenewedPastStoppedRun(t *testing.T) {
	x := newTarget()
	x.stopAnswer = runner.Unhealthy
	b := newTestbed(t, x)
	b.openTarget()
	end := b.startOverdue("t1")
	other := b.start("t2", 100)
	e := <-end
	assert.Equal(t, e.End, batch.Stopped)
	assert.Assert(t, !x.isRunning("t1", 1), "the run was reported as %s, proven by %s, but is still running", e.End, e.Proof)
	<-other // ends too, because the lease covers all runs on the target
	x.withLock(func() { x.stopAnswer = runner.Accepted })
	b.await("the target to accept work again", func() bool {
		end := b.start("t3", 100)
		b.await("the run to start or to be refused", func() bool { return len(end) > 0 || b.runCount() == 1 })
		return b.runCount() == 1
	})
}

// Guards against two simultaneous runs of a task: a restarted agent renewed the lease
// of its predecessor's runs, which it could not stop.
func TestLeaseNotRenewedForEarlierAgentsRuns(t *testing.T) {
	x := newTarget()
	x.stopAnswer = runner.Unhealthy
	x.withLock(func() {
		x.running[runner.RunKey{Task: "old", Run: 1}] = true
		x.until = x.clock() + longLease/100
	})
	b := newTestbed(t, x)
	b.runner.HandleAnnouncement(x.announcement(1, true))
	b.await("a report that the target is open", func() bool { return b.lastReport().Open })
	assert.Assert(t, !x.isRunning("old", 1))
}

// instances is a Driver for several target instances on one worker, by their IDs.
type instances map[string]*fakeTarget

func (l instances) Start(ctx context.Context, t runner.Target, o runner.Order) (runner.Reply, error) {
	return l[t.ID].Start(ctx, t, o)
}

func (l instances) Stop(ctx context.Context, t runner.Target, o runner.Order) (runner.Reply, error) {
	return l[t.ID].Stop(ctx, t, o)
}

func (l instances) Renew(ctx context.Context, t runner.Target, h runner.Renewal) (runner.Listing, error) {
	return l[t.ID].Renew(ctx, t, h)
}

// Guards against two simultaneous runs of a task: a target was taken for dead when
// another one started on its worker, at another address.
func TestReplacedTargetMayStillRun(t *testing.T) {
	x, next := newTarget(), newTarget()
	b := newTestbedWithDriver(t, x, instances{"i-1": x, "i-2": next})
	b.openTarget()
	end := b.startRunning("t1")
	x.withLock(func() { x.stopAnswer = runner.Unhealthy })
	a := next.announcement(1, true)
	a.ID, a.StartedAt, a.Address = "i-2", 8, "y"
	assert.Equal(t, b.runner.HandleAnnouncement(a), runner.Taken)
	e := <-end
	assert.Assert(t, !x.isRunning("t1", 1), "the run was reported as %s, proven by %s, but is still running", e.End, e.Proof)
}

// Guards against two simultaneous runs of a task: a target that has announced its
// shutdown keeps running until it gets the answer.
func TestLeavingTargetMayStillRun(t *testing.T) {
	x := newTarget()
	b := newTestbed(t, x)
	b.openTarget()
	end := b.startRunning("t1")
	x.withLock(func() { x.stopAnswer = runner.Unhealthy })
	b.runner.HandleShutdown("i-1")
	e := <-end
	assert.Assert(t, !x.isRunning("t1", 1), "the run was reported as %s, proven by %s, but is still running", e.End, e.Proof)
}
