package place

import (
	"slices"
	"time"

	"cyclamenrelay.example/fleet"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/queue"
	"cyclamenrelay.example/timer"

	"github.com/gravitational/trace"
)

// Bounds on one request.
const (
	maxStarts         = 3                // starts that may have run, hedges included
	maxRefusals       = 8                // refusals by agents, after which the request is refused
	maxDirectRefusals = 3                // refusals by agents, after which the request is queued
	defaultTimeToLive = 30 * time.Second // from arrival to deadline, when the task names none
	timeoutRatio      = 10               // a start times out after this multiple of the run time at timeoutQuantile
	timeoutQuantile   = 0.99             // quantile of the run times of the kind of work
)

// attempt is a start that has not been answered yet.
type attempt struct {
	target      *fleet.Target
	sent        time.Time
	incarnation uint64 // the target's incarnation
}

// request is a task that has no outcome yet.
type request struct {
	timer.Timer
	item     queue.Item[*fleet.Class]
	task     model.Task
	kind     *kindStats
	arrived  time.Time
	deadline time.Time
	attempts []attempt
	tried    []*fleet.Target // targets that are not to get another start
	starts   int             // starts that were not refused by an agent
	refusals int             // starts that were refused by an agent
	hedged   bool
	// lastFailure is the failure of the latest start that ran or may have run. Once
	// it is set, the outcome can no longer be NotRun.
	lastFailure *model.Failed
	charged     bool // the queue has charged the share and the team
}

// onArrive starts a new request at once if choose finds a target, else queues or refuses it.
func (c *Core) onArrive(t model.Task) {
	if c.requests[t.ID] != nil {
		panic("place: request " + t.ID + " arrives twice")
	}
	timeLeft := t.TimeLeft
	if timeLeft <= 0 {
		timeLeft = defaultTimeToLive
	}
	timeLeft = min(timeLeft, model.MaxTimeToLive)
	c.lastSerial++
	r := &request{
		task: t, kind: c.statsOf(t.Kind()), arrived: c.now, deadline: c.now.Add(timeLeft), Timer: timer.New(c.lastSerial),
	}
	r.item.ID = t.ID
	c.requests[t.ID] = r
	if !c.classify(r) {
		return
	}
	c.timers.Set(r, r.deadline)
	if target := c.choose(r); target != nil {
		c.start(r, target, 0, First)
		return
	}
	c.admit(r)
}

// classify sets the share, class, team, urgency and estimate of r by the rules. r
// must not be queued. It returns false when r was refused because of its selector.
func (c *Core) classify(r *request) bool {
	rule := c.rules.Classify(r.task.Labels)
	k, err := c.fleet.Class(c.now, rule, &r.task)
	if err != nil {
		code := model.CodeInvalid
		if trace.IsLimitExceeded(err) {
			code = model.CodeQueueFull
		}
		c.refuse(r, code, err.Error(), minRetryAfter)
		return false
	}
	i := &r.item
	i.Share, i.Weight, i.Class = rule.Name, rule.Weight, k
	i.Team = r.task.Team()
	i.TeamWeight = c.rules.Team(i.Team).Weight
	i.Urgency = rule.UrgencyOf(&r.task)
	i.Estimate = r.kind.Estimate(r.task.RunTime)
	return true
}

// admit queues r, or refuses it when its share's queue is full or its deadline is too near.
func (c *Core) admit(r *request) {
	share, k := r.item.Share, r.item.Class
	n := c.queue.ShareLen(share)
	wait := c.serviceRates.Of(share).Wait(n + 1)
	if n >= k.Rule.QueueBound {
		c.refuse(r, model.CodeQueueFull, "the queue of this kind of work is full", retryAfter(wait))
		return
	}
	// A declared run time is a hint: only measured run times may cause a refusal.
	need := wait + min(r.item.Estimate, r.kind.Mean())
	if left := r.deadline.Sub(c.now); need > left {
		c.refuse(r, model.CodeDeadline, "the work cannot finish before its deadline", retryAfter(need-left))
		return
	}
	c.enqueue(r)
}

func (c *Core) enqueue(r *request) {
	c.queue.Push(&r.item)
	r.item.Class.Queued++
	c.teams.AddQueued(r.item.Team, 1)
}

func (c *Core) unqueue(r *request) {
	if c.queue.Remove(&r.item) {
		r.item.Class.Queued--
		c.teams.AddQueued(r.item.Team, -1)
	}
}

// choose returns a target on which r can be started now, or nil.
func (c *Core) choose(r *request) *fleet.Target {
	if !c.withinQuota(r.item.Team) {
		return nil
	}
	eligible := func(t *fleet.Target) bool {
		return t.Allows(c.now, r.task.Idempotent) && !slices.Contains(r.tried, t)
	}
	return fleet.Choose(c.settings.Policy, r.item.Class, c.rnd, eligible)
}

// start sends r to t, on the grant unless that is 0. r must not be queued; a
// request that was popped from the queue has been charged already.
func (c *Core) start(r *request, t *fleet.Target, grant uint64, cause Cause) {
	if r.item.Queued() || c.requests[r.item.ID] != r {
		panic("place: start of request " + r.item.ID + ", which is queued or has its outcome")
	}
	if cause != Refused && r.starts > 0 && !r.task.Idempotent {
		panic("place: second start of non-idempotent request " + r.item.ID)
	}
	if !r.charged {
		r.charged = true
		c.queue.Charge(&r.item)
	}
	if len(r.attempts) == 0 {
		c.teams.AddInUse(r.item.Team, 1)
	}
	t.Inflight++
	r.starts++
	r.attempts = append(r.attempts, attempt{target: t, sent: c.now, incarnation: t.Incarnation()})
	if cause == First {
		c.retryBudgets.Of(r.item.Share).Earn(r.item.Class.Rule.RetryBudget)
	}
	if grant == 0 {
		t.RecordStart(c.now)
	}
	c.emit(Start{Agent: t.Name, Task: r.task.WithTimeLeft(r.deadline.Sub(c.now)), Grant: grant, Cause: cause})
	c.timers.Set(r, c.nextTimer(r))
}

// nextTimer returns when the timer of a started request expires: at its deadline,
// at the timeout of a start, or when it is to be hedged.
func (c *Core) nextTimer(r *request) time.Time {
	at := r.deadline
	bound := c.timeout(r.kind)
	for _, a := range r.attempts {
		if end := a.sent.Add(bound); end.Before(at) {
			at = end
		}
	}
	if h, ok := c.hedgeAt(r); ok && h.Before(at) {
		at = h
	}
	return at
}

// timeout returns the time after which an unanswered start of the kind is given up.
func (c *Core) timeout(k *kindStats) time.Duration {
	p99, ok := k.Quantile(timeoutQuantile)
	if !ok {
		return c.settings.MaxTimeout
	}
	return min(max(timeoutRatio*p99, c.settings.MinTimeout), c.settings.MaxTimeout)
}

// hedgeAt returns when r is to be hedged, and whether it is to be at all.
func (c *Core) hedgeAt(r *request) (time.Time, bool) {
	q := r.item.Class.Rule.Hedge
	if q <= 0 || r.hedged || !r.task.Idempotent || len(r.attempts) != 1 || r.starts >= maxStarts {
		return time.Time{}, false
	}
	d, ok := r.kind.Quantile(q)
	return r.attempts[0].sent.Add(d), ok
}

// onTimer handles the expired timer of r.
func (c *Core) onTimer(r *request) {
	if !c.now.Before(r.deadline) {
		c.deadlinePassed(r)
		return
	}
	if r.item.Queued() {
		c.timers.Set(r, r.deadline)
		return
	}
	bound := c.timeout(r.kind)
	for i := 0; i < len(r.attempts); i++ {
		a := r.attempts[i]
		if c.now.Sub(a.sent) < bound {
			continue
		}
		c.countOutcome(r, a.target, true)
		c.emit(Cancel{Agent: a.target.Name, ID: r.item.ID})
		c.dropAttempt(r, i)
		c.retryOrFail(r, a.target, model.Failed{Reason: "the target did not answer in time", MayHaveRun: true, Target: a.target.TargetName()})
		return
	}
	if at, ok := c.hedgeAt(r); ok && !c.now.Before(at) {
		c.hedge(r)
	}
	c.timers.Set(r, c.nextTimer(r))
}

// hedge starts r on a second target if one is free and the budget allows it.
func (c *Core) hedge(r *request) {
	r.hedged = true
	r.tried = append(r.tried, r.attempts[0].target)
	if k, err := c.fleet.Class(c.now, c.rules.Classify(r.task.Labels), &r.task); err == nil {
		r.item.Class = k
	}
	if t := c.choose(r); t != nil && t.Free > 0 && c.retryBudgets.Of(r.item.Share).Spend() {
		c.start(r, t, 0, Hedge)
	}
}

// deadlinePassed ends a request whose deadline has passed.
func (c *Core) deadlinePassed(r *request) {
	if len(r.attempts) > 0 {
		c.resolve(r, model.Failed{Reason: "no answer before the deadline", MayHaveRun: true})
		return
	}
	c.refuse(r, model.CodeDeadline, "the deadline passed in the queue", retryAfter(c.serviceRates.Of(r.item.Share).Wait(1)))
}

// refuse ends a request that has no unanswered start: with the failure of its
// last start if there is one, else as not run.
func (c *Core) refuse(r *request, code model.Code, reason string, after time.Duration) {
	if r.lastFailure != nil {
		c.resolve(r, *r.lastFailure)
		return
	}
	c.resolve(r, model.NotRun{Reason: reason, Code: code, RetryAfter: after})
}

// resolve gives r its one outcome and cancels its unanswered starts.
func (c *Core) resolve(r *request, o model.Outcome) {
	if c.requests[r.item.ID] != r {
		panic("place: second outcome for request " + r.item.ID)
	}
	if _, ok := o.(model.NotRun); ok && (r.lastFailure != nil || len(r.attempts) > 0) {
		panic("place: notRun for request " + r.item.ID + ", which may have run")
	}
	c.unqueue(r)
	for len(r.attempts) > 0 {
		c.emit(Cancel{Agent: r.attempts[0].target.Name, ID: r.item.ID})
		c.dropAttempt(r, 0)
	}
	c.timers.Remove(r)
	delete(c.requests, r.item.ID)
	c.emit(Resolve{ID: r.item.ID, Outcome: o})
}

// dropAttempt removes the i-th attempt of r.
func (c *Core) dropAttempt(r *request, i int) {
	t := r.attempts[i].target
	if r.attempts[i].incarnation == t.Incarnation() {
		t.Inflight--
	}
	if t.Inflight < 0 {
		panic("place: negative number of starts in flight at " + t.Name)
	}
	r.attempts = append(r.attempts[:i], r.attempts[i+1:]...)
	if len(r.attempts) == 0 {
		c.teams.AddInUse(r.item.Team, -1)
	}
}

// onCancelled ends a request that its caller has cancelled.
func (c *Core) onCancelled(id string) {
	r := c.requests[id]
	if r == nil {
		return
	}
	if len(r.attempts) > 0 {
		c.resolve(r, model.Failed{Reason: "the caller cancelled", MayHaveRun: true})
		return
	}
	c.refuse(r, model.CodeCancelled, "the caller cancelled", 0)
}
