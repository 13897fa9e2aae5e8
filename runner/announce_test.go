package runner_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/batch"
	"cyclamenrelay.example/runner"
)

// process is a Driver for the process that listens at the address "x": one life of a target at
// a time. As its platform specifies, it rejects orders for another ID.
type process struct {
	mu        sync.Mutex
	life      *fakeTarget
	id        string
	startedAt int64
	lost      int // number of the next renewals whose answers are lost
}

// restart replaces the life of the target by another one, which knows nothing of it.
func (p *process) restart(id string, startedAt int64) *fakeTarget {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.life, p.id, p.startedAt = newTarget(), id, startedAt
	return p.life
}

// reach returns the life that gets an order to t. The error is a runner.NotDelivered when
// nothing listens at the address.
func (p *process) reach(t runner.Target) (x *fakeTarget, startedAt int64, isExpected bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.Address != "x" {
		return nil, 0, false, runner.NotDelivered{Reason: "test"}
	}
	return p.life, p.startedAt, t.ID == p.id, nil
}

func (p *process) send(t runner.Target, order func(*fakeTarget) (runner.Reply, error)) (runner.Reply, error) {
	x, _, expected, err := p.reach(t)
	if err != nil {
		return runner.Reply{}, err
	}
	if !expected {
		return runner.Reply{Verdict: runner.Replaced}, nil
	}
	return order(x)
}

func (p *process) Start(ctx context.Context, t runner.Target, o runner.Order) (runner.Reply, error) {
	return p.send(t, func(x *fakeTarget) (runner.Reply, error) { return x.Start(ctx, t, o) })
}

func (p *process) Stop(ctx context.Context, t runner.Target, o runner.Order) (runner.Reply, error) {
	return p.send(t, func(x *fakeTarget) (runner.Reply, error) { return x.Stop(ctx, t, o) })
}

func (p *process) Renew(ctx context.Context, t runner.Target, h runner.Renewal) (runner.Listing, error) {
	x, startedAt, expected, err := p.reach(t)
	if err != nil {
		return runner.Listing{}, err
	}
	if !expected {
		return runner.Listing{Reply: runner.Reply{Verdict: runner.Replaced}}, nil
	}
	l, err := x.Renew(ctx, t, h)
	l.StartedAt = startedAt
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lost > 0 {
		p.lost--
		return runner.Listing{}, errAnswerLost
	}
	return l, err
}

// newProcess returns a testbed whose target is the first life of a process.
func newProcess(t *testing.T) (*testbed, *process) {
	x := newTarget()
	p := &process{life: x, id: "i-1", startedAt: 7}
	return newTestbedWithDriver(t, x, p), p
}

// Guards against two simultaneous runs of a task: an announcement by another writer was taken
// for a proof that the target in use had exited. It must not take that target's place either.
func TestAnnouncementOfAnotherWriterEndsNoRun(t *testing.T) {
	const another, later = "i-2", 8
	for name, change := range map[string]func(*runner.Target){
		"another ID":                    func(a *runner.Target) { a.ID, a.StartedAt = another, later },
		"another ID, same start":        func(a *runner.Target) { a.ID = another },
		"another ID and pool":           func(a *runner.Target) { a.ID, a.StartedAt, a.Pool = another, later, "unknown" },
		"another ID and address":        func(a *runner.Target) { a.ID, a.StartedAt, a.Address = another, later, "y" },
		"later start":                   func(a *runner.Target) { a.StartedAt = later },
		"later start and another clock": func(a *runner.Target) { a.StartedAt, a.Clock = later, 1000*time.Hour },
		"later start and address":       func(a *runner.Target) { a.StartedAt, a.Address = later, "y" },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b, _ := newProcess(t)
			b.openTarget()
			first := b.startRunning("t1")
			a := b.target.announcement(2, true)
			change(&a)
			b.runner.HandleAnnouncement(a)
			second := b.start("t2", 100)
			b.await("another task to start", func() bool { return b.target.isRunning("t2", 1) || len(second) > 0 })
			assert.Assert(t, b.target.isRunning("t1", 1), "the run was stopped")
			assert.Equal(t, len(first), 0, "the run was reported as ended, but is still running")
			b.runner.HandleAnnouncement(b.target.announcement(3, true))
			assert.Equal(t, b.lastReport().Pool, "p")
			b.target.finish("t1", 1, batch.Done)
			b.target.finish("t2", 1, batch.Done)
			assert.Equal(t, (<-first).End, batch.Done)
			assert.Equal(t, (<-second).End, batch.Done)
		})
	}
}

// Guards against losing a target to one announcement of another writer under its ID: orders
// went to another address, or entries got another pool, and later announcements of the
// target itself were ignored.
func TestAnnouncementOfAnotherWriterUnderTheSameID(t *testing.T) {
	for name, change := range map[string]func(*runner.Target){
		"another address": func(a *runner.Target) { a.Address = "y" },
		"another pool":    func(a *runner.Target) { a.Pool = "unknown" },
		"another start":   func(a *runner.Target) { a.StartedAt = 8 },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b, _ := newProcess(t)
			b.openTarget()
			a := b.target.announcement(1_000_000, true)
			change(&a)
			assert.Assert(t, b.runner.HandleAnnouncement(a) != runner.Taken)
			assert.Equal(t, b.runner.HandleAnnouncement(b.target.announcement(2, true)), runner.Taken)
			b.mu.Lock()
			b.reports = nil
			b.mu.Unlock()
			b.await("a report", func() bool { return b.lastReport().Agent != "" })
			assert.Equal(t, b.lastReport().Pool, "p")
			assert.Assert(t, b.lastReport().Open)
			end := b.startRunning("t1")
			b.target.finish("t1", 1, batch.Done)
			assert.Equal(t, (<-end).End, batch.Done)
		})
	}
}

// Guards against losing a target to a leave that an earlier instance under its ID had sent: the
// target got no work for as long as it ran.
func TestTargetThatGoesOnAfterALeaveGetsWork(t *testing.T) {
	b, _ := newProcess(t)
	b.openTarget()
	b.runner.HandleShutdown("i-1")
	assert.Equal(t, (<-b.start("t1", 100)).End, batch.NotStarted)
	assert.Equal(t, b.runner.HandleAnnouncement(b.target.announcement(2, true)), runner.Taken)
	end := b.startRunning("t2")
	b.target.finish("t2", 1, batch.Done)
	assert.Equal(t, (<-end).End, batch.Done)
}

// A target whose first announcement had another pool than the later ones is not kept in it.
func TestRepeatedPoolIsTaken(t *testing.T) {
	b, _ := newProcess(t)
	b.openTarget()
	a := b.target.announcement(2, true)
	a.Pool = "q"
	assert.Equal(t, b.runner.HandleAnnouncement(a), runner.Contradicted)
	a.Seq = 3
	assert.Equal(t, b.runner.HandleAnnouncement(a), runner.Taken)
	b.await("a report of the other pool", func() bool { return b.lastReport().Pool == "q" })
}

// A target that has started again is found by its announcement, even if answers are lost and
// an earlier agent has used higher fencing tokens. It proves the end of the earlier runs.
func TestConfirmedSuccessorTakesOver(t *testing.T) {
	for name, id := range map[string]string{"another ID": "i-2", "the same ID": "i-1"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b, p := newProcess(t)
			b.openTarget()
			first := b.startRunning("t1")
			next := p.restart(id, 8)
			next.withLock(func() { next.fence = 500 })
			p.mu.Lock()
			p.lost = 2
			p.mu.Unlock()
			a := next.announcement(1, true)
			a.ID, a.StartedAt = id, 8
			assert.Equal(t, b.runner.HandleAnnouncement(a), runner.Taken)
			assert.Equal(t, (<-first).End, batch.Stopped)
			b.await("the successor to start a task", func() bool {
				end := b.start("t2", 100)
				b.await("the run to start or to be refused", func() bool { return len(end) > 0 || next.isRunning("t2", 1) })
				return next.isRunning("t2", 1)
			})
		})
	}
}

// An announcement that nobody confirms has no effect, and is not acknowledged.
func TestUnconfirmedAnnouncementHasNoEffect(t *testing.T) {
	b, _ := newProcess(t)
	a := b.target.announcement(1, true)
	a.Address = "y"
	assert.Equal(t, b.runner.HandleAnnouncement(a), runner.Unconfirmed)
	assert.Assert(t, !b.lastReport().Open)
	b.openTarget()
}
