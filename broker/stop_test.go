package broker_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/batch"
	"cyclamenrelay.example/broker"
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/wire"
)

// withdrawInterval is that of package broker.
const withdrawInterval = 100 * time.Millisecond

// queueAgent is a fake agent that keeps all runs open. It starts the first ones, lets the
// others wait, and returns waiting runs that are withdrawn.
type queueAgent struct {
	mu      sync.Mutex
	starts  int // number of runs that may start
	waiting map[string]chan struct{}
	sent    chan string // names of tasks that have arrived
	queries int
}

// addQueueAgent adds an agent that starts that many runs.
func (b *testbed) addQueueAgent(name string, starts int) *queueAgent {
	a := &queueAgent{starts: starts, waiting: map[string]chan struct{}{}, sent: make(chan string, 99)}
	b.agentWith(name, 1000, a.run, func(n *link.Node) { link.Handle(n.Mux(), a.withdraw, keys.Entry) })
	return a
}

func (a *queueAgent) run(ctx context.Context, m wire.StartRun) wire.RunEnded {
	a.mu.Lock()
	withdrawn := make(chan struct{})
	if a.starts > 0 {
		a.starts--
	} else {
		a.waiting[m.Task] = withdrawn
	}
	a.mu.Unlock()
	a.sent <- m.Task
	select {
	case <-ctx.Done():
		return wire.RunEnded{End: batch.Stopped, Proof: batch.ProofListing}
	case <-withdrawn:
		return wire.RunEnded{End: batch.NotStarted, Proof: batch.ProofNotSent}
	}
}

func (a *queueAgent) withdraw(_ context.Context, _ link.Peer, m wire.WithdrawRun) wire.Message {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queries++
	w := a.waiting[m.Task]
	if w == nil {
		return wire.Refused{Reason: "test"}
	}
	if !m.Query {
		delete(a.waiting, m.Task)
		close(w)
	}
	return wire.Done{}
}

// Guards against holding jobs of which nothing has run until the end of a shutdown, and
// against reporting one as not run of which a task runs.
func TestBeginStopReturnsWaitingJobs(t *testing.T) {
	for name, x := range map[string]struct {
		starts       int
		begun, ended string // the outcome that the shutdown's begin and end lead to
	}{
		"nothing has run":     {0, "refuse", ""},
		"one of two has run":  {1, "", "broken"},
		"both tasks have run": {2, "", "broken"},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t)
			a := b.addQueueAgent("a1", x.starts)
			_, outcome := b.startJob(a.sent, batch.Step{Count: 2})
			b.broker.BeginStop(time.Now().Add(2 * time.Second)) // the job's limit is after 4.98 s
			if x.begun != "" {
				assert.Equal(t, <-outcome, x.begun)
				return
			}
			b.await("the agent to be asked", func() bool { a.mu.Lock(); defer a.mu.Unlock(); return a.queries >= 2 })
			assert.Equal(t, len(outcome), 0)
			a.mu.Lock()
			assert.Equal(t, len(a.waiting), 2-x.starts, "a task of a job that runs was taken from the queue")
			a.mu.Unlock()
			b.broker.EndStop()
			assert.Equal(t, <-outcome, x.ended)
		})
	}
}

// Guards against refusals of waiting jobs that can be answered before the shutdown ends.
func TestWaitingJobThatEndsInTimeGoesOn(t *testing.T) {
	b := newTestbed(t)
	a := b.addQueueAgent("a1", 0)
	outcome := make(chan string, 1)
	go func() { outcome <- outcomeKind(b.submit(job("j", batch.Step{Count: 1}))) }()
	<-a.sent
	b.broker.BeginStop(time.Now().Add(time.Minute))
	time.Sleep(2 * withdrawInterval)
	a.mu.Lock()
	assert.Equal(t, a.queries, 0)
	a.mu.Unlock()
	assert.Equal(t, len(outcome), 0)
	b.broker.EndStop()
	assert.Equal(t, <-outcome, "refuse")
}

// Guards against starting work that the shutdown would cut off.
func TestJobsDuringShutdown(t *testing.T) {
	b := newTestbed(t)
	b.agent("a1", 1000, done)
	b.broker.BeginStop(time.Now().Add(5 * time.Second))
	assert.Equal(t, outcomeKind(b.submit(job("j1", batch.Step{Count: 1}))), "complete")
	long := job("j2", batch.Step{Count: 1})
	long.Steps[0].Estimate = 8 * time.Second
	o := b.submit(long)
	refused, ok := o.(broker.Refused)
	assert.Assert(t, ok && refused.Overload && refused.After > 0, "%+v", o)
	b.broker.EndStop()
	assert.Equal(t, outcomeKind(b.submit(job("j3", batch.Step{Count: 1}))), "refuse")
	assert.Equal(t, len(b.startedTasks()), 1)
}
