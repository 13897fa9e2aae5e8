package runner_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/batch"
	"cyclamenrelay.example/runner"
	"cyclamenrelay.example/wire"
)

// paused is a Driver that holds lease renewals back while it is locked, as an agent does that is
// suspended between two of them.
type paused struct {
	*process
	renewals chan struct{} // holds an element while renewals are sent
}

func (d paused) Renew(ctx context.Context, t runner.Target, h runner.Renewal) (runner.Listing, error) {
	if h.LeaseEnd > 0 {
		<-d.renewals
		defer func() { d.renewals <- struct{}{} }()
	}
	return d.process.Renew(ctx, t, h)
}

// Guards against two simultaneous runs of a task: the runs that a target's successor under
// the same ID had accepted were taken for runs of the target, which had exited.
func TestRunOnSuccessorWithTheSameIDIsNotEnded(t *testing.T) {
	for name, announced := range map[string]bool{"found by a renewal": false, "found by an announcement": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			x := newTarget()
			d := paused{&process{life: x, id: "i-1", startedAt: 7}, make(chan struct{}, 1)}
			d.renewals <- struct{}{}
			b := newTestbedWithDriver(t, x, d)
			b.openTarget()
			first := b.startRunning("t1")
			time.Sleep(100 * time.Millisecond) // until a later renewal has been answered
			<-d.renewals
			next := d.restart("i-1", 8)
			second := b.start("t2", 100)
			b.await("the successor to accept a run", func() bool { return next.isRunning("t2", 1) })
			if announced {
				a := next.announcement(1, true)
				a.StartedAt = 8
				assert.Equal(t, b.runner.HandleAnnouncement(a), runner.Taken)
			}
			d.renewals <- struct{}{}
			e := <-second
			assert.Assert(t, !next.isRunning("t2", 1), "the run was reported as %s, proven by %s, but is still running", e.End, e.Proof)
			e = <-first
			assert.Equal(t, e.Proof, batch.ProofSuccessor)
		})
	}
}

// exiting is a Driver for a target that leaves start orders unanswered, and exits right after
// it has obeyed a stop order.
type exiting struct {
	*process
	start chan runner.Order
	next  chan *fakeTarget
}

func (d exiting) Start(ctx context.Context, _ runner.Target, o runner.Order) (runner.Reply, error) {
	d.start <- o
	<-ctx.Done()
	return runner.Reply{}, ctx.Err()
}

func (d exiting) Stop(ctx context.Context, t runner.Target, o runner.Order) (runner.Reply, error) {
	reply, err := d.process.Stop(ctx, t, o)
	d.mu.Lock()
	first := d.startedAt == 7
	d.mu.Unlock()
	if first {
		d.next <- d.restart("i-1", 8)
	}
	return reply, err
}

// Guards against two simultaneous runs of a task: a target's successor under the same ID did
// not list a run, but it had not got the stop order, and carried out the start order late.
func TestStopAtAnEarlierInstanceRulesOutNoStart(t *testing.T) {
	x := newTarget()
	d := exiting{&process{life: x, id: "i-1", startedAt: 7}, make(chan runner.Order, 1), make(chan *fakeTarget, 1)}
	b := newTestbedWithDriver(t, x, d)
	b.openTarget()
	end := b.start("t1", 100)
	o, next := <-d.start, <-d.next
	var e wire.RunEnded
	select {
	case e = <-end:
	case <-time.After(20 * time.Second):
		t.Fatal("the end of the run was not reported")
	}
	assert.Assert(t, next.startRun(o).Verdict != runner.Accepted, "the run was reported as %s, proven by %s, but started later", e.End, e.Proof)
}
