package runner

import (
	"context"
	"errors"
	"slices"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"cyclamenrelay.example/batch"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/meter"
	"cyclamenrelay.example/pace"
	"cyclamenrelay.example/wire"
)

// handleStart handles an entry's request to run a task. It returns when the run has ended,
// and stops the run when the entry gives up the request.
func (p *Runner) handleStart(ctx context.Context, peer link.Peer, m wire.StartRun) wire.Message {
	p.confirmRun(ctx, peer, m)
	r, refusal := p.enqueue(peer, m)
	if r == nil {
		return refusal
	}
	e := p.runTask(ctx, r)
	e.Load = p.release(r)
	return e
}

// runTask waits for capacity, executes the run, and logs and returns its end.
func (p *Runner) runTask(ctx context.Context, r *run) wire.RunEnded {
	queuedAt := p.opts.Clock.Now()
	select {
	case <-r.granted:
	case <-ctx.Done():
		return wire.RunEnded{End: batch.NotStarted, Reason: "the entry gave up", Proof: batch.ProofNotSent}
	case <-r.givenUp:
		return wire.RunEnded{End: batch.NotStarted, Reason: r.giveUpReason, Proof: batch.ProofNotSent}
	case e := <-r.ended:
		return wire.RunEnded{End: batch.NotStarted, Reason: e.reason, Proof: batch.ProofNotSent}
	}
	startedAt := p.opts.Clock.Now()
	end := p.execute(ctx, r)
	ended := wire.RunEnded{End: end.end, Reason: end.reason, Proof: end.proof, Waited: startedAt.Sub(queuedAt), Ran: p.opts.Clock.Since(startedAt)}
	if end.end == batch.Stopped {
		meter.DiscardedWork().Add(ended.Ran.Seconds() * float64(r.request.Need.CPU) / 1000)
	}
	p.mu.Lock()
	r.recordSpeed(ended)
	target := r.target.ID
	p.mu.Unlock()
	p.opts.Log.Check(logLevel(end), "run ended").Write(zap.String("task", r.key.Task), zap.Uint64("run", r.key.Run),
		zap.String("target", target), zap.String("end", string(end.end)), zap.String("shown", string(end.proof)),
		zap.String("reason", end.reason), zap.Duration("waited", ended.Waited), zap.Duration("ran", ended.Ran))
	return ended
}

// recordSpeed adds the run to the speed of its target: its run time if it is done, otherwise
// the one that its progress projects, as only quick runs would count if those that are stopped
// for taking long did not. The caller holds mu.
func (r *run) recordSpeed(e wire.RunEnded) {
	took := e.Ran
	if e.End != batch.Done {
		took, _ = r.progress.TotalRunTime()
	}
	if r.accepted && r.request.Estimate > 0 && took > 0 {
		r.target.speed = r.target.speed.With(float64(took) / float64(r.request.Estimate))
	}
}

// logLevel returns the log level for the end of a run. Ends that the target did not
// list are few, and decide whether the task is started again, so they are logged at
// info level.
func logLevel(e runEnd) zapcore.Level {
	if e.proof == batch.ProofListing || e.end == batch.NotStarted {
		return zap.DebugLevel
	}
	return zap.InfoLevel
}

// execute sends the start order and waits for the end of the run.
func (p *Runner) execute(ctx context.Context, r *run) runEnd {
	p.refreshEvacuation(ctx, r)
	o, reason := p.startOrder(ctx, r)
	if reason != "" {
		return runEnd{batch.NotStarted, reason, batch.ProofNotSent}
	}
	reply, err := p.sendOrder(r.target, p.opts.Driver.Start, o)
	var notDelivered NotDelivered
	switch {
	case errors.As(err, &notDelivered):
		p.connectionRefused(r.target, notDelivered.Reason)
		return runEnd{batch.NotStarted, notDelivered.Reason, batch.ProofNoDelivery}
	case err != nil:
		// The order may still be carried out late. An accepted stop order rules that out.
		p.opts.Log.Warn("start unanswered", zap.String("task", r.key.Task), zap.Uint64("run", r.key.Run), zap.Error(err))
		e := p.stop(r, "the target left the start unanswered")
		if e.end == batch.Stopped {
			e.end = batch.Unanswered
		}
		return e
	case reply.Verdict != Accepted:
		p.opts.Log.Debug("start rejected", zap.String("task", r.key.Task), zap.Stringer("verdict", reply.Verdict))
		if reply.Verdict == Fenced {
			p.raiseFence(r.target, reply.Clock)
		}
		return runEnd{batch.NotStarted, reply.Verdict.String(), batch.ProofRefusal}
	}
	p.mu.Lock()
	r.acceptedAt = p.opts.Clock.Now()
	r.accepted, r.progress = true, pace.NewProgress(r.acceptedAt).WithEstimate(r.request.Estimate)
	p.mu.Unlock()
	select {
	case e := <-r.ended:
		return e
	case <-ctx.Done():
		return p.stop(r, "the entry gave up")
	case <-r.givenUp:
		return p.stop(r, r.giveUpReason)
	}
}

// startOrder returns the start order for a run that has been granted its capacity, or
// the reason why the run must not start: things may have changed since the grant.
func (p *Runner) startOrder(ctx context.Context, r *run) (o Order, reason string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case ctx.Err() != nil:
		return o, "the entry gave up"
	case p.opts.Clock.Now().After(p.entryLeases[r.entry]):
		return o, "the entry's lease has ended"
	case p.target != r.target || r.target.retired:
		return o, "the target is leaving"
	case len(r.ended) > 0 || r.giveUpReason != "":
		return o, "the run was given up"
	}
	if reason := p.startRefusal(); reason != "" {
		return o, reason
	}
	o = Order{Task: r.key.Task, Run: r.key.Run, Spec: r.request.Spec, LeaseEnd: p.nextLeaseEnd(r.target), Fence: r.target.fence}
	if o.LeaseEnd == 0 {
		return o, "the target's lease cannot be renewed"
	}
	r.startSent = true
	return o, ""
}

// sendOrder sends an order and records the response time. It does not use the context
// of the entry's request, which may have ended: a stop must be sent all the same.
func (p *Runner) sendOrder(ts *targetState, send func(context.Context, Target, Order) (Reply, error), o Order) (Reply, error) {
	p.mu.Lock()
	t, timeout := ts.Target, ts.answerTimes.Timeout()
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	sent := p.opts.Clock.Now()
	reply, err := send(ctx, t, o)
	if err == nil {
		p.mu.Lock()
		ts.answerTimes = ts.answerTimes.With(p.opts.Clock.Since(sent))
		p.mu.Unlock()
	}
	return reply, err
}

// stop sends stop orders for a run, and returns once it is proven that the run has
// ended: by the target's listing, by the instance that replaced the target, or by
// the end of the lease.
func (p *Runner) stop(r *run, reason string) runEnd {
	p.mu.Lock()
	r.mustEnd = p.opts.Clock.Now().Add(p.opts.TargetLease)
	instance := r.target.StartedAt
	p.mu.Unlock()
	logged := false
	for retries := 0; ; retries++ {
		p.mu.Lock()
		o := Order{Task: r.key.Task, Run: r.key.Run, Fence: p.currentFence(r.target)}
		p.mu.Unlock()
		reply, err := p.sendOrder(r.target, p.opts.Driver.Stop, o)
		wait := backoff(retries)
		switch {
		case err == nil && reply.Verdict == Accepted:
			var e runEnd
			if e, instance = p.provenEnd(r, instance); e.proof != "" {
				return runEnd{e.end, reason, e.proof}
			}
			wait = stopGrace
		case !logged:
			logged = true
			log := p.opts.Log.With(zap.String("task", r.key.Task), zap.Uint64("run", r.key.Run))
			if err != nil {
				log.Info("stop not obeyed", zap.Error(err))
			} else {
				log.Info("stop not obeyed", zap.Stringer("verdict", reply.Verdict))
			}
		}
		select {
		case e := <-r.ended:
			return runEnd{e.end, reason, e.proof}
		case <-p.opts.Clock.After(wait):
		}
		p.mu.Lock()
		leaseEnded := r.target.lease.Ended(p.opts.Clock.Now())
		p.mu.Unlock()
		if leaseEnded {
			return runEnd{batch.Stopped, reason, batch.ProofLease}
		}
	}
}

// provenEnd returns how a run has ended after an accepted stop order, with the proof, and no
// proof when nothing shows that it has ended. instance is the start time of the instance that
// was running before the stop order; provenEnd returns that of the instance that answers now.
//
// An accepted stop rules out that a start order is carried out later, but only by the
// instance that has accepted it. A run whose start was accepted has ended when the target
// lists it as ended; for the target in use, the renewal loop reads the listing. It has also
// ended when a successor under the same ID, which has accepted the stop, does not list it.
func (p *Runner) provenEnd(r *run, instance int64) (e runEnd, current int64) {
	p.mu.Lock()
	readByLoop, own := r.accepted && p.target == r.target, r.target.StartedAt
	p.mu.Unlock()
	if readByLoop {
		return e, instance
	}
	listing, err := p.sendRenewal(context.Background(), r.target, 0)
	if err != nil || listing.Verdict != Accepted {
		return e, instance
	}
	for _, x := range listing.Ended {
		if x.Task == r.key.Task && x.Run == r.key.Run {
			return runEnd{end: x.End, proof: batch.ProofListing}, instance
		}
	}
	if otherInstance(listing.StartedAt, instance) {
		return e, listing.StartedAt
	}
	isThisRun := func(x RunProgress) bool { return x.RunKey == r.key }
	bySuccessor := otherInstance(listing.StartedAt, own)
	if (!r.accepted || bySuccessor) && !slices.ContainsFunc(listing.Running, isThisRun) {
		return runEnd{end: batch.Stopped, proof: batch.ProofAbsence}, instance
	}
	return e, instance
}
