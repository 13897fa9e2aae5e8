package broker

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cyclamenrelay.example/admit"
	"cyclamenrelay.example/assign"
	"cyclamenrelay.example/meter"
	"cyclamenrelay.example/wire"
)

// maxSearches bounds the searches for other entries' targets that one job waits for: the one
// in progress when it comes, and one of its own.
const maxSearches = 2

// shareJob returns a step of the job as its admission by shares sees it.
func (w *jobRun) shareJob(tasks []assign.Task, slack time.Duration) admit.Job {
	j := admit.Job{Pool: w.queue.Pool, Queue: w.queue.Name, Priority: w.queue.Priority, Slack: slack, Tasks: len(tasks)}
	for _, t := range tasks {
		j.Work += admit.Work(1, t.Need, t.Estimate)
	}
	return j
}

// recordDecision records the decision on a step for the shares of the queues.
func (w *jobRun) recordDecision(tasks []assign.Task, admitted bool) {
	b := w.broker
	if b.shares == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shares.Record(w.shareJob(tasks, 0), admitted, b.opts.Clock.Now())
}

// hops is the part of overhead for the messages between entry and agent, which the slack
// allows for; the rest is for the caller's link.
const hops = overhead / 2

// recordDelay records by how much a task that is done started later than expected. The caller
// holds the broker's mu.
func (w *jobRun) recordDelay(t *task, ended wire.RunEnded, now time.Time) {
	if w.broker.shares == nil || ended.Ran <= 0 {
		return
	}
	w.broker.shares.RecordDelay(w.queue.Pool, w.queue.Name, now.Sub(t.placedAt)-ended.Ran-t.expectedWait-hops, now)
}

// usesShares reports whether shares decide on admission: only where the entry does not know the
// whole load, as agents report to some of the entries. Otherwise the limits of the expected wait
// serve more (3 entries in docs/design/admission.md). The caller holds mu.
func (b *Broker) usesShares() bool { return b.shares != nil && b.manyEntries }

// admitOrBorrow places the tasks of a step. When they cannot end in time on the targets that
// the entry knows, it looks for targets of other entries first. With admission by shares, the
// job waits for another search if the slack leaves time and the last one has found targets,
// which other jobs have filled meanwhile.
func (w *jobRun) admitOrBorrow(ctx context.Context, tasks []assign.Task, slack time.Duration) assign.Admission {
	b := w.broker
	a := w.admitStep(tasks, slack)
	searches := 1
	b.mu.Lock()
	if b.usesShares() {
		searches = maxSearches
	}
	b.mu.Unlock()
	for range searches {
		if a.Placements != nil || !b.borrow(ctx, tasks[0], a.Impossible, w.slack()) {
			break
		}
		a = w.admitStep(tasks, w.slack())
	}
	if !a.Impossible {
		w.recordDecision(tasks, a.Placements != nil)
	}
	return a
}

// retryAfter returns the time after which the caller of the refused job may try again. wait is
// the wait that was expected for its tasks.
func (w *jobRun) retryAfter(wait time.Duration) time.Duration {
	b := w.broker
	if b.shares == nil {
		return max(wait, retryAfter)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.shares.RetryAfter(w.job.ID, w.queue.Pool, wait, b.opts.Clock.Now())
}

// Reasons of refusals that have a cause of their own in the metrics.
const (
	reasonTooLate  = "it would end too late"
	reasonDeadline = "the deadline is too short for the work"
	reasonNoTarget = "no target can take the work"
)

// refusalCause returns the cause of a refusal in metrics.
func refusalCause(r Refused) string {
	switch {
	case !r.Overload:
		return "unsupported"
	case r.Reason == reasonTooLate:
		return "late"
	case r.Reason == reasonDeadline:
		return "deadline"
	case r.Reason == reasonNoTarget:
		return "target"
	}
	return "other"
}

// countOutcome counts refused jobs and those that are complete after their objective.
func (w *jobRun) countOutcome(o Outcome, took time.Duration) {
	switch o := o.(type) {
	case Refused:
		meter.Refusals(w.queue.Name, refusalCause(o)).Inc()
	case Complete:
		if took > w.objective {
			meter.LateJobs(w.queue.Name).Inc()
		}
	}
}

// sharesLogInterval is the interval at which the shares of queues with refusals are logged.
const sharesLogInterval = time.Second

// logShares logs the shares of the queues that were lately refused a part of their demand,
// and updates their metrics.
func (b *Broker) logShares() {
	if b.shares == nil {
		return
	}
	b.mu.Lock()
	now := b.opts.Clock.Now()
	shares := b.shares.Shares(now)
	log := now.Sub(b.sharesLoggedAt) >= sharesLogInterval
	if log {
		b.sharesLoggedAt = now
	}
	b.mu.Unlock()
	for _, s := range shares {
		meter.QueueWork(s.Queue, "demand").Set(s.Demand)
		meter.QueueWork(s.Queue, "served").Set(s.Served)
		meter.QueueWork(s.Queue, "share").Set(s.Entitled)
		if log && s.Refused() {
			b.opts.Log.Info("queue was refused a part of its demand", zap.String("pool", s.Pool), zap.String("queue", s.Queue),
				zap.Float64("demand", s.Demand), zap.Float64("served", s.Served), zap.Float64("share", s.Entitled))
		}
	}
}
