package broker

import (
	"context"
	"time"

	"cyclamenrelay.example/assign"
)

// warmUp is the time after the start of an entry during which a job that it cannot place waits
// for more reports. When all processes start at once, the reports of an entry's agents arrive
// within a second; a refusal before that would say nothing about the targets.
const warmUp = 2 * time.Second

// warmingUp reports whether the entry has started so lately that it may not know its targets.
func (b *Broker) warmingUp(now time.Time) bool { return now.Sub(b.startedAt) < warmUp }

// notifyReport wakes the jobs that wait for reports while the entry warms up. The caller holds mu.
func (b *Broker) notifyReport(now time.Time) {
	if b.warmingUp(now) {
		close(b.reported)
		b.reported = make(chan struct{})
	}
}

// admitWhileWarmingUp places the tasks of a step that was refused, again after each report,
// while the entry warms up and the job can still be in time. Jobs that are late after the wait are
// refused: in the overload after a start they would make the jobs that follow late too.
func (w *jobRun) admitWhileWarmingUp(ctx context.Context, tasks []assign.Task, a assign.Admission) assign.Admission {
	b := w.broker
	for a.Placements == nil {
		b.mu.Lock()
		reported := b.reported
		b.mu.Unlock()
		left := min(w.slack(), b.startedAt.Add(warmUp).Sub(b.opts.Clock.Now()))
		if left <= 0 {
			return a
		}
		select {
		case <-reported:
		case <-b.opts.Clock.After(left):
		case <-ctx.Done():
			return a
		case <-b.shutdown.begun:
			return a
		}
		a = w.admitStep(tasks, w.slack())
	}
	return a
}
