package broker

import (
	"context"
	"sync"
	"time"

	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/wire"
)

const (
	// withdrawTimeout bounds a question to an agent on a shutdown. It is short against the
	// part of a grace period that is left when the last waiting work is withdrawn.
	withdrawTimeout = 50 * time.Millisecond
	// At the begin of a shutdown, a job asks its agents up to withdrawTries times, as its
	// start orders may still be on their way.
	withdrawTries    = 4
	withdrawInterval = 100 * time.Millisecond
	// stoppingReason is the reason of the outcomes of jobs that a shutdown ends.
	stoppingReason = "the entry is stopping"
)

// shutdown has the phases of a broker's shutdown. In the first two, jobs of which nothing
// has run are returned to their callers.
type shutdown struct {
	begun    chan struct{}
	lastCall chan struct{}
	over     chan struct{} // closed when all jobs are given up
	giveUpAt time.Time     // set before begun is closed
}

func newShutdown() shutdown {
	return shutdown{begun: make(chan struct{}), lastCall: make(chan struct{}), over: make(chan struct{})}
}

// isClosed reports whether a phase has been reached.
func isClosed(phase <-chan struct{}) bool {
	select {
	case <-phase:
		return true
	default:
		return false
	}
}

// BeginStop returns the jobs in progress of which nothing has run, and which may not end
// before giveUpAt, to their callers, as not run. Jobs that are submitted later are refused when they could not end before giveUpAt.
// BeginStop must be called at most once.
func (b *Broker) BeginStop(giveUpAt time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shutdown.giveUpAt = giveUpAt
	close(b.shutdown.begun)
}

// EndStop returns once more the jobs of which nothing has run, gives up all others, and
// refuses new ones. It must be called at most once, after BeginStop.
func (b *Broker) EndStop() {
	close(b.shutdown.lastCall)
	// A job asks its agents twice.
	wait := b.opts.Clock.NewTimer(2 * withdrawTimeout)
	defer wait.Stop()
	b.mu.Lock()
	inProgress := make([]*activeJob, 0, len(b.activeJobs))
	for _, a := range b.activeJobs {
		inProgress = append(inProgress, a)
	}
	b.mu.Unlock()
	for _, a := range inProgress {
		select {
		case <-a.done:
			continue
		case <-wait.Chan():
		}
		break
	}
	close(b.shutdown.over)
}

// returnPhase returns the next phase of a shutdown in which a job that starts now is
// returned if nothing of it has run. Jobs that are submitted during a shutdown have been
// admitted with regard to its end.
func (b *Broker) returnPhase() <-chan struct{} {
	if isClosed(b.shutdown.begun) {
		return b.shutdown.lastCall
	}
	return b.shutdown.begun
}

// stopLimit returns the time at which a shutdown gives up all jobs, and false while there is
// no shutdown.
func (b *Broker) stopLimit() (time.Time, bool) {
	if !isClosed(b.shutdown.begun) {
		return time.Time{}, false
	}
	return b.shutdown.giveUpAt, true
}

// returnWaiting withdraws all runs of a job of which nothing has run. When an agent does not
// confirm that its run could be withdrawn, the job goes on, and asks again a moment later.
func (w *jobRun) returnWaiting(ctx context.Context) {
	w.askAgain = nil
	if isClosed(w.returnPhase) {
		w.returnPhase = nil
		if !isClosed(w.broker.shutdown.lastCall) {
			w.returnPhase = w.broker.shutdown.lastCall
		}
	}
	// The callers of a job that can be answered in time would gain nothing by a refusal.
	endsInTime := w.returnPhase != nil && !w.limit.After(w.broker.shutdown.giveUpAt)
	if w.ran || w.returning || endsInTime {
		return
	}
	if w.openRuns > 0 && w.withdraw(ctx, true) {
		w.returning = w.withdraw(ctx, false)
	}
	w.withdrawals++
	if !w.returning && w.withdrawals < withdrawTries {
		w.askAgain = w.broker.opts.Clock.After(withdrawInterval)
	}
}

// withdraw asks the agents of all open runs to withdraw them, or only whether they could,
// and reports whether all have agreed.
func (w *jobRun) withdraw(ctx context.Context, query bool) bool {
	ctx, cancel := context.WithTimeout(ctx, withdrawTimeout)
	defer cancel()
	agreed := make([]bool, len(w.open))
	tasks := make([]*task, 0, len(w.open))
	for t := range w.open {
		tasks = append(tasks, t)
	}
	var wg sync.WaitGroup
	for i, t := range tasks {
		m := wire.WithdrawRun{Task: t.name, Run: t.run, Query: query}
		wg.Go(func() { agreed[i] = w.broker.askToWithdraw(ctx, t.agent, m) })
	}
	wg.Wait()
	all := true
	for i, t := range tasks {
		t.withdrawn = agreed[i] && !query
		all = all && agreed[i]
	}
	return all
}

// askToWithdraw sends the message to the agent and reports whether it agreed.
func (b *Broker) askToWithdraw(ctx context.Context, agent string, m wire.WithdrawRun) bool {
	b.mu.Lock()
	to := link.Dest{Address: b.fleet.Address(agent), Role: keys.Agent}
	b.mu.Unlock()
	answer, err := b.node.CallNode(ctx, agent, to, m)
	_, done := answer.(wire.Done)
	return err == nil && done
}
