package route

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"cyclamenrelay.example/link"
	"cyclamenrelay.example/place"
	"cyclamenrelay.example/wire"
)

// maxQueuedDemand bounds the messages to one agent that are queued to be sent in order.
const maxQueuedDemand = 256

// call sends a start and returns the agent's answer, or that there is none.
func (r *Router) call(ctx context.Context, agent string, m wire.Start) place.Input {
	lost := place.Unanswered{Agent: agent, ID: m.Task.ID}
	a, err := r.node.CallPeer(ctx, agent, m)
	if err != nil {
		r.opts.Log.Debug("no answer from the agent", zap.String("agent", agent), zap.String("task", m.Task.ID), zap.Error(err))
		lost.Unsent = link.NotSent(err)
		return lost
	}
	switch a := a.(type) {
	case wire.Result:
		if intact(m.Task.ID, a) {
			a.Free = max(a.Free, 0)
			return place.Answer{Agent: agent, Result: a}
		}
		r.opts.Log.Warn("answer of the agent is for another task or its checksum is wrong", zap.String("agent", agent), zap.String("task", m.Task.ID))
	case wire.Refused:
		r.opts.Log.Warn("agent refused the start message", zap.String("agent", agent), zap.String("reason", a.Reason))
		lost.Unsent = !a.MayHaveApplied
	}
	return lost
}

// intact reports whether the answer belongs to the task and its body has the right
// checksum.
func intact(id string, r wire.Result) bool {
	if r.ID != id {
		return false
	}
	return r.Complete == nil || xxhash.Sum64(r.Complete.Body) == r.Digest
}

// queueDemand queues a message to be sent to the agent after the earlier ones, since
// each replaces the content of the one before. When the queue is full the message
// is dropped.
func (r *Router) queueDemand(ctx context.Context, wg *sync.WaitGroup, agent string, m wire.Message) {
	c := r.demand[agent]
	if c == nil {
		c = make(chan wire.Message, maxQueuedDemand)
		r.demand[agent] = c
		wg.Go(func() { r.sendDemand(ctx, agent, c) })
	}
	select {
	case c <- m:
	default:
		r.opts.Log.Debug("demand dropped, too many messages to the agent are queued", zap.String("agent", agent))
	}
}

// sendDemand sends the messages of c one after another until c is closed or ctx ends.
func (r *Router) sendDemand(ctx context.Context, agent string, c <-chan wire.Message) {
	for {
		select {
		case <-ctx.Done():
			return
		case m, ok := <-c:
			if !ok {
				return
			}
			cctx, cancel := context.WithTimeout(ctx, postTimeout)
			if _, err := r.node.CallPeer(cctx, agent, m); err != nil {
				r.opts.Log.Debug("agent did not confirm the demand", zap.String("agent", agent), zap.Error(err))
			}
			cancel()
		}
	}
}
