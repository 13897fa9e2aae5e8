// Package broker runs jobs at an entry: it admits or refuses each job as a whole,
// dispatches its tasks to agents, and returns the outcome to the callers.
package broker

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"cyclamenrelay.example/admit"
	"cyclamenrelay.example/assign"
	"cyclamenrelay.example/batch"
	"cyclamenrelay.example/cancel"
	"cyclamenrelay.example/evac"
	"cyclamenrelay.example/kernel"
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/meter"
	"cyclamenrelay.example/peers"
	"cyclamenrelay.example/policy"
	"cyclamenrelay.example/watch"
	"cyclamenrelay.example/wire"
)

// ServiceName is the name by which other services find the Broker.
const ServiceName = "broker"

const (
	// checkInterval is the interval between checks for agents that have stopped
	// reporting and for expired state.
	checkInterval = 100 * time.Millisecond
	// forgetAgentAfter is the time after the last report at which an agent is removed.
	forgetAgentAfter = 10 * time.Second
	// overhead is the time that an answer takes in addition to the run times of the
	// tasks: the caller's link and a few network hops.
	overhead = 15 * time.Millisecond
	// retryAfter is the time after which a refused caller may try again: the content
	// of a queue is replaced in less than a second.
	retryAfter = time.Second
	// answerTTL is how long an outcome is cached for a job that is sent again.
	answerTTL = 5 * time.Second
	// maxAnswers bounds the number of cached outcomes.
	maxAnswers = 1 << 13
)

// Options configure a Broker.
type Options struct {
	// Name is the entry's name, DataCentre its data centre.
	Name, DataCentre string
	// Timing is the timing of reports that the agents use too.
	Timing    peers.Timing
	Admission assign.Settings
	// FarFactor is assign.Fleet.FarFactor.
	FarFactor float64
	// FairAdmission divides the capacity among the queues by shares (package admit) in place
	// of Admission when demand exceeds it.
	FairAdmission bool
	// Entries returns the known entries; nil for an entry that asks no others for targets.
	Entries func() []wire.Node
	// View is the entry's copy of the configuration, with the evacuations in force; nil for
	// an entry that knows of none.
	View *watch.View
	// MaxOrphanRunTime bounds how long runs may continue after their entry has given them up,
	// whatever happens to the entry and to their agents.
	MaxOrphanRunTime time.Duration
	Clock            clockwork.Clock
	Log              *zap.Logger
}

// Broker is the service of an entry that runs jobs.
type Broker struct {
	opts Options
	node *link.Node

	mu    sync.Mutex
	fleet *assign.Fleet
	// evacuations are those that the fleet has got.
	evacuations evac.Set
	learner     *assign.Learner
	shares      *admit.Core // nil without FairAdmission
	manyEntries bool        // unset while there are no more entries than an agent reports to
	activeJobs  map[string]*activeJob
	// answers caches the outcomes of finished jobs by job ID; answerIDs has the IDs,
	// oldest first.
	answers   map[string]cachedAnswer
	answerIDs []string
	// mayRunUntil has, by job ID, the time until which runs of a finished job that are
	// not known to have ended may continue.
	mayRunUntil map[string]time.Time
	calls       map[uint64]call // calls to agents in progress, by number
	lastID      uint64
	// searches has the searches for other entries' targets by pool: the one in progress or
	// the last one.
	searches map[string]*search
	shutdown shutdown
	// sharesLoggedAt is the time at which the shares of the queues were last logged.
	sharesLoggedAt time.Time
	// cancelled are the jobs that were cancelled at any entry. nextRound is the round that
	// new cancels join, nil for none; nextRoundAt is when the last round began or begins.
	cancelled   cancel.Jobs
	nextRound   *cancelRound
	nextRoundAt time.Time
}

// Caller waits for a job's outcome.
type Caller interface {
	// Connected reports whether the caller still waits, as far as this can be determined
	// without blocking.
	Connected() bool
}

// activeJob is a job in progress, with the callers that wait for it.
type activeJob struct {
	waiters int
	// callerWaits has a function for each caller that ever waited. The function reports
	// whether that caller still waits.
	callerWaits []func() bool
	cancel      context.CancelFunc
	done        chan struct{} // closed when outcome is set
	outcome     Outcome
	// started is set once a task has been sent to an agent.
	started bool
	queue   string
}

// cachedAnswer is a cached outcome.
type cachedAnswer struct {
	outcome Outcome
	at      time.Time
}

// call is a StartRun call that an agent has not answered yet.
type call struct {
	agent  string
	task   string
	run    uint64
	limit  time.Time // the time after which the job is given up
	cancel context.CancelFunc
}

// New returns a broker that knows no agents.
func New(opts Options) *Broker {
	fleet := assign.New(opts.Name, opts.DataCentre, opts.Timing)
	fleet.FarFactor = opts.FarFactor
	b := &Broker{
		opts: opts, fleet: fleet, learner: assign.NewLearner(),
		activeJobs: map[string]*activeJob{}, answers: map[string]cachedAnswer{}, mayRunUntil: map[string]time.Time{}, calls: map[uint64]call{},
		searches: map[string]*search{}, shutdown: newShutdown(),
	}
	b.manyEntries = true
	if opts.FairAdmission {
		b.shares = admit.New()
	}
	return b
}

// Name implements kernel.Service.
func (b *Broker) Name() string { return ServiceName }

// Start implements kernel.Starter.
func (b *Broker) Start(k *kernel.Kernel) (err error) {
	if err := b.opts.Timing.Validate(); err != nil {
		return err
	}
	if b.node, err = kernel.Find[*link.Node](k, link.ServiceName); err != nil {
		return err
	}
	link.Handle(b.node.Mux(), b.handleReport, keys.Agent)
	link.Handle(b.node.Mux(), b.handleConfirm, keys.Agent)
	link.Handle(b.node.Mux(), b.handleFindTargets, keys.Entry)
	link.Handle(b.node.Mux(), b.handleCancel, keys.Entry)
	return nil
}

// Run implements kernel.Service: it periodically cancels the calls to agents that have
// stopped reporting, and removes expired state.
func (b *Broker) Run(ctx context.Context) error {
	tick := b.opts.Clock.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.Chan():
			b.checkAgents()
			b.logShares()
		}
	}
}

// checkAgents cancels the calls to agents that have stopped reporting, and removes
// agents that have been silent for long, expired entries of mayRunUntil, and cached
// outcomes that have expired or exceed maxAnswers.
func (b *Broker) checkAgents() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.updateEvacuations()
	now := b.opts.Clock.Now()
	for _, agent := range b.fleet.Silent(now) {
		for _, c := range b.calls {
			if c.agent == agent {
				c.cancel()
			}
		}
	}
	b.fleet.Forget(now, forgetAgentAfter)
	maps.DeleteFunc(b.mayRunUntil, func(_ string, until time.Time) bool { return now.After(until) })
	removed := 0
	for _, id := range b.answerIDs {
		if now.Sub(b.answers[id].at) < answerTTL && len(b.answerIDs)-removed <= maxAnswers {
			break
		}
		delete(b.answers, id)
		removed++
	}
	b.answerIDs = b.answerIDs[removed:]
}

// handleReport handles an agent's capacity report. The answer renews the lease that the
// entry holds on its runs at the agent.
func (b *Broker) handleReport(_ context.Context, p link.Peer, m wire.LoadReport) wire.Message {
	if m.Agent != p.Name {
		return wire.Refused{Reason: "the agent's name does not match its certificate"}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.fleet.HandleReport(m, p.Address, b.opts.Clock.Now()) {
		b.opts.Log.Info("agent restarted", zap.String("agent", m.Agent))
	}
	return wire.Done{Evacuation: b.evacuationState(m.DataCentre)}
}

// handleConfirm handles an agent's question whether a run is still wanted. The start may
// have been under way for long, and the job may have been given up meanwhile.
func (b *Broker) handleConfirm(_ context.Context, p link.Peer, m wire.ConfirmRun) wire.Message {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.opts.Clock.Now()
	for _, c := range b.calls {
		// After a pause of this process, the call may still be open past its limit.
		if c.agent == p.Name && c.task == m.Task && c.run == m.Run && now.Before(c.limit) {
			return wire.Done{Evacuation: b.evacuationState(b.fleet.DataCentreOf(p.Name))}
		}
	}
	return wire.Refused{Reason: "the entry has given the run up"}
}

// Pending returns the number of a queue's jobs in progress of which no task has been
// sent to an agent.
func (b *Broker) Pending(queue string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, inProgress := range b.activeJobs {
		if inProgress.queue == queue && !inProgress.started {
			n++
		}
	}
	return n
}

// InProgress returns the number of jobs in progress.
func (b *Broker) InProgress() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.activeJobs)
}

// Cancel cancels a job in progress at this entry and waits for its end. It reports whether
// there was such a job.
func (b *Broker) Cancel(id string) bool {
	b.mu.Lock()
	inProgress := b.activeJobs[id]
	b.mu.Unlock()
	if inProgress == nil {
		return false
	}
	inProgress.cancel()
	<-inProgress.done
	return true
}

// Submit runs a job of the queue and returns its outcome. The job is given up at the
// limit or once the contexts of all its callers have ended, and no task is started
// unless one of the callers still waits. A job that is already in progress is not run again: the caller joins those
// that wait for it. A finished job is answered from the cache.
func (b *Broker) Submit(ctx context.Context, c Caller, q policy.Queue, j batch.Job, limit time.Time) Outcome {
	submittedAt := b.opts.Clock.Now()
	b.mu.Lock()
	if a, ok := b.answers[j.ID]; ok {
		b.mu.Unlock()
		return a.outcome
	}
	if b.cancelled.Has(j.ID, submittedAt) {
		b.mu.Unlock()
		return Refused{Reason: "the job was cancelled"}
	}
	if submittedAt.Before(b.mayRunUntil[j.ID]) {
		b.mu.Unlock()
		return Interrupted{Reason: "earlier runs of the job may still be in progress"}
	}
	inProgress := b.activeJobs[j.ID]
	if inProgress == nil {
		jobCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
		inProgress = &activeJob{cancel: cancel, done: make(chan struct{}), queue: q.Name}
		b.activeJobs[j.ID] = inProgress
		go b.runJob(jobCtx, inProgress, q, j, submittedAt, limit)
	}
	inProgress.waiters++
	inProgress.callerWaits = append(inProgress.callerWaits, func() bool { return ctx.Err() == nil && c.Connected() })
	b.mu.Unlock()
	select {
	case <-inProgress.done:
	case <-ctx.Done():
		b.mu.Lock()
		inProgress.waiters--
		if inProgress.waiters == 0 {
			inProgress.cancel()
		}
		b.mu.Unlock()
		<-inProgress.done
	}
	return inProgress.outcome
}

// hasCaller reports whether any caller of the job still waits.
func (b *Broker) hasCaller(inProgress *activeJob) bool {
	b.mu.Lock()
	waiting := inProgress.callerWaits
	b.mu.Unlock()
	return slices.ContainsFunc(waiting, func(isWaiting func() bool) bool { return isWaiting() })
}

// runJob runs a job, logs its end and caches its outcome.
func (b *Broker) runJob(ctx context.Context, inProgress *activeJob, q policy.Queue, j batch.Job, submittedAt, limit time.Time) {
	defer inProgress.cancel()
	w := &jobRun{broker: b, active: inProgress, queue: q, job: j, submittedAt: submittedAt, limit: limit, returnPhase: b.returnPhase()}
	outcome := w.runGuarded(ctx)
	took := b.opts.Clock.Since(submittedAt)
	name, reason := outcomeName(outcome)
	meter.Answers(name).Inc()
	meter.ObserveResponse(name, took)
	w.countOutcome(outcome, took)
	b.opts.Log.Info("job ended", zap.String("job", j.ID), zap.String("queue", q.Name), zap.Int("tasks", j.Tasks()),
		zap.String("outcome", name), zap.String("reason", reason), zap.Duration("took", took),
		zap.Duration("estimate", w.criticalPath), zap.Duration("wait", w.longestWait), zap.Duration("objective", w.objective), zap.Int("runs", w.runs),
		zap.Duration("lastWaited", w.lastWaited), zap.Duration("lastRan", w.lastRan))
	b.mu.Lock()
	inProgress.outcome = outcome
	delete(b.activeJobs, j.ID)
	if w.lost || w.openRuns > 0 {
		b.mayRunUntil[j.ID] = b.opts.Clock.Now().Add(b.opts.MaxOrphanRunTime)
	}
	switch outcome.(type) {
	case Complete, Failed:
		b.answers[j.ID] = cachedAnswer{outcome, b.opts.Clock.Now()}
		b.answerIDs = append(b.answerIDs, j.ID)
	}
	b.mu.Unlock()
	close(inProgress.done)
}
