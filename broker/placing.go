package broker

import (
	"context"
	"time"

	"cyclamenrelay.example/assign"
	"cyclamenrelay.example/sched"
)

// admitStep places the tasks of a step, or none of them when they cannot end in time.
func (w *jobRun) admitStep(tasks []assign.Task, slack time.Duration) assign.Admission {
	b := w.broker
	b.mu.Lock()
	defer b.mu.Unlock()
	b.updateEvacuations()
	now := b.opts.Clock.Now()
	j := assign.Job{Tasks: tasks, Priority: w.queue.Priority, Slack: slack, PartlyRun: w.mayHaveRun()}
	if b.usesShares() {
		limits := b.shares.Limits(w.shareJob(tasks, slack), now)
		j.Limits = &limits
	}
	return b.fleet.Admit(b.opts.Admission, j, now)
}

// recordPlacement records where the task was placed.
func (t *task) recordPlacement(c assign.Placement, now time.Time) {
	t.agent, t.expectedWait, t.expectedRun, t.relative, t.far, t.placedAt = c.Agent, c.Wait, c.Run, c.Relative, c.Far, now
	t.placements++
}

// requirements returns the requirements of the task for its placement.
func (w *jobRun) requirements(t *task, est time.Duration) assign.Task {
	s := w.job.Steps[t.step]
	return assign.Task{
		Pool: w.queue.Pool, Need: s.Need, Label: s.Label, Rack: s.Rack, Estimate: est, Avoid: t.avoid, Exclude: t.excluded,
		Slack: w.slack() + sched.PriorityDelay(w.queue.Priority),
	}
}

// placeAgain chooses another agent for a task, and reports whether there is one.
func (w *jobRun) placeAgain(t *task) bool {
	est := w.estimate(w.job.Steps[t.step])
	w.broker.mu.Lock()
	defer w.broker.mu.Unlock()
	w.broker.updateEvacuations()
	c, ok := w.broker.fleet.Place(w.requirements(t, est), w.broker.opts.Clock.Now())
	if ok {
		t.recordPlacement(c, w.broker.opts.Clock.Now())
	}
	return ok
}

// borrowAndPlace chooses an agent for a task among targets of other entries, and reports
// whether there is one.
func (w *jobRun) borrowAndPlace(ctx context.Context, t *task) bool {
	r := w.requirements(t, w.estimate(w.job.Steps[t.step]))
	return w.broker.borrow(ctx, r, true, w.slack()) && w.placeAgain(t)
}
