package porter

import (
	"context"
	"errors"
	"slices"

	"go.uber.org/zap"

	"cyclamenrelay.example/batch"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/wire"
)

// start runs a task to its end, for as long as the entry waits for it.
func (p *Porter) start(ctx context.Context, peer link.Peer, m wire.StartRun) wire.Message {
	begun := p.opts.Clock.Now()
	r, reason := p.enter(peer.Name, m)
	if r == nil {
		return wire.RunEnded{End: batch.NotStarted, Reason: reason}
	}
	defer p.leave(r)
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
	p.opts.Log.Debug("run ended", zap.String("task", m.Task), zap.Uint64("run", m.Run), zap.String("end", string(end)),
		zap.String("reason", reason), zap.Duration("waited", out.Waited), zap.Duration("ran", out.Ran))
	return out
}

// execute orders a start and waits for the end of the run.
func (p *Porter) execute(ctx context.Context, r *run) (batch.End, string) {
	reply, err := p.orderStart(ctx, r)
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
	select {
	case e := <-r.ended:
		return e.end, e.reason
	case <-ctx.Done():
		return p.stop(r, "the entry gave up")
	case <-r.quit:
		return p.stop(r, r.reason)
	}
}

func (p *Porter) orderStart(ctx context.Context, r *run) (Reply, error) {
	p.mu.Lock()
	o := Order{Task: r.key.Task, Run: r.key.Run, Spec: r.order.Spec, Until: p.renewal(r.target), Fence: r.target.fence}
	t := r.target.Target
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), orderTimeout)
	defer cancel()
	return p.opts.Driver.Start(ctx, t, o)
}

// stop ends a run, and returns once it certainly runs no more: the target says
// so, or its lease has ended.
func (p *Porter) stop(r *run, reason string) (batch.End, string) {
	for {
		p.mu.Lock()
		o := Order{Task: r.key.Task, Run: r.key.Run, Fence: r.target.fence}
		t, left := r.target.Target, r.target.leaseEnds.Sub(p.opts.Clock.Now())
		p.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
		reply, err := p.opts.Driver.Stop(ctx, t, o)
		cancel()
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
	p.mu.Lock()
	q := Hold{Until: p.renewal(r.target), Fence: r.target.fence, Seen: r.target.seen}
	t := r.target.Target
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	l, err := p.opts.Driver.Hold(ctx, t, q)
	if err != nil || l.Verdict != Accepted {
		return false
	}
	return !slices.Contains(l.Running, r.key)
}
