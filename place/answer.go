package place

import (
	"time"

	"cyclamenrelay.example/fleet"
	"cyclamenrelay.example/model"
)

// minRetryAfter is the least time that a refused caller is told to wait.
const minRetryAfter = 50 * time.Millisecond

func retryAfter(d time.Duration) time.Duration { return max(d, minRetryAfter) }

// answer handles the result of a start. Of a late or unknown result only the
// number of free slots is used.
func (c *Core) answer(in Answer) {
	t := c.fleet.Target(in.Agent)
	if t == nil {
		return
	}
	c.fleet.Answered(c.now, t, in.Result.Free)
	if r := c.requests[in.Result.ID]; r != nil {
		if i := r.attempt(t); i >= 0 {
			c.answered(r, i, in)
		}
	}
	c.pump(t)
}

// attempt returns the index of the unanswered start at the current incarnation
// of t, or -1.
func (r *request) attempt(t *fleet.Target) int {
	for i, a := range r.attempts {
		if a.t == t && a.inc == t.Incarnation() {
			return i
		}
	}
	return -1
}

// answered handles the result of the i-th unanswered start of r.
func (c *Core) answered(r *request, i int, in Answer) {
	a := r.attempts[i]
	c.drop(r, i)
	took := c.now.Sub(a.sent)
	switch res := in.Result; {
	case res.Complete != nil:
		c.judge(r, a.t, false)
		r.kind.Add(took, r.task.RunTime)
		c.queue.Correct(&r.item, took)
		c.resolve(r, *res.Complete)
	case res.Failed != nil:
		c.judge(r, a.t, true)
		c.queue.Correct(&r.item, took)
		c.again(r, a.t, *res.Failed)
	case res.NotRun != nil:
		c.bounced(r, a.t, *res.NotRun)
	default:
		c.again(r, a.t, model.Failed{Reason: "the answer has no outcome", MayHaveRun: true, Target: a.t.TargetName()})
	}
}

// judge counts an outcome of r at t in the health of t.
func (c *Core) judge(r *request, t *fleet.Target, failed bool) {
	c.fleet.Judge(c.now, t, failed, r.kind.seen.Note(t, failed))
}

// bounced handles the refusal of a start by the agent of t: r did not run there.
func (c *Core) bounced(r *request, t *fleet.Target, n model.NotRun) {
	r.starts--
	r.bounces++
	switch n.Code {
	case model.CodeSeen:
		c.again(r, t, model.Failed{Reason: "an earlier start of the task may have run", MayHaveRun: true})
		return
	case model.CodeBusy, model.CodeStale:
		t.Free = min(t.Free, 0)
	case model.CodeLeaving, model.CodeNoTarget:
		c.fleet.Leaving(c.now, t)
	default:
		r.bounces = maxBounces
	}
	switch {
	case len(r.attempts) > 0:
		c.timers.Set(r, c.nextWake(r))
	case r.bounces >= maxBounces:
		c.refuse(r, n.Code, n.Reason, retryAfter(n.RetryAfter))
	default:
		c.restart(r, Bounced)
	}
}

// lost handles a start that will get no answer.
func (c *Core) lost(in Lost) {
	t, r := c.fleet.Target(in.Agent), c.requests[in.ID]
	if t == nil || r == nil {
		return
	}
	i := r.attempt(t)
	if i < 0 {
		return
	}
	t.Free = min(t.Free, 0)
	c.drop(r, i)
	if in.Unsent {
		c.bounced(r, t, model.NotRun{Reason: "the target cannot be reached", Code: model.CodeBusy})
		return
	}
	c.again(r, t, model.Failed{Reason: "the link to the target was lost", MayHaveRun: true, Target: t.TargetName()})
}

// again handles the failure f of a start of r at t. While another start of r is
// unanswered, its result is awaited. Otherwise r is retried if its idempotence,
// maxStarts and the retry budget allow that, or fails with f.
func (c *Core) again(r *request, t *fleet.Target, f model.Failed) {
	r.last = &f
	r.tried = append(r.tried, t)
	if len(r.attempts) > 0 {
		c.timers.Set(r, c.nextWake(r))
		return
	}
	if !r.task.Idempotent || r.starts >= maxStarts || !c.budgets.Of(r.item.Share).Spend() {
		c.resolve(r, f)
		return
	}
	c.restart(r, Retry)
}

// restart starts r again at once, or queues it in the order of its arrival, which
// is ahead of later work.
func (c *Core) restart(r *request, cause Cause) {
	if !c.classify(r) {
		return
	}
	if cause == Bounced {
		r.charged = false
	}
	c.timers.Set(r, r.deadline)
	if r.bounces < maxDirect {
		if t := c.choose(r); t != nil {
			c.start(r, t, 0, cause)
			return
		}
	}
	if r.last != nil && r.item.Class.Size() <= len(r.tried) {
		c.refuse(r, model.CodeNoTarget, "no other target matches", 0)
		return
	}
	c.enqueue(r)
}
