package porter

import (
	"context"
	"errors"
	"slices"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"cyclamenrelay.example/batch"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/pace"
	"cyclamenrelay.example/wire"
)

// start runs a task to its end, for as long as the entry waits for it.
func (p *Porter) start(ctx context.Context, peer link.Peer, m wire.StartRun) wire.Message {
	r, refusal := p.enter(peer.Name, m)
	if r == nil {
		return refusal
	}
	e := p.run(ctx, r)
	e.Room = p.leave(r)
	return e
}

// run waits for room and runs a task.
func (p *Porter) run(ctx context.Context, r *run) wire.RunEnded {
	begun := p.opts.Clock.Now()
	select {
	case <-r.granted:
	case <-ctx.Done():
		return wire.RunEnded{End: batch.NotStarted, Reason: "the entry gave up", Shown: batch.ByWaiting}
	case <-r.quit:
		return wire.RunEnded{End: batch.NotStarted, Reason: r.reason, Shown: batch.ByWaiting}
	case e := <-r.ended:
		return wire.RunEnded{End: batch.NotStarted, Reason: e.reason, Shown: batch.ByWaiting}
	}
	at := p.opts.Clock.Now()
	e := p.execute(ctx, r)
	out := wire.RunEnded{End: e.end, Reason: e.reason, Shown: e.shown, Waited: at.Sub(begun), Ran: p.opts.Clock.Since(at)}
	p.opts.Log.Check(levelOf(e), "run ended").Write(zap.String("task", r.key.Task), zap.Uint64("run", r.key.Run),
		zap.String("target", r.target.ID), zap.String("end", string(e.end)), zap.String("shown", string(e.shown)),
		zap.String("reason", e.reason), zap.Duration("waited", out.Waited), zap.Duration("ran", out.Ran))
	return out
}

// levelOf returns the level of an end's log line: ends that the target did not
// list are few, and decide whether a task starts again.
func levelOf(e ending) zapcore.Level {
	if e.shown == batch.ByListing || e.end == batch.NotStarted {
		return zap.DebugLevel
	}
	return zap.InfoLevel
}

// execute orders a start and waits for the end of the run.
func (p *Porter) execute(ctx context.Context, r *run) ending {
	o, reason := p.startOrder(ctx, r)
	if reason != "" {
		return ending{batch.NotStarted, reason, batch.ByWaiting}
	}
	reply, err := p.order(r.target, p.opts.Driver.Start, o)
	var refused NotDelivered
	switch {
	case errors.As(err, &refused):
		p.unreachable(r.target, refused.Reason)
		return ending{batch.NotStarted, refused.Reason, batch.ByNoDelivery}
	case err != nil:
		// The order may be carried out late: a stop that is obeyed rules it out.
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
		return ending{batch.NotStarted, reply.Verdict.String(), batch.ByRefusal}
	}
	p.mu.Lock()
	r.accepted, r.progress = true, pace.Begun(p.opts.Clock.Now())
	p.mu.Unlock()
	select {
	case e := <-r.ended:
		return e
	case <-ctx.Done():
		return p.stop(r, "the entry gave up")
	case <-r.quit:
		return p.stop(r, r.reason)
	}
}

// startOrder returns the order to start a run that has room, or why it must not
// start any more: much may have happened since it was granted.
func (p *Porter) startOrder(ctx context.Context, r *run) (o Order, reason string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case ctx.Err() != nil:
		return o, "the entry gave up"
	case p.opts.Clock.Now().After(p.leases[r.owner]):
		return o, "the entry's lease has ended"
	case p.target != r.target || r.target.leaving:
		return o, "the target is leaving"
	case len(r.ended) > 0 || r.reason != "":
		return o, "the run was given up"
	}
	o = Order{Task: r.key.Task, Run: r.key.Run, Spec: r.order.Spec, Until: p.renewal(r.target), Fence: r.target.fence}
	if o.Until == 0 {
		return o, "the target's lease is not renewed"
	}
	r.ordered = true
	return o, ""
}

// order gives an order, whoever asked for it may have left, and learns from how
// long the answer takes.
func (p *Porter) order(h *hosted, give func(context.Context, Target, Order) (Reply, error), o Order) (Reply, error) {
	p.mu.Lock()
	t, timeout := h.Target, h.answers.Timeout()
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	sent := p.opts.Clock.Now()
	a, err := give(ctx, t, o)
	if err == nil {
		p.mu.Lock()
		h.answers = h.answers.With(p.opts.Clock.Since(sent))
		p.mu.Unlock()
	}
	return a, err
}

// stop ends a run, and returns once something shows that it runs no more: the
// target's listing, a successor, or the end of the lease.
func (p *Porter) stop(r *run, reason string) ending {
	p.mu.Lock()
	r.mustEnd = p.opts.Clock.Now().Add(p.opts.TargetLease)
	p.mu.Unlock()
	told := false
	for {
		p.mu.Lock()
		o := Order{Task: r.key.Task, Run: r.key.Run, Fence: r.target.fence}
		p.mu.Unlock()
		reply, err := p.order(r.target, p.opts.Driver.Stop, o)
		wait := holdPause
		switch {
		case err == nil && reply.Verdict == Accepted:
			if shown := p.shown(r); shown != "" {
				return ending{batch.Stopped, reason, shown}
			}
			wait = stopGrace
		case !told:
			told = true
			log := p.opts.Log.With(zap.String("task", r.key.Task), zap.Uint64("run", r.key.Run))
			if err != nil {
				log.Info("stop not obeyed", zap.Error(err))
			} else {
				log.Info("stop not obeyed", zap.Stringer("verdict", reply.Verdict))
			}
		}
		select {
		case e := <-r.ended:
			return ending{e.end, reason, e.shown}
		case <-p.opts.Clock.After(wait):
		}
		p.mu.Lock()
		over := r.target.lease.Over(p.opts.Clock.Now())
		p.mu.Unlock()
		if over {
			return ending{batch.Stopped, reason, batch.ByLease}
		}
	}
}

// shown returns what shows that a run is over whose stop was obeyed, empty for
// nothing. A start that was never carried out is ruled out by the stop; one that
// was accepted ends when the target lists its end, which the hold loop reads for
// the present target.
func (p *Porter) shown(r *run) batch.Shown {
	p.mu.Lock()
	wait := r.accepted && p.target == r.target
	p.mu.Unlock()
	if wait {
		return ""
	}
	l, err := p.renew(context.Background(), r.target, 0)
	if err != nil || l.Verdict != Accepted {
		return ""
	}
	isRun := func(x Standing) bool { return x.Running == r.key }
	hasEnded := func(x Ended) bool { return x.Task == r.key.Task && x.Run == r.key.Run }
	switch {
	case slices.ContainsFunc(l.Ended, hasEnded):
		return batch.ByListing
	case !r.accepted && !slices.ContainsFunc(l.Running, isRun):
		return batch.ByAbsence
	}
	return ""
}
