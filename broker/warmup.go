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
// while the entry warms up and the job can end before its limit. A job that waited may be late
// then: its tasks still start on targets with free capacity.
func (w *jobRun) admitWhileWarmingUp(ctx context.Context, tasks []assign.Task, a assign.Admission) assign.Admission {
	b := w.broker
	for a.Placements == nil {
		b.mu.Lock()
		reported := b.reported
		b.mu.Unlock()
		now := b.opts.Clock.Now()
		left := min(w.maxStartDelay(now, w.criticalPath), b.startedAt.Add(warmUp).Sub(now))
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
		// A late job that takes longer than expected would end with nothing at its limit, so
		// that one more critical path must fit.
		now = b.opts.Clock.Now()
		a = w.admitStep(tasks, w.slack(), w.maxStartDelay(now, 2*w.criticalPath))
	}
	return a
}
