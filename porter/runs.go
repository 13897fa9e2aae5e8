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
	r, reason := p.enter(peer.Name, m)
	if r == nil {
		return wire.RunEnded{End: batch.NotStarted, Reason: reason}
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
	reply, err := p.orderStart(r)
	var gone Gone
	switch {
	case errors.As(err, &gone):
		p.unreachable(r.target, gone.Reason, gone.Shown)
		return ending{batch.NotStarted, gone.Reason, gone.Shown}
	case err != nil:
		// The order may be carried out late: a stop that is obeyed rules it out.
		p.opts.Log.Warn("start unanswered", zap.String("task", r.key.Task), zap.Uint64("run", r.key.Run), zap.Error(err))
		e := p.stop(r, "the target left the start unanswered")
		if e.end == batch.Stopped {
			e.end = batch.Unanswered
		}
		return e
	case reply.Verdict != Accepted:
		p.opts.Log.Debug("start rejected", zap.String("task", r.key.Task), zap.Int("verdict", int(reply.Verdict)))
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

func (p *Porter) orderStart(r *run) (Reply, error) {
	p.mu.Lock()
	o := Order{Task: r.key.Task, Run: r.key.Run, Spec: r.order.Spec, Until: p.renewal(r.target), Fence: r.target.fence}
	p.mu.Unlock()
	return p.order(r.target, p.opts.Driver.Start, o)
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

// stop ends a run, and returns once it certainly runs no more: the target says
// so, or its lease has ended.
func (p *Porter) stop(r *run, reason string) ending {
	for {
		p.mu.Lock()
		o := Order{Task: r.key.Task, Run: r.key.Run, Fence: r.target.fence}
		left := r.target.leaseEnds.Sub(p.opts.Clock.Now())
		p.mu.Unlock()
		reply, err := p.order(r.target, p.opts.Driver.Stop, o)
		wait := min(holdPause, left)
		if err == nil && reply.Verdict != Fenced {
			if p.isOver(r) {
				return ending{batch.Stopped, reason, batch.ByAbsence}
			}
			if reply.Verdict != Accepted {
				p.opts.Log.Info("stop rejected", zap.String("task", r.key.Task), zap.Uint64("run", r.key.Run),
					zap.Stringer("verdict", reply.Verdict))
			}
			wait = stopGrace
		}
		select {
		case e := <-r.ended:
			return ending{e.end, reason, e.shown}
		case <-p.opts.Clock.After(wait):
		}
		var gone Gone
		switch {
		case errors.As(err, &gone):
			return ending{batch.Stopped, reason, gone.Shown}
		case err == nil && reply.Verdict != Fenced:
			return ending{batch.Stopped, reason, batch.ByStop}
		case left <= 0:
			return ending{batch.Stopped, reason, batch.ByLease}
		}
	}
}

// isOver reports whether the target lists no run of a stopped order: one that
// was never carried out is ruled out by the stop, and need not be waited for.
func (p *Porter) isOver(r *run) bool {
	l, err := p.renew(context.Background(), r.target, 0)
	if err != nil || l.Verdict != Accepted {
		return false
	}
	return !slices.ContainsFunc(l.Running, func(x Standing) bool { return x.Running == r.key })
}
