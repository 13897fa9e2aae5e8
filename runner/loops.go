package runner

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"cyclamenrelay.example/batch"
	"cyclamenrelay.example/meter"
	"cyclamenrelay.example/pace"
)

const (
	// idleLongPoll is how long a target without runs may delay its answer to a lease
	// renewal (long poll): a fifth of the shortest lease.
	idleLongPoll = 100 * time.Millisecond
	// busyLongPoll is the same limit for a target with runs, which answers as soon as a
	// run ends. A lost answer delays the reports of all ended runs by this time.
	busyLongPoll = 50 * time.Millisecond
	// retryDelay is the delay before a failed renewal or stop order is first retried. It
	// doubles with each further failure up to maxRetryDelay, a sixth of the shortest lease:
	// each retry at a target that resets connections opens a new one.
	retryDelay    = 10 * time.Millisecond
	maxRetryDelay = 80 * time.Millisecond
	// maxMissedRenewals is the number of consecutive unanswered renewals after which
	// the target gets no new work.
	maxMissedRenewals = 3
)

// updateClock updates the lease with a new reading of the target's clock, unless the
// reading is 0 (unknown). The caller holds mu.
func (p *Runner) updateClock(ts *targetState, reading time.Duration) {
	if reading > 0 {
		ts.lease = ts.lease.WithClock(reading, p.opts.Clock.Now())
	}
}

// raiseFence chooses a higher fencing token after the target has rejected the
// present one as too low.
func (p *Runner) raiseFence(ts *targetState, clock time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updateClock(ts, clock)
	ts.fence = max(ts.fence+1, initialFence(clock))
}

// connectionRefused marks a target that refuses connections as unreachable, and
// removes the target once its lease has ended, since no task can run on it after that.
func (p *Runner) connectionRefused(ts *targetState, reason string) {
	p.setReachable(ts, false)
	p.mu.Lock()
	defer p.mu.Unlock()
	ts.connRefused = true
	if p.target == ts && ts.lease.Ended(p.opts.Clock.Now()) {
		p.removeTarget(ts, reason)
	}
}

// removeTarget removes the target and gives up the tasks that wait for it. The agent has
// no target until the next announcement. The caller holds mu.
func (p *Runner) removeTarget(ts *targetState, reason string) {
	p.opts.Log.Warn("target lost", zap.String("target", ts.ID), zap.String("reason", reason))
	p.target, p.previous = nil, ts
	for _, r := range p.runs {
		if r.target == nil {
			r.giveUp(reason)
		}
	}
	p.updateScheduler()
}

// renewalLoop renews the lease of the current target and processes the runs that the
// target lists in its answers.
func (p *Runner) renewalLoop(ctx context.Context) {
	misses := 0
	for ctx.Err() == nil {
		p.mu.Lock()
		ts, arrived := p.target, p.targetArrived
		p.mu.Unlock()
		if ts == nil {
			select {
			case <-ctx.Done():
			case <-arrived:
			}
			continue
		}
		err := p.renewLease(ctx, ts)
		if err == nil {
			misses = 0
			continue
		}
		misses++
		var notDelivered NotDelivered
		switch {
		case errors.As(err, &notDelivered):
			p.connectionRefused(ts, notDelivered.Reason)
		case misses >= maxMissedRenewals:
			p.setReachable(ts, false)
		}
		select {
		case <-ctx.Done():
		case <-p.opts.Clock.After(backoff(misses - 1)):
		}
	}
}

// backoff returns the delay before the next attempt after a number of failed retries.
func backoff(retries int) time.Duration {
	return min(retryDelay<<min(retries, 10), maxRetryDelay)
}

// setReachable sets whether the target answers. A target that does not answer gets no
// new work.
func (p *Runner) setReachable(ts *targetState, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ts.connRefused = ts.connRefused && !ok
	if ts.reachable != ok {
		p.opts.Log.Info("target reachability changed", zap.String("target", ts.ID), zap.Bool("reached", ok))
		ts.reachable = ok
		p.updateScheduler()
	}
}

// renewLease sends one lease renewal and processes the listing in the answer.
func (p *Runner) renewLease(ctx context.Context, ts *targetState) error {
	p.mu.Lock()
	t, wait := ts.Target, idleLongPoll
	if len(p.runs) > 0 {
		wait = busyLongPoll
	}
	p.mu.Unlock()
	sent := p.opts.Clock.Now()
	listing, err := p.sendRenewal(ctx, ts, wait)
	if err != nil {
		return err
	}
	switch {
	case listing.Verdict == Fenced:
		p.raiseFence(ts, listing.Clock)
		return nil
	case listing.Verdict == Replaced || otherInstance(listing.StartedAt, t.StartedAt):
		p.targetReplaced(ts, listing.Verdict != Replaced)
		return nil
	case listing.Verdict != Accepted:
		return trace.ConnectionProblem(nil, "target rejected the lease renewal: %s", listing.Verdict)
	}
	p.setReachable(ts, true)
	p.processListing(ts, listing, sent)
	return nil
}

// sendRenewal renews the target's lease and returns its listing, which the target may
// delay by up to wait until a run ends. Errors are those of Driver.Renew.
func (p *Runner) sendRenewal(ctx context.Context, ts *targetState, wait time.Duration) (Listing, error) {
	p.mu.Lock()
	renewal := Renewal{LeaseEnd: p.nextLeaseEnd(ts), Fence: p.currentFence(ts), Wait: wait}
	if p.target == ts { // the numbers of another instance's ended runs are unknown
		renewal.LastEnded = ts.lastEnded
	}
	t, timeout := ts.Target, wait+ts.answerTimes.Timeout()
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return p.opts.Driver.Renew(ctx, t, renewal)
}

// processListing processes the ended runs of a listing that was asked for at a time, and
// stops foreign runs: those that this process did not start.
func (p *Runner) processListing(ts *targetState, l Listing, sent time.Time) {
	p.mu.Lock()
	p.updateClock(ts, l.Clock)
	ts.answeredAt = sent
	for _, e := range l.Ended {
		if e.Number <= ts.lastEnded {
			continue
		}
		ts.lastEnded = e.Number
		if r := p.byKey[RunKey{e.Task, e.Run}]; r != nil && r.target != nil && r.target.ID == ts.ID {
			r.finish(runEnd{e.End, "", batch.ProofListing})
		}
	}
	foreign := p.updateProgress(ts, l.Running)
	switch {
	case len(foreign) > 0 && ts.foreignSince.IsZero():
		ts.foreignSince = p.opts.Clock.Now()
	case len(foreign) == 0:
		ts.foreignSince = time.Time{}
	}
	if len(foreign) == 0 && !ts.reconciled {
		ts.reconciled, p.reconciled = true, true
		p.updateScheduler()
	}
	fence := ts.fence
	p.mu.Unlock()
	for _, x := range foreign {
		_, err := p.sendOrder(ts, p.opts.Driver.Stop, Order{Task: x.Task, Run: x.Run, Fence: fence})
		p.opts.Log.Info("stop ordered for a run that this agent did not start", zap.String("task", x.Task), zap.Uint64("run", x.Run), zap.Error(err))
	}
}

// updateProgress updates the progress of the target's runs, gives up movable runs that
// would probably finish sooner on another target, and returns the runs that this
// process did not start. The caller holds mu.
func (p *Runner) updateProgress(ts *targetState, running []RunProgress) (foreign []RunKey) {
	now := p.opts.Clock.Now()
	var own []*run
	var ratios []float64
	for _, x := range running {
		r := p.byKey[x.RunKey]
		switch {
		case r == nil || r.target != ts:
			foreign = append(foreign, x.RunKey)
		case r.accepted:
			r.progress = r.progress.With(x.Percent, now)
			own = append(own, r)
			if total, ok := r.progress.TotalRunTime(); ok && r.request.Estimate > 0 {
				ratios = append(ratios, float64(total)/float64(r.request.Estimate))
				p.scheduler.SetRunTime(r.id, total)
			}
		}
	}
	ts.slowness = ts.slowness.With(ratios, now)
	for _, r := range own {
		if reason := r.progress.MoveReason(ts.slowness, r.other(now)); reason != "" && r.request.Movable {
			r.stopEarly(reason)
		}
	}
	return foreign
}

// expiryLoop gives up tasks that have waited too long, runs of entries whose lease has
// expired and overdue runs, and ends the runs whose target's lease has expired.
func (p *Runner) expiryLoop(ctx context.Context) {
	tick := p.opts.Clock.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.Chan():
			p.giveUpExpired()
		}
	}
}

func (p *Runner) giveUpExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.opts.Clock.Now()
	for _, t := range p.scheduler.Expired(now) {
		p.runs[t.ID].giveUp("the target had no free capacity in time")
	}
	for _, r := range p.runs {
		switch {
		case now.After(p.entryLeases[r.entry]):
			r.giveUp("the entry's lease has ended")
		case r.startSent && r.target.lease.Ended(now):
			r.finish(runEnd{batch.Stopped, "the target's lease has ended", batch.ProofLease})
		case !r.overdueAt.IsZero() && now.After(r.overdueAt):
			if reason := p.overdueReason(r, now); reason != "" {
				r.stopEarly(reason)
			}
		}
	}
}

// overdueReason returns the reason to stop an overdue run, empty when it should go on. The
// caller holds mu.
func (p *Runner) overdueReason(r *run, now time.Time) string {
	if !r.accepted {
		return pace.Overdue
	}
	return r.progress.OverdueReason(r.target.slowness, r.other(now), now)
}

// other describes a run of the task on another target.
func (r *run) other(now time.Time) pace.Other {
	// No other run can end in time once nothing is left of the time; 0 stands for unknown.
	return pace.Other{Relative: r.request.Relative, Within: max(r.usefulUntil.Sub(now), 1)}
}

// stopEarly gives up a run for a reason of package pace, so that its task can run on another
// target, and counts it. The caller holds mu.
func (r *run) stopEarly(reason string) {
	if r.giveUpReason != "" {
		return
	}
	name := "overdue"
	switch reason {
	case pace.Stuck:
		name = "stuck"
	case pace.Slow:
		name = "slow"
	}
	meter.EarlyStops(name).Inc()
	r.giveUp(reason)
}
