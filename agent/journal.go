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
	// journalWindow is how long the tasks of a job are remembered after its
	// last message: longer than any job's deadline, so that a start that comes
	// late is either known here or refused by its deadline.
	journalWindow = 2 * model.MaxTimeToLive
	sweepInterval = time.Minute
	// maxKept bounds the bodies of outcomes kept for next owners of jobs, in bytes.
	maxKept = 64 << 20
)

// journal remembers which tasks were started, so that none starts twice, and
// the outcomes of tasks whose owner may change.
type journal struct {
	clock clockwork.Clock

	mu    sync.Mutex
	jobs  map[string]*jobLog
	tasks map[string]*record // running tasks, and finished ones of jobs
	kept  int                // bytes of kept bodies
	swept time.Time
}

type jobLog struct {
	epoch uint64
	tasks map[string]*record
	used  time.Time
}

type record struct {
	cancel context.CancelFunc
	done   chan struct{}
	// outcome is set before done is closed: what a duplicate or a next owner
	// gets, which may be that the body was too much to keep.
	outcome model.Outcome
	size    int // of the kept body
}

func newJournal(clock clockwork.Clock) *journal {
	return &journal{clock: clock, jobs: map[string]*jobLog{}, tasks: map[string]*record{}, swept: clock.Now()}
}

// run runs f for the task unless it was started before or its owner is fenced.
// A duplicate waits for the first start's outcome.
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
			return model.Failed{Reason: "a duplicate start gave up waiting", MayHaveRun: true}
		}
	}
	o := f(ctx)
	j.end(t, r, o)
	return o
}

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

// end records the outcome. A task that was not run leaves no trace, so that it
// may be started later.
func (j *journal) end(t model.Task, r *record, o model.Outcome) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r.outcome = o
	if c, ok := o.(model.Complete); ok && t.Job != "" {
		if j.kept+len(c.Body) > maxKept {
			r.outcome = model.Failed{Reason: "complete, but its answer was too large to be kept", MayHaveRun: true}
		} else {
			r.size = len(c.Body)
			j.kept += r.size
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

func (j *journal) job(key string) *jobLog {
	l, ok := j.jobs[key]
	if !ok {
		l = &jobLog{tasks: map[string]*record{}}
		j.jobs[key] = l
	}
	l.used = j.clock.Now()
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

// fence refuses owners of the job before the epoch from now on, and returns
// the tasks that were started.
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

func (j *journal) cancel(id string) {
	j.mu.Lock()
	r := j.tasks[id]
	j.mu.Unlock()
	if r != nil {
		r.cancel()
	}
}

// sweep forgets jobs that were not heard of for a window. It is called with mu held.
func (j *journal) sweep() {
	now := j.clock.Now()
	if now.Sub(j.swept) < sweepInterval {
		return
	}
	j.swept = now
	for key, l := range j.jobs {
		if now.Sub(l.used) < journalWindow || l.running() {
			continue
		}
		for id, r := range l.tasks {
			delete(j.tasks, id)
			j.kept -= r.size
		}
		delete(j.jobs, key)
	}
}
