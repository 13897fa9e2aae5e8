package broker

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cyclamenrelay.example/assign"
	"cyclamenrelay.example/batch"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/meter"
	"cyclamenrelay.example/policy"
	"cyclamenrelay.example/room"
	"cyclamenrelay.example/wire"
)

const (
	// placementsMax bounds how often a task is placed on a target, not counting failed
	// runs: after that many, its objective has passed in any case.
	placementsMax = 6
	// movesMax is how often a task may be moved away from slow targets: after the
	// second one, the task itself is probably slow.
	movesMax = 2
	// lateFactor times the objective is the time after which the users consider the
	// result of a late job worthless.
	lateFactor = 3
	// A run is overdue after overdueFactor times its estimate plus overdueMin: callers'
	// estimates are often wrong by half, and run times vary.
	overdueFactor = 2.5
	overdueMin    = 150 * time.Millisecond
)

// work is the execution of one job. Its fields are owned by the goroutine of run,
// except for those that never change.
type work struct {
	b     *Broker
	f     *flight
	queue policy.Queue
	job   batch.Job
	begun time.Time
	limit time.Time

	chain, wait, objective time.Duration
	runs                   int
	// open counts the runs in progress. ran is set once a task has run or may have run,
	// lost once it is not known whether a run has ended.
	open       int
	ran, lost  bool
	left       []int // number of tasks that are not done, by step
	begunSteps []bool
	results    chan result
}

// task is one task of the job.
type task struct {
	name   string
	step   int
	run    uint64
	agent  string
	fails  int
	placed int
	moves  int // number of runs that were stopped
	// wait and expect are the expected waiting time and run time on the chosen target.
	wait, expect time.Duration
	avoid        []string // agents to avoid if there are others
	full         []string // agents that did not start the task
}

// result is the end of one run of a task.
type result struct {
	task  *task
	ended wire.RunEnded
}

// run runs the job to its end and returns the outcome.
func (w *work) run(ctx context.Context) Outcome {
	if o := w.admit(); o != nil {
		return o
	}
	ctx, cancel := context.WithDeadline(ctx, w.limit)
	defer cancel()
	w.results = make(chan result, w.job.Tasks())
	w.left = make([]int, len(w.job.Steps))
	w.begunSteps = make([]bool, len(w.job.Steps))
	for i, s := range w.job.Steps {
		w.left[i] = s.Count
	}
	for {
		if o := w.advance(ctx); o != nil {
			return o
		}
		select {
		case <-ctx.Done():
			return w.given("the caller left or its time was up")
		case r := <-w.results:
			if o := w.take(ctx, r); o != nil {
				return o
			}
		}
	}
}

// estimate returns the expected run time of the step's tasks.
func (w *work) estimate(s batch.Step) time.Duration {
	w.b.mu.Lock()
	defer w.b.mu.Unlock()
	return w.b.learner.Estimate(w.queue.Name, s.Estimate)
}

// admit returns a refusal for a job that is not supported or too long for its deadline,
// nil for any other. It sets the objective and the final limit.
func (w *work) admit() Outcome {
	switch {
	case w.job.Unsupported != "":
		return Refuse{Reason: "not supported: " + w.job.Unsupported}
	case w.queue.Advised:
		return Refuse{Reason: "not supported: queues that need the advice of another service"}
	}
	w.chain = w.job.Chain(w.estimate)
	w.objective = w.queue.Objective(w.chain)
	if end := w.begun.Add(w.objective * lateFactor); end.Before(w.limit) {
		w.limit = end
	}
	if w.b.opts.Clock.Now().Add(w.chain + overhead).After(w.limit) {
		return Refuse{Reason: "the deadline is too short for the work", Overload: true, After: retryAfter}
	}
	return nil
}

// slack returns by how much the start of the remaining work may be delayed from now
// with the job still meeting its objective.
func (w *work) slack() time.Duration {
	return w.objective - w.chain - overhead - w.b.opts.Clock.Since(w.begun)
}

// patience returns how long from now a task may wait for its start at most.
func (w *work) patience(now time.Time, estimate time.Duration) time.Duration {
	return w.limit.Sub(now) - estimate - overhead
}

// advance starts the steps whose predecessors are done. It returns the job's outcome
// when all tasks are done or a step cannot start, nil otherwise.
func (w *work) advance(ctx context.Context) Outcome {
	done := true
	for i, s := range w.job.Steps {
		done = done && w.left[i] == 0
		if w.begunSteps[i] || !w.turn(s) {
			continue
		}
		w.begunSteps[i] = true
		if o := w.begin(ctx, i); o != nil {
			return o
		}
	}
	if done {
		return Complete{}
	}
	return nil
}

// turn reports whether all steps that must precede the step are done.
func (w *work) turn(s batch.Step) bool {
	for _, a := range s.After {
		if w.left[a] > 0 {
			return false
		}
	}
	return true
}

// begin places all tasks of a step and sends them to their agents. It refuses the job
// when they cannot end in time and no part of the job has run.
func (w *work) begin(ctx context.Context, step int) Outcome {
	s := w.job.Steps[step]
	est, slack := w.estimate(s), w.slack()
	tasks := make([]*task, s.Count)
	demands := make([]assign.Task, s.Count)
	for i := range tasks {
		tasks[i] = &task{name: batch.TaskName(w.job.ID, step, i), step: step}
		demands[i] = w.demand(tasks[i], est)
	}
	b := w.b
	now := b.opts.Clock.Now()
	b.mu.Lock()
	a := b.fleet.Admit(b.opts.Admission, assign.Job{
		Tasks: demands, Priority: w.queue.Priority, Slack: slack, Begun: w.mayHaveRun(),
	}, now)
	b.mu.Unlock()
	w.wait = max(w.wait, a.Wait)
	if a.Impossible {
		return w.given("no target can take the work")
	}
	if a.Choices == nil {
		return Refuse{Reason: "it would end too late", Overload: true, After: max(a.Wait, retryAfter)}
	}
	if !b.attended(w.f) {
		b.mu.Lock()
		for _, c := range a.Choices {
			b.fleet.Release(c.Agent, s.Need)
		}
		b.mu.Unlock()
		return w.deserted()
	}
	for i, t := range tasks {
		t.placedAt(a.Choices[i])
		w.send(ctx, t)
	}
	return nil
}

// placedAt records where the task was placed.
func (t *task) placedAt(c assign.Choice) {
	t.agent, t.wait, t.expect = c.Agent, c.Wait, c.Run
	t.placed++
}

// demand returns the requirements of the task for its placement.
func (w *work) demand(t *task, est time.Duration) assign.Task {
	s := w.job.Steps[t.step]
	return assign.Task{
		Pool: w.queue.Pool, Need: s.Need, Label: s.Label, Rack: s.Rack, Estimate: est, Avoid: t.avoid, Full: t.full,
		Slack: w.slack() + room.Lead(w.queue.Priority),
	}
}

// mayHaveRun reports whether a part of the job has run or may have.
func (w *work) mayHaveRun() bool { return w.ran || w.open > 0 }

// given returns the outcome of a job that is given up: Broken when a part of it may
// have run, Refuse otherwise.
func (w *work) given(reason string) Outcome {
	if w.mayHaveRun() {
		return Broken{Reason: reason}
	}
	return Refuse{Reason: reason, Overload: true, After: retryAfter}
}

// deserted returns the outcome of a job that is given up before a start because none
// of its callers waits any more. They may have sent the job to another entry already.
func (w *work) deserted() Outcome {
	meter.Deserted().Inc()
	return w.given("the caller had left before the start")
}

// place chooses another agent for a task, and reports whether there is one.
func (w *work) place(t *task) bool {
	est := w.estimate(w.job.Steps[t.step])
	w.b.mu.Lock()
	defer w.b.mu.Unlock()
	c, ok := w.b.fleet.Place(w.demand(t, est), w.b.opts.Clock.Now())
	if ok {
		t.placedAt(c)
	}
	return ok
}

// send starts a run of the task on its agent. The end of the run is sent to results.
func (w *work) send(ctx context.Context, t *task) {
	s := w.job.Steps[t.step]
	t.run++
	w.runs++
	w.open++
	est := w.estimate(s)
	m := wire.StartRun{
		Job: w.job.ID, Task: t.name, Run: t.run, Spec: w.job.Spec, Need: s.Need, Estimate: est, Priority: w.queue.Priority,
		Slack: w.slack(), Patience: w.patience(w.b.opts.Clock.Now(), est),
		Movable: t.moves < movesMax,
	}
	m.Overdue = w.overdue(t, est)
	agent := t.agent
	w.b.mu.Lock()
	w.f.started = true
	w.b.lastID++
	id := w.b.lastID
	cctx, cancel := context.WithCancel(ctx)
	w.b.calls[id] = call{agent, cancel}
	w.b.mu.Unlock()
	meter.Starts().Inc()
	w.b.node.Go(func() {
		defer cancel()
		a, err := w.b.node.CallPeer(cctx, agent, m)
		w.b.mu.Lock()
		delete(w.b.calls, id)
		w.b.fleet.Release(agent, s.Need)
		e := endOf(a, err)
		if e.Room != nil {
			w.b.fleet.Heard(agent, *e.Room, w.b.opts.Clock.Now())
		}
		w.b.mu.Unlock()
		w.results <- result{t, e}
	})
}

// overdue returns the run time after which the run is stopped so that its task can
// start on another target, 0 when there would be no time left for that.
func (w *work) overdue(t *task, estimate time.Duration) time.Duration {
	limit := (overdueMin + time.Duration(overdueFactor*float64(max(estimate, t.expect)))) << t.moves
	if w.b.opts.Clock.Now().Add(t.wait + limit + estimate + overhead).After(w.limit) {
		return 0
	}
	return limit
}

// endOf returns the end of a run by the agent's answer. Without a proof that the run has
// ended, the run is lost: it may still be in progress.
func endOf(a wire.Message, err error) wire.RunEnded {
	switch a := a.(type) {
	case wire.RunEnded:
		if a.Shown == "" {
			a.End, a.Reason = batch.Lost, "the agent did not prove that the run has ended: "+a.Reason
		}
		return a
	case wire.Refused:
		return wire.RunEnded{End: batch.NotStarted, Reason: a.Reason, Shown: batch.ByRefusal}
	}
	if link.NotSent(err) {
		return wire.RunEnded{End: batch.NotStarted, Reason: err.Error(), Shown: batch.ByNoDelivery}
	}
	return wire.RunEnded{End: batch.Lost, Reason: err.Error()}
}

// take processes the end of a run, and starts the task again if necessary. It returns
// the job's outcome when that ends the job, nil otherwise.
func (w *work) take(ctx context.Context, r result) Outcome {
	t, e := r.task, r.ended
	now := w.b.opts.Clock.Now()
	agent := t.agent
	w.open--
	w.ran = w.ran || e.End != batch.NotStarted
	w.lost = w.lost || e.End == batch.Lost
	w.b.mu.Lock()
	w.b.fleet.Ended(agent, e.End, now)
	if e.End == batch.Done {
		w.b.fleet.Ran(agent, e.Ran, w.b.learner.Estimate(w.queue.Name, w.job.Steps[t.step].Estimate))
		w.b.learner.Ran(w.queue.Name, e.Ran)
	}
	w.b.mu.Unlock()
	if e.End != batch.Done {
		w.b.opts.Log.Info("run not done", zap.String("task", t.name), zap.Uint64("run", t.run), zap.String("agent", agent),
			zap.String("end", string(e.End)), zap.String("shown", string(e.Shown)), zap.String("reason", e.Reason), zap.Duration("waited", e.Waited), zap.Duration("ran", e.Ran))
	}
	switch e.End {
	case batch.Done:
		w.left[t.step]--
		return nil
	case batch.Failed:
		t.fails++
		t.avoid = append(t.avoid, agent)
		if t.fails >= max(w.queue.Attempts, 1) {
			return Fail{Reason: "a task used up its permitted attempts"}
		}
	case batch.NotStarted:
		t.full = append(t.full, agent)
	case batch.Unanswered:
		t.avoid = append(t.avoid, agent)
	case batch.Stopped:
		t.moves++
		t.avoid = append(t.avoid, agent)
	case batch.Lost:
		return Broken{Reason: "an agent was lost: " + e.Reason}
	}
	return w.again(ctx, t, now)
}

// again places the task once more and sends it, or gives the job up when that is not
// possible in time.
func (w *work) again(ctx context.Context, t *task, now time.Time) Outcome {
	if ctx.Err() != nil {
		return w.given("the caller left or its time was up")
	}
	if t.placed >= placementsMax+t.fails {
		return w.given("no target started the work after the permitted number of placements")
	}
	if now.Add(w.estimate(w.job.Steps[t.step]) + overhead).After(w.limit) {
		return w.given("too little time is left to start a task again")
	}
	if !w.b.attended(w.f) {
		return w.deserted()
	}
	if !w.place(t) {
		return w.given("no other target can take the work")
	}
	w.send(ctx, t)
	return nil
}
