package porter

import (
	"context"
	"errors"
	"slices"

	"go.uber.org/zap"

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
		return wire.RunEnded{End: batch.NotStarted, Reason: "the entry gave up"}
	case <-r.quit:
		return wire.RunEnded{End: batch.NotStarted, Reason: r.reason}
	case e := <-r.ended:
		return wire.RunEnded{End: batch.NotStarted, Reason: e.reason}
	}
	at := p.opts.Clock.Now()
	end, reason := p.execute(ctx, r)
	out := wire.RunEnded{End: end, Reason: reason, Waited: at.Sub(begun), Ran: p.opts.Clock.Since(at)}
	p.opts.Log.Debug("run ended", zap.String("task", r.key.Task), zap.Uint64("run", r.key.Run), zap.String("end", string(end)),
		zap.String("reason", reason), zap.Duration("waited", out.Waited), zap.Duration("ran", out.Ran))
	return out
}

// execute orders a start and waits for the end of the run.
func (p *Porter) execute(ctx context.Context, r *run) (batch.End, string) {
	reply, err := p.orderStart(r)
	var gone Gone
	switch {
	case errors.As(err, &gone):
		p.unreachable(r.target, gone.Reason)
		return batch.NotStarted, gone.Reason
	case err != nil:
		// The order may be carried out late: a stop that is obeyed rules it out.
		p.opts.Log.Warn("start unanswered", zap.String("task", r.key.Task), zap.Uint64("run", r.key.Run), zap.Error(err))
		end, reason := p.stop(r, "the target left the start unanswered")
		if end == batch.Stopped {
			end = batch.Unanswered
		}
		return end, reason
	case reply.Verdict != Accepted:
		p.opts.Log.Debug("start rejected", zap.String("task", r.key.Task), zap.Int("verdict", int(reply.Verdict)))
		if reply.Verdict == Fenced {
			p.raiseFence(r.target, reply.Clock)
		}
		return batch.NotStarted, reply.Verdict.String()
	}
	p.mu.Lock()
	r.accepted, r.progress = true, pace.Begun(p.opts.Clock.Now())
	p.mu.Unlock()
	select {
	case e := <-r.ended:
		return e.end, e.reason
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
func (p *Porter) stop(r *run, reason string) (batch.End, string) {
	for {
		p.mu.Lock()
		o := Order{Task: r.key.Task, Run: r.key.Run, Fence: r.target.fence}
		left := r.target.leaseEnds.Sub(p.opts.Clock.Now())
		p.mu.Unlock()
		reply, err := p.order(r.target, p.opts.Driver.Stop, o)
		wait := min(holdPause, left)
		if err == nil && reply.Verdict != Fenced {
			if p.isOver(r) {
				return batch.Stopped, reason
			}
			wait = stopGrace
		}
		select {
		case e := <-r.ended:
			return e.end, reason
		case <-p.opts.Clock.After(wait):
		}
		var gone Gone
		if err == nil && reply.Verdict != Fenced || errors.As(err, &gone) || left <= 0 {
			return batch.Stopped, reason
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
