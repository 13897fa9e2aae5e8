package place

import (
	"slices"

	"cyclamenrelay.example/fleet"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/wire"
)

// onAnnounce applies an announcement. Starts at an earlier incarnation of the agent
// are given up, and queued work is started on the free slots.
func (c *Core) onAnnounce(a wire.Announce) {
	t, restarted := c.fleet.Announce(c.now, a)
	if t == nil {
		return
	}
	if restarted {
		c.abandon(func(a attempt) bool { return a.target == t && a.incarnation != t.Incarnation() })
	}
	c.startQueued(t)
}

// abandon cancels the unanswered starts that lost selects, and retries or fails
// their requests.
func (c *Core) abandon(lost func(attempt) bool) {
	for _, r := range c.requestsWhere(func(r *request) bool { return slices.ContainsFunc(r.attempts, lost) }) {
		for i := len(r.attempts) - 1; i >= 0 && c.requests[r.item.ID] == r; i-- {
			if a := r.attempts[i]; lost(a) {
				c.emit(Cancel{Agent: a.target.Name, ID: r.item.ID})
				c.dropAttempt(r, i)
				c.retryOrFail(r, a.target, model.Failed{Reason: "the target's agent restarted or sends no heartbeats", MayHaveRun: true, Target: a.target.TargetName()})
			}
		}
	}
}

// startQueued starts queued work on the free slots of t.
func (c *Core) startQueued(t *fleet.Target) {
	for c.queue.Len() > 0 && t.Free > 0 && t.AcceptsQueued(c.now) {
		r := c.popFor(t, "")
		if r == nil {
			return
		}
		c.start(r, t, 0, r.cause())
	}
}

// startAllQueued starts queued work on the free slots of all targets.
func (c *Core) startAllQueued() {
	if c.queue.Len() == 0 {
		return
	}
	for _, t := range c.fleet.Targets() {
		c.startQueued(t)
	}
}

// popFor removes and returns the next queued request that may run on t and was not
// started there before, or nil. Unless share is empty, only that share is
// searched. Requests that can no longer finish before their deadline are refused.
func (c *Core) popFor(t *fleet.Target, share string) *request {
	var skipped []*request
	defer func() {
		for _, r := range skipped {
			c.queue.CorrectCharge(&r.item, 0)
			c.enqueue(r)
		}
	}()
	for {
		i := c.queue.Pop(share, func(k *fleet.Class) bool { return k.Has(t) }, c.withinQuota)
		if i == nil {
			return nil
		}
		r := c.requests[i.ID]
		i.Class.Queued--
		c.teams.AddQueued(i.Team, -1)
		if slices.Contains(r.tried, t) {
			skipped = append(skipped, r)
			continue
		}
		if c.now.Add(r.kind.P90()).After(r.deadline) {
			c.queue.CorrectCharge(i, 0)
			c.refuse(r, model.CodeDeadline, "the work cannot finish before its deadline", retryAfter(c.serviceRates.Of(i.Share).Wait(1)))
			continue
		}
		r.charged = true
		c.serviceRates.Of(i.Share).RecordStart(c.now, c.queue.ShareLen(i.Share) > 0)
		return r
	}
}

// cause returns why a queued request is started.
func (r *request) cause() Cause {
	switch {
	case r.lastFailure != nil:
		return Retry
	case r.refusals > 0:
		return Refused
	}
	return First
}

// onGranted starts queued work on a reserved slot: work of the share that the slot
// was granted to, else any other work. The grant is returned when there is none.
func (c *Core) onGranted(in Granted) {
	t := c.fleet.Target(in.Agent)
	if t == nil {
		return
	}
	var r *request
	if t.AcceptsQueued(c.now) {
		r = c.popFor(t, in.Grant.Share)
		if r == nil {
			r = c.popFor(t, "")
		}
	}
	if r == nil {
		c.fleet.SubtractGrant(t, in.Grant.Share, nil)
		t.Free = max(t.Free, 0) + 1
		c.emit(ReturnGrant{Agent: t.Name, Return: wire.ReturnGrant{ID: in.Grant.ID}})
		return
	}
	c.fleet.SubtractGrant(t, in.Grant.Share, r.item.Class)
	c.start(r, t, in.Grant.ID, r.cause())
}

// Candidates returns agents whose targets may take the task, at most n, the nearest first.
func (c *Core) Candidates(t model.Task, n int) []string {
	k, err := c.fleet.Class(c.now, c.rules.Classify(t.Labels), &t)
	if err != nil {
		return nil
	}
	var out []string
	for _, to := range k.Pick(c.rnd, n) {
		out = append(out, to.Name)
	}
	return out
}

// sendDemand sends demand to agents when the queued work of k needs more slots than
// have been asked for.
func (c *Core) sendDemand(k *fleet.Class) {
	share := k.Share()
	for _, t := range k.AddDemand(c.now, c.queue.Len(), c.settings.Fanout) {
		w := wire.ShareDemand{Share: share, Count: c.fleet.Demand(t, share), Urgency: c.queue.Urgency(share)}
		c.emit(SendDemand{Agent: t.Name, Demand: wire.Demand{Wants: []wire.ShareDemand{w}}})
	}
}

// withinQuota reports whether the team may use one more slot from this entry.
func (c *Core) withinQuota(team string) bool {
	return c.teams.Allows(team, c.rules.Team(team).Quota)
}
