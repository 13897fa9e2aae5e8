package runner

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"cyclamenrelay.example/batch"
	"cyclamenrelay.example/evac"
	"cyclamenrelay.example/kernel"
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/lease"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/member"
	"cyclamenrelay.example/meter"
	"cyclamenrelay.example/pace"
	"cyclamenrelay.example/peers"
	"cyclamenrelay.example/sched"
	"cyclamenrelay.example/wire"
)

// ServiceName is the name by which other services find the Runner.
const ServiceName = "runner"

const (
	// checkInterval is the interval between checks for expired leases, expired queued
	// tasks and overdue runs.
	checkInterval = 25 * time.Millisecond
	// stopGrace is how long to wait after an accepted stop order until the target
	// lists the run as ended: the platform allows 50 ms.
	stopGrace = 80 * time.Millisecond
)

// Options configure a Runner.
type Options struct {
	Driver Driver
	// TargetLease is how long the target keeps runs going without a renewal.
	TargetLease time.Duration
	// MaxTargetLease is the longest lease that a target grants, whatever it is asked for.
	// 0 stands for TargetLease.
	MaxTargetLease time.Duration
	// Timing is the timing of reports to entries. Its lease is how long an entry's runs
	// may continue after the last report that the entry has answered.
	Timing peers.Timing
	// Evacuation is the timing with which the agent learns of evacuations. The zero value
	// asks no keepers.
	Evacuation evac.Timing
	// DrainTimeout bounds the wait at a shutdown for runs in progress.
	DrainTimeout time.Duration
	// Backfill are the scheduler's settings of backfill, the zero value for none.
	Backfill sched.Backfill
	Clock    clockwork.Clock
	Log      *zap.Logger
}

// Runner is the service of an agent that runs tasks on its target.
type Runner struct {
	opts   Options
	node   *link.Node
	finder *member.Finder

	mu          sync.Mutex
	scheduler   *sched.Scheduler
	target      *targetState
	previous    *targetState // the last target that was removed or replaced
	runs        map[uint64]*run
	byKey       map[RunKey]*run
	lastID      uint64
	seq         uint64
	entryLeases map[string]time.Time // lease ends, by entry
	home        map[string]bool      // the entries that get reports in any case
	senders     map[string]sender    // entries that have sent a task lately, by name
	draining    bool                 // set when the agent drains
	// reconciled is set once a target has listed no run that an earlier agent process
	// started.
	reconciled bool
	evacuation evac.Knowledge
	verdict    evac.Verdict  // the verdict of evacuation that is in effect
	asked      chan struct{} // closed when the last question to keepers has ended

	reportChanged chan struct{} // closed when the target opens or closes, or its capacity changes
	targetArrived chan struct{} // closed when a new target instance is in use
}

// targetState is the state of one target instance.
type targetState struct {
	Target
	fence     uint64 // the agent's fencing token
	lastEnded int64  // number of the last ended run that was processed
	lease     lease.Lease
	// reconciled is set once the target has listed no run that this process did not start.
	reconciled bool
	// foreignSince is the time since which the target has listed a run that this process
	// did not start, the zero time while it lists none.
	foreignSince time.Time
	// reachable is false while the target does not answer.
	reachable bool
	// connRefused is set while the target refuses connections. No renewal can reach it,
	// so that its lease must not count as renewed.
	connRefused bool
	// retired is set when the target shuts down or another one has taken over. The
	// lease is not renewed any more.
	retired bool
	// announcedPool is the pool of the last announcement if it differed from Pool.
	announcedPool string
	// answeredAt is when the last renewal was sent that this instance has answered. It was
	// running then.
	answeredAt time.Time
	// answerTimes estimates the response time of the target to orders.
	answerTimes pace.ResponseTimes
	slowness    pace.Slowness
	speed       pace.Speed
}

// run is one run of a task, from the request of its entry to its end.
type run struct {
	id      uint64
	key     RunKey
	request wire.StartRun
	entry   string
	target  *targetState
	// overdueAt is the time from which the run may be stopped for taking too long, the zero
	// time for never.
	overdueAt time.Time
	// usefulUntil is when a run of the task must end to be of use to its caller.
	usefulUntil time.Time
	// accepted is set once the target has accepted the start order; progress counts
	// from then.
	accepted   bool
	acceptedAt time.Time
	progress   pace.Progress
	// startSent is set before the start order is sent: the target may have it from then
	// on.
	startSent bool
	// mustEnd is the time when the target must have ended the run, set once the run is
	// stopped, the zero time before. No lease renewal reaches past it.
	mustEnd      time.Time
	granted      chan struct{} // closed when the run gets its capacity
	ended        chan runEnd   // holds the first end; buffered for one element
	givenUp      chan struct{} // closed to give the run up
	giveUpReason string        // why the run was given up, set before givenUp is closed
}

// runEnd is how a run ended, what proves it, and why, unless the target listed the
// end itself.
type runEnd struct {
	end    batch.End
	reason string
	proof  batch.Proof
}

// New returns a Runner that has no target yet.
func New(opts Options) *Runner {
	if opts.MaxTargetLease == 0 {
		opts.MaxTargetLease = opts.TargetLease
	}
	scheduler := sched.New()
	scheduler.SetBackfill(opts.Backfill)
	asked := make(chan struct{})
	close(asked)
	knowledge := evac.NewKnowledge(opts.Evacuation, opts.Clock.Now())
	return &Runner{
		evacuation: knowledge, verdict: knowledge.Verdict(opts.Clock.Now()), asked: asked,
		opts: opts, scheduler: scheduler, runs: map[uint64]*run{}, byKey: map[RunKey]*run{}, entryLeases: map[string]time.Time{},
		home: map[string]bool{}, senders: map[string]sender{},
		reportChanged: make(chan struct{}), targetArrived: make(chan struct{}),
	}
}

// Name implements kernel.Service.
func (p *Runner) Name() string { return ServiceName }

// Start implements kernel.Starter.
func (p *Runner) Start(k *kernel.Kernel) (err error) {
	if err := trace.NewAggregate(p.opts.Timing.Validate(), p.opts.Evacuation.Validate()); err != nil {
		return err
	}
	if p.node, err = kernel.Find[*link.Node](k, link.ServiceName); err != nil {
		return err
	}
	if p.finder, err = kernel.Find[*member.Finder](k, member.ServiceName); err != nil {
		return err
	}
	link.Handle(p.node.Mux(), p.handleStart, keys.Entry)
	link.Handle(p.node.Mux(), p.handleWithdraw, keys.Entry)
	return nil
}

// Run implements kernel.Service.
func (p *Runner) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { p.reportLoop(ctx) })
	wg.Go(func() { p.renewalLoop(ctx) })
	wg.Go(func() { p.expiryLoop(ctx) })
	wg.Go(func() { p.evacuationLoop(ctx) })
	wg.Wait()
	return nil
}

// Drain implements kernel.Drainer: no new tasks are accepted, those that have not started
// are returned, and runs in progress may finish within DrainTimeout.
func (p *Runner) Drain(ctx context.Context) {
	p.mu.Lock()
	p.draining = true
	p.scheduler.SetOpen(false)
	p.giveUpWaiting("the agent is shutting down")
	p.wakeReporters()
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, p.opts.DrainTimeout)
	defer cancel()
	for {
		p.mu.Lock()
		left := len(p.runs)
		p.mu.Unlock()
		if left == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-p.opts.Clock.After(checkInterval):
		}
	}
}

// wakeReporters wakes the reporting goroutines, because the report has changed. The
// caller holds mu.
func (p *Runner) wakeReporters() {
	close(p.reportChanged)
	p.reportChanged = make(chan struct{})
}

// initialFence returns the fencing token for an agent that first meets the target at
// this reading of the target's clock. The clock of an instance never goes back, so that a
// restarted agent has a higher token than before.
func initialFence(clock time.Duration) uint64 { return uint64(clock.Milliseconds()) + 1 }

// HandleShutdown processes a target's message that it is shutting down. The target may keep
// running for seconds when the answer to the message is lost.
func (p *Runner) HandleShutdown(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.target == nil || p.target.ID != id {
		return
	}
	p.opts.Log.Info("target left", zap.String("target", id))
	p.retireTarget(p.target, "the target left")
	p.updateScheduler()
}

// updateScheduler updates the capacity, and whether tasks may start, from the state of the
// target. The caller holds mu.
func (p *Runner) updateScheduler() {
	open := p.target != nil && p.target.Open && p.target.reconciled && p.target.reachable && !p.target.retired && !p.draining && !p.closedByEvacuation()
	p.scheduler.SetOpen(open)
	if p.target != nil {
		p.scheduler.Resize(p.target.Capacity)
	}
	p.grantCapacity()
	p.wakeReporters()
}

// retireTarget gives up the runs of a target that may keep running, and the runs that
// still wait for capacity. The caller holds mu.
func (p *Runner) retireTarget(ts *targetState, reason string) {
	ts.retired = true
	for _, r := range p.runs {
		if r.target == nil || r.target == ts {
			r.giveUp(reason)
		}
	}
}

// finish passes the run's end to the goroutine that handles it. Only the first end
// counts.
func (r *run) finish(e runEnd) {
	select {
	case r.ended <- e:
	default:
	}
}

// giveUp makes the goroutine that handles the run stop it. Only the first reason
// counts. The caller holds mu.
func (r *run) giveUp(reason string) {
	select {
	case <-r.givenUp:
	default:
		r.giveUpReason = reason
		close(r.givenUp)
	}
}

// grantCapacity grants capacity to waiting runs as long as there is some. The caller
// holds mu.
func (p *Runner) grantCapacity() {
	for {
		now := p.opts.Clock.Now()
		t, ok := p.scheduler.Next(now)
		if !ok {
			meter.UnusedCapacity().Set(p.scheduler.UnusedCoreSeconds())
			return
		}
		if t.Backfilled() {
			meter.Backfills().Inc()
		}
		if d := t.HeadDelay(now); d > 0 {
			meter.ObserveHeadDelay(d)
		}
		r := p.runs[t.ID]
		r.target = p.target
		if r.request.MaxRunTime > 0 {
			r.overdueAt = p.opts.Clock.Now().Add(r.request.MaxRunTime)
		}
		close(r.granted)
	}
}
