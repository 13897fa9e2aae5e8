package place

import (
	"time"

	"cyclamenrelay.example/fleet"
	"cyclamenrelay.example/model"
)

// minRetryAfter is the least time that a refused caller is told to wait.
const minRetryAfter = 50 * time.Millisecond

func retryAfter(d time.Duration) time.Duration { return max(d, minRetryAfter) }

// onAnswer handles the result of a start. Of a late or unknown result only the
// number of free slots is used.
func (c *Core) onAnswer(in Answer) {
	t := c.fleet.Target(in.Agent)
	if t == nil {
		return
	}
	c.fleet.ReportFree(c.now, t, in.Result.Free)
	if r := c.requests[in.Result.ID]; r != nil {
		if i := r.attemptAt(t); i >= 0 {
			c.attemptAnswered(r, i, in)
		}
	}
	c.startQueued(t)
}

// attemptAt returns the index of the unanswered start at the current incarnation
// of t, or -1.
func (r *request) attemptAt(t *fleet.Target) int {
	for i, a := range r.attempts {
		if a.target == t && a.incarnation == t.Incarnation() {
			return i
		}
	}
	return -1
}

// attemptAnswered handles the result of the i-th unanswered start of r.
func (c *Core) attemptAnswered(r *request, i int, in Answer) {
	a := r.attempts[i]
	c.dropAttempt(r, i)
	took := c.now.Sub(a.sent)
	switch res := in.Result; {
	case res.Complete != nil:
		c.countOutcome(r, a.target, false)
		r.kind.Record(took, r.task.RunTime)
		c.queue.CorrectCharge(&r.item, took)
		c.resolve(r, *res.Complete)
	case res.Failed != nil:
		c.countOutcome(r, a.target, true)
		c.queue.CorrectCharge(&r.item, took)
		c.retryOrFail(r, a.target, *res.Failed)
	case res.NotRun != nil:
		c.startRefused(r, a.target, *res.NotRun)
	default:
		c.retryOrFail(r, a.target, model.Failed{Reason: "the answer has no outcome", MayHaveRun: true, Target: a.target.TargetName()})
	}
}

// countOutcome counts an outcome of r at t in the health of t.
func (c *Core) countOutcome(r *request, t *fleet.Target, failed bool) {
	c.fleet.RecordOutcome(c.now, t, failed, r.kind.outcomes.Record(t, failed))
}

// startRefused handles the refusal of a start by the agent of t: r did not run there.
func (c *Core) startRefused(r *request, t *fleet.Target, n model.NotRun) {
	r.starts--
	r.refusals++
	switch n.Code {
	case model.CodeSeen:
		c.retryOrFail(r, t, model.Failed{Reason: "an earlier start of the task may have run", MayHaveRun: true})
		return
	case model.CodeBusy, model.CodeStale:
		t.Free = min(t.Free, 0)
	case model.CodeLeaving, model.CodeNoTarget:
		c.fleet.SetLeaving(c.now, t)
	default:
		r.refusals = maxRefusals
	}
	switch {
	case len(r.attempts) > 0:
		c.timers.Set(r, c.nextTimer(r))
	case r.refusals >= maxRefusals:
		c.refuse(r, n.Code, n.Reason, retryAfter(n.RetryAfter))
	default:
		c.restart(r, Refused)
	}
}

// onLost handles a start that will get no answer.
func (c *Core) onLost(in Unanswered) {
	t, r := c.fleet.Target(in.Agent), c.requests[in.ID]
	if t == nil || r == nil {
		return
	}
	i := r.attemptAt(t)
	if i < 0 {
		return
	}
	t.Free = min(t.Free, 0)
	c.dropAttempt(r, i)
	if in.Unsent {
		c.startRefused(r, t, model.NotRun{Reason: "the target cannot be reached", Code: model.CodeBusy})
		return
	}
	c.retryOrFail(r, t, model.Failed{Reason: "the link to the target was lost", MayHaveRun: true, Target: t.TargetName()})
}

// retryOrFail handles the failure f of a start of r at t. While another start of r is
// unanswered, its result is awaited. Otherwise r is retried if its idempotence,
// maxStarts and the retry budget allow that, or fails with f.
func (c *Core) retryOrFail(r *request, t *fleet.Target, f model.Failed) {
	r.lastFailure = &f
	r.tried = append(r.tried, t)
	if len(r.attempts) > 0 {
		c.timers.Set(r, c.nextTimer(r))
		return
	}
	if !r.task.Idempotent || r.starts >= maxStarts || !c.retryBudgets.Of(r.item.Share).Spend() {
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
	if cause == Refused {
		r.charged = false
	}
	c.timers.Set(r, r.deadline)
	if r.refusals < maxDirectRefusals {
		if t := c.choose(r); t != nil {
			c.start(r, t, 0, cause)
			return
		}
	}
	if r.lastFailure != nil && r.item.Class.Size() <= len(r.tried) {
		c.refuse(r, model.CodeNoTarget, "no other target matches", 0)
		return
	}
	c.enqueue(r)
}
