package agent

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"cyclamenrelay.example/model"
	"cyclamenrelay.example/wire"
)

const (
	// journalWindow is how long the tasks of a job are kept after the job's last
	// message. It is longer than any job's deadline, so that a delayed duplicate of
	// a start is either found in the journal or refused by its deadline.
	journalWindow = 2 * model.MaxTimeToLive
	sweepInterval = time.Minute
	// maxKeptBytes bounds the bodies of all outcomes that are kept for later owners of
	// jobs, in bytes.
	maxKeptBytes = 64 << 20
)

// journal deduplicates starts: it records which tasks were started, so that none
// starts twice. It also keeps the outcomes of jobs' tasks, since another entry may
// take over as the job's owner and ask for them.
type journal struct {
	clock clockwork.Clock

	mu        sync.Mutex
	jobs      map[string]*jobLog
	tasks     map[string]*record // running tasks, and finished ones of jobs
	keptBytes int                // bytes of the kept bodies
	lastSweep time.Time
}

// jobLog holds the started tasks of one job.
type jobLog struct {
	epoch    uint64 // of the newest owner; starts of earlier ones are refused
	tasks    map[string]*record
	lastUsed time.Time // the time of the last message about the job
}

// record is one started task.
type record struct {
	cancel context.CancelFunc
	done   chan struct{} // closed when the task has ended
	// outcome is set before done is closed. Duplicate starts and later owners get
	// it; it is Failed in place of Complete when there was no room to keep the body.
	outcome model.Outcome
	size    int // of the kept body, in bytes
}

func newJournal(clock clockwork.Clock) *journal {
	return &journal{clock: clock, jobs: map[string]*jobLog{}, tasks: map[string]*record{}, lastSweep: clock.Now()}
}

// run runs f for the task unless the task was started before or its job has a newer
// owner. A duplicate start waits for the outcome of the first one.
func (j *journal) run(ctx context.Context, t model.Task, f func(context.Context) model.Outcome) model.Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r, first, refusal := j.begin(t, cancel)
	if refusal != nil {
		return *refusal
	}
	if !first {
		select {
		case <-r.done:
			return r.outcome
		case <-ctx.Done():
			return model.Failed{Reason: "a duplicate start ended before the outcome of the first one", MayHaveRun: true}
		}
	}
	o := f(ctx)
	j.end(t, r, o)
	return o
}

// begin records the start of a task. It returns the existing record, and first as
// false, for a duplicate, and a refusal when the job has a newer owner.
func (j *journal) begin(t model.Task, cancel context.CancelFunc) (r *record, first bool, refusal *model.NotRun) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.sweep()
	if t.Job != "" {
		l := j.job(t.Job)
		if t.Epoch < l.epoch {
			return nil, false, &model.NotRun{Code: model.CodeFenced, Reason: "the job has a newer owner"}
		}
		l.epoch = t.Epoch
	}
	if r, ok := j.tasks[t.ID]; ok {
		return r, false, nil
	}
	r = &record{cancel: cancel, done: make(chan struct{})}
	j.tasks[t.ID] = r
	if t.Job != "" {
		j.jobs[t.Job].tasks[t.ID] = r
	}
	return r, true, nil
}

// end records the task's outcome. The record of a task that was not run is removed,
// so that the task may be started later, and so is that of a task without a job.
func (j *journal) end(t model.Task, r *record, o model.Outcome) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r.outcome = o
	if c, ok := o.(model.Complete); ok && t.Job != "" {
		if j.keptBytes+len(c.Body) > maxKeptBytes {
			r.outcome = model.Failed{Reason: "the task completed, but its answer was too large to be kept", MayHaveRun: true}
		} else {
			r.size = len(c.Body)
			j.keptBytes += r.size
		}
	}
	close(r.done)
	_, notRun := o.(model.NotRun)
	if notRun || t.Job == "" {
		delete(j.tasks, t.ID)
	}
	if l := j.jobs[t.Job]; notRun && l != nil {
		delete(l.tasks, t.ID)
	}
}

// job returns the job's log, a new one when there is none, and marks it as used. It
// is called with mu held.
func (j *journal) job(key string) *jobLog {
	l, ok := j.jobs[key]
	if !ok {
		l = &jobLog{tasks: map[string]*record{}}
		j.jobs[key] = l
	}
	l.lastUsed = j.clock.Now()
	return l
}

// running reports whether a task of the job has not ended.
func (l *jobLog) running() bool {
	for _, r := range l.tasks {
		if r.outcome == nil {
			return true
		}
	}
	return false
}

// fence records the epoch as the job's newest, so that starts with a lower epoch are
// refused from now on. It returns the job's started tasks with the outcomes of those
// that have ended, or false when the job has a newer owner.
func (j *journal) fence(job string, epoch uint64) (tasks []wire.FencedTask, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	l := j.job(job)
	if epoch < l.epoch {
		return nil, false
	}
	l.epoch = epoch
	for id, r := range l.tasks {
		t := wire.FencedTask{ID: id}
		if r.outcome != nil {
			res := wire.ResultOf(id, r.outcome)
			t.Result = &res
		}
		tasks = append(tasks, t)
	}
	return tasks, true
}

// cancel cancels the running task with the ID, if there is one.
func (j *journal) cancel(id string) {
	j.mu.Lock()
	r := j.tasks[id]
	j.mu.Unlock()
	if r != nil {
		r.cancel()
	}
}

// sweep removes the jobs that had no message for journalWindow and have no running
// tasks, at most once per sweepInterval. It is called with mu held.
func (j *journal) sweep() {
	now := j.clock.Now()
	if now.Sub(j.lastSweep) < sweepInterval {
		return
	}
	j.lastSweep = now
	for key, l := range j.jobs {
		if now.Sub(l.lastUsed) < journalWindow || l.running() {
			continue
		}
		for id, r := range l.tasks {
			delete(j.tasks, id)
			j.keptBytes -= r.size
		}
		delete(j.jobs, key)
	}
}
