package broker

import (
	"context"
	"time"

	"cyclamenrelay.example/assign"
	"cyclamenrelay.example/batch"
	"cyclamenrelay.example/kernel"
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/meter"
	"cyclamenrelay.example/policy"
	"cyclamenrelay.example/wire"
)

const (
	// maxPlacements bounds how often a task is placed on a target, not counting failed
	// runs: after that many, its objective has passed in any case.
	maxPlacements = 6
	// maxMoves is how often a task may be moved away from slow targets: after the
	// second one, the task itself is probably slow.
	maxMoves = 2
	// maxReturns is how often a task is returned by full targets before it waits at one:
	// the load that an entry knows is up to a report interval old.
	maxReturns = 2
	// lateFactor times the objective is the time after which the users consider the
	// result of a late job worthless.
	lateFactor = 3
	// maxPath bounds the expected length of a job, so that times computed from it do not
	// overflow. No caller waits for that long.
	maxPath = 24 * time.Hour
	// A run is overdue after overdueFactor times its estimate plus overdueMin: callers'
	// estimates are often wrong by half, and run times vary. Three in a hundred tasks of some
	// users take seven times as long on any target, so that the agent also looks at progress.
	overdueFactor = 2.5
	overdueMin    = 150 * time.Millisecond
)

// jobRun is the execution of one job. Its fields are owned by the goroutine of run,
// except for those that never change.
type jobRun struct {
	broker      *Broker
	active      *activeJob
	queue       policy.Queue
	job         batch.Job
	submittedAt time.Time
	limit       time.Time

	criticalPath, longestWait, objective time.Duration
	// lastWaited and lastRan are the waiting time at the agent and the run time of the
	// task that ended last.
	lastWaited, lastRan time.Duration
	runs                int
	// openRuns counts the runs in progress. ran is set once a task has run or may have
	// run, lost once it is not known whether a run has ended.
	openRuns     int
	ran, lost    bool
	remaining    []int // number of tasks that are not done, by step
	startedSteps []bool
	results      chan result
	open         map[*task]bool // the tasks whose runs are in progress
	// returnPhase is the next phase of a shutdown in which the job is returned if nothing of
	// it has run; nil for none.
	returnPhase <-chan struct{}
	askAgain    <-chan time.Time // when to try again to withdraw the runs; nil for never
	withdrawals int              // number of attempts to withdraw the runs
	// returning is set once all agents have agreed to withdraw the job's runs.
	returning bool
}

// task is one task of the job.
type task struct {
	name       string
	step       int
	run        uint64
	agent      string
	failures   int
	placements int
	moves      int // number of runs that were stopped
	returns    int // number of times that a full target returned the task
	// expectedWait and expectedRun are the expected waiting time and run time on the
	// chosen target.
	expectedWait, expectedRun time.Duration
	relative, far             float64 // assign.Placement.Relative and Far of the chosen target
	placedAt                  time.Time
	avoid                     []string // agents to avoid if there are others
	excluded                  []string // agents that did not start the task
	withdrawn                 bool     // the agent has agreed not to start the current run
}

// result is the end of one run of a task.
type result struct {
	task  *task
	ended wire.RunEnded
}

// runGuarded is run, but a run-time error ends this job alone.
func (w *jobRun) runGuarded(ctx context.Context) (o Outcome) {
	defer kernel.CatchRuntimeError(w.broker.opts.Log, "running job "+w.job.ID, func() {
		w.lost = true
		o = Interrupted{Reason: "internal error"}
	})
	return w.run(ctx)
}

// run runs the job to its end and returns the outcome.
func (w *jobRun) run(ctx context.Context) Outcome {
	if o := w.admit(); o != nil {
		return o
	}
	ctx, cancel := context.WithDeadline(ctx, w.limit)
	defer cancel()
	w.results, w.open = make(chan result, w.job.Tasks()), map[*task]bool{}
	w.remaining = make([]int, len(w.job.Steps))
	w.startedSteps = make([]bool, len(w.job.Steps))
	for i, s := range w.job.Steps {
		w.remaining[i] = s.Count
	}
	for {
		if o := w.startReadySteps(ctx); o != nil {
			return o
		}
		select {
		case <-ctx.Done():
			return w.giveUp("the caller left or its time was up")
		case <-w.returnPhase:
			w.returnWaiting(ctx)
		case <-w.askAgain:
			w.returnWaiting(ctx)
		case <-w.broker.shutdown.over:
			if len(w.results) == 0 {
				return w.giveUp(stoppingReason)
			}
			if o := w.processResult(ctx, <-w.results); o != nil {
				return o
			}
		case r := <-w.results:
			if o := w.processResult(ctx, r); o != nil {
				return o
			}
		}
	}
}

// estimate returns the expected run time of the step's tasks.
func (w *jobRun) estimate(step batch.Step) time.Duration {
	w.broker.mu.Lock()
	defer w.broker.mu.Unlock()
	return w.broker.learner.Estimate(w.queue.Name, step.Estimate)
}

// admit returns a refusal for a job that is not supported or too long for its deadline,
// nil for any other. It sets the objective and the final limit.
func (w *jobRun) admit() Outcome {
	switch {
	case w.job.Unsupported != "":
		return Refused{Reason: "not supported: " + w.job.Unsupported}
	case w.queue.Advised:
		return Refused{Reason: "not supported: queues that need the advice of another service"}
	}
	w.criticalPath = min(w.job.CriticalPath(w.estimate), maxPath)
	w.objective = w.queue.Objective(w.criticalPath)
	if tooLate := w.submittedAt.Add(w.objective * lateFactor); tooLate.Before(w.limit) {
		w.limit = tooLate
	}
	reason := reasonDeadline
	if end, stopping := w.broker.stopLimit(); stopping && end.Before(w.limit) {
		w.limit, reason = end, stoppingReason
	}
	if w.broker.opts.Clock.Now().Add(w.criticalPath + overhead).After(w.limit) {
		return Refused{Reason: reason, Overload: true, After: w.retryAfter(0)}
	}
	return nil
}

// slack returns by how much the start of the remaining work may be delayed from now
// with the job still meeting its objective.
func (w *jobRun) slack() time.Duration {
	return w.objective - w.criticalPath - overhead - w.broker.opts.Clock.Since(w.submittedAt)
}

// maxStartDelay returns how long from now a task may wait for its start at most.
func (w *jobRun) maxStartDelay(now time.Time, estimate time.Duration) time.Duration {
	return w.limit.Sub(now) - estimate - overhead
}

// startReadySteps starts the steps whose predecessors are done. It returns the job's
// outcome when all tasks are done or a step cannot start, nil otherwise.
func (w *jobRun) startReadySteps(ctx context.Context) Outcome {
	done := true
	for i, s := range w.job.Steps {
		done = done && w.remaining[i] == 0
		if w.startedSteps[i] || !w.predecessorsDone(s) {
			continue
		}
		w.startedSteps[i] = true
		if o := w.startStep(ctx, i); o != nil {
			return o
		}
	}
	if done {
		return Complete{}
	}
	return nil
}

// predecessorsDone reports whether all steps that must precede the step are done.
func (w *jobRun) predecessorsDone(s batch.Step) bool {
	for _, dep := range s.After {
		if w.remaining[dep] > 0 {
			return false
		}
	}
	return true
}

// startStep places all tasks of a step and sends them to their agents. It refuses the
// job when they cannot end in time and no part of the job has run.
func (w *jobRun) startStep(ctx context.Context, step int) Outcome {
	if isClosed(w.broker.shutdown.over) {
		return w.giveUp(stoppingReason)
	}
	s := w.job.Steps[step]
	est, slack := w.estimate(s), w.slack()
	tasks := make([]*task, s.Count)
	reqs := make([]assign.Task, s.Count)
	for i := range tasks {
		tasks[i] = &task{name: batch.TaskName(w.job.ID, step, i), step: step}
		reqs[i] = w.requirements(tasks[i], est)
	}
	b := w.broker
	admission := w.admitOrBorrow(ctx, reqs, slack)
	w.longestWait = max(w.longestWait, admission.Wait)
	if admission.Impossible {
		return w.giveUp(reasonNoTarget)
	}
	if admission.Placements == nil {
		return Refused{Reason: reasonTooLate, Overload: true, After: w.retryAfter(admission.Wait)}
	}
	if !b.hasCaller(w.active) {
		b.mu.Lock()
		for _, c := range admission.Placements {
			b.fleet.Release(c.Agent, s.Need)
		}
		b.mu.Unlock()
		return w.abandoned()
	}
	for i, t := range tasks {
		t.recordPlacement(admission.Placements[i], b.opts.Clock.Now())
		w.startRun(ctx, t)
	}
	return nil
}

// mayHaveRun reports whether a part of the job has run or may have.
func (w *jobRun) mayHaveRun() bool { return w.ran || w.openRuns > 0 }

// giveUp returns the outcome of a job that is given up: Interrupted when a part of it may
// have run, Refused otherwise.
func (w *jobRun) giveUp(reason string) Outcome {
	if w.mayHaveRun() {
		return Interrupted{Reason: reason}
	}
	return Refused{Reason: reason, Overload: true, After: w.retryAfter(0)}
}

// abandoned returns the outcome of a job that is given up before a start because none
// of its callers waits any more. They may have sent the job to another entry already.
func (w *jobRun) abandoned() Outcome {
	meter.AbandonedJobs().Inc()
	return w.giveUp("the caller had left before the start")
}

// startRun starts a run of the task on its agent. The end of the run is sent to results.
func (w *jobRun) startRun(ctx context.Context, t *task) {
	s := w.job.Steps[t.step]
	t.run++
	t.withdrawn = false
	w.runs++
	w.openRuns++
	w.open[t] = true
	est := time.Duration(t.far * float64(w.estimate(s)))
	m := wire.StartRun{
		Job: w.job.ID, Task: t.name, Run: t.run, Spec: w.job.Spec, Need: s.Need, Estimate: est, Priority: w.queue.Priority,
		Slack: w.slack(), MaxStartDelay: w.maxStartDelay(w.broker.opts.Clock.Now(), est),
		Movable: t.moves < maxMoves, Returnable: t.returns < maxReturns && t.expectedWait == 0,
		Relative: t.relative,
	}
	m.MaxRunTime = w.overdueAfter(t, est)
	agent := t.agent
	w.broker.mu.Lock()
	w.active.started = true
	w.broker.lastID++
	id := w.broker.lastID
	cctx, cancel := context.WithCancel(ctx)
	w.broker.calls[id] = call{agent: agent, task: m.Task, run: m.Run, limit: w.limit, cancel: cancel}
	to := link.Dest{Address: w.broker.fleet.Address(agent), Role: keys.Agent}
	w.broker.mu.Unlock()
	meter.Starts().Inc()
	w.broker.node.Go(func() {
		defer cancel()
		answer, err := w.broker.node.CallNode(cctx, agent, to, m)
		w.broker.mu.Lock()
		delete(w.broker.calls, id)
		w.broker.fleet.Release(agent, s.Need)
		e := endFromAnswer(answer, err)
		if e.Load != nil {
			w.broker.fleet.UpdateUse(agent, *e.Load, w.broker.opts.Clock.Now())
		}
		w.broker.mu.Unlock()
		w.results <- result{t, e}
	})
}

// overdueAfter returns the run time after which the agent may stop the run so that its task
// can start on another target, 0 when there would be no time left for that. The agent stops
// only a run whose progress shows, or leaves open, that another one could end sooner.
func (w *jobRun) overdueAfter(t *task, estimate time.Duration) time.Duration {
	limit := (overdueMin + time.Duration(overdueFactor*float64(max(estimate, t.expectedRun)))) << t.moves
	if w.broker.opts.Clock.Now().Add(t.expectedWait + limit + estimate + overhead).After(w.limit) {
		return 0
	}
	return limit
}
