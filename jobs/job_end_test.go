package jobs_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cyclamenrelay.example/jobs"
	"cyclamenrelay.example/ledger"
	"cyclamenrelay.example/member"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/record"
	"cyclamenrelay.example/wire"
)

// countingRouter completes every task at once and counts the starts.
type countingRouter struct{ starts atomic.Int64 }

func (r *countingRouter) RunTask(context.Context, model.Task, func(context.Context, wire.Node) bool) model.Outcome {
	r.starts.Add(1)
	return model.Complete{Status: 200}
}

func (r *countingRouter) Candidates(model.Task, int) []wire.Node { return nil }

// flakyLedger is a ledger in memory. While down is set, it fails and counts the
// attempts to record the end of a job.
type flakyLedger struct {
	mu          sync.Mutex
	machine     *ledger.Ledger
	down        atomic.Bool
	endAttempts atomic.Int64
}

func (l *flakyLedger) GroupOf(string) uint32 { return 1 }

func (l *flakyLedger) Propose(_ context.Context, _ uint32, command []byte) ([]byte, error) {
	c, err := ledger.Commands.Decode(command)
	if err != nil {
		return nil, err
	}
	if _, is := c.(ledger.FinishJob); is && l.down.Load() {
		l.endAttempts.Add(1)
		return nil, trace.ConnectionProblem(nil, "no quorum")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.Apply(1, time.Second, command), nil
}

func (l *flakyLedger) Query(_ context.Context, _ uint32, query []byte) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.Query(query), nil
}

// TestJobEndIsRetriedUntilRecorded resubmits a job while its end cannot be
// recorded: its tasks do not start again.
func TestJobEndIsRetriedUntilRecorded(t *testing.T) {
	clock := clockwork.NewFakeClock()
	router, flaky := &countingRouter{}, &flakyLedger{machine: ledger.New()}
	finder := member.NewFinder(nil, clock, zap.NewNop(), wire.Node{Name: "entry-1", Incarnation: 1}, nil)
	m := jobs.New(record.Store{Ledger: flaky, Finder: finder, Clock: clock, Log: zap.NewNop()}, router)
	spec := jobs.Spec{Key: "k", TimeLeft: time.Minute, Tasks: make([]jobs.TaskBody, 3)}
	submit := func() string {
		st, refusal := m.Submit(context.Background(), spec)
		assert.Assert(t, refusal == nil)
		return st.State
	}
	flaky.down.Store(true)
	assert.Equal(t, submit(), "open")
	for n := range int64(3) {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if flaky.endAttempts.Load() > n {
				return poll.Success()
			}
			clock.Advance(time.Second)
			return poll.Continue("%d attempts to record the end", flaky.endAttempts.Load())
		}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
		assert.Equal(t, submit(), "open")
	}
	flaky.down.Store(false)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if submit() == "complete" {
			return poll.Success()
		}
		clock.Advance(time.Second)
		return poll.Continue("the job is still open")
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
	assert.Equal(t, router.starts.Load(), int64(3))
}

// takenOver is a router at which another entry takes over the job and ends it,
// before the first start.
type takenOver struct {
	store *flakyLedger
	once  sync.Once
}

func (r *takenOver) RunTask(ctx context.Context, t model.Task, guard func(context.Context, wire.Node) bool) model.Outcome {
	r.once.Do(func() {
		other := ledger.Owner{Entry: "entry-2", Incarnation: 1}
		for _, c := range []ledger.Command{
			ledger.TakeJob{Key: t.Job, Epoch: 1, Owner: other},
			ledger.FinishJob{Key: t.Job, Epoch: 2, Owner: other, Status: ledger.Failed, Outcomes: []byte{byte(ledger.NotRun)}},
		} {
			_, _ = r.store.Propose(ctx, 1, ledger.Commands.MustEncode(c))
		}
	})
	if guard(ctx, wire.Node{Name: "agent-1", Incarnation: 1}) {
		return model.Complete{Status: 200}
	}
	return model.NotRun{Code: model.CodeBusy}
}

func (r *takenOver) Candidates(model.Task, int) []wire.Node { return nil }

// TestJobEndedByAnotherEntry has another entry take over and end the job that
// this one runs: this one stops and returns the recorded state.
func TestJobEndedByAnotherEntry(t *testing.T) {
	clock := clockwork.NewFakeClock()
	flaky := &flakyLedger{machine: ledger.New()}
	finder := member.NewFinder(nil, clock, zap.NewNop(), wire.Node{Name: "entry-1", Incarnation: 1}, nil)
	m := jobs.New(record.Store{Ledger: flaky, Finder: finder, Clock: clock, Log: zap.NewNop()}, &takenOver{store: flaky})
	_, refusal := m.Submit(context.Background(), jobs.Spec{Key: "k", TimeLeft: time.Minute, Tasks: make([]jobs.TaskBody, 1)})
	assert.Assert(t, refusal == nil)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		st, err := m.State(context.Background(), "k", wire.JobAnswer)
		if err == nil && st.State == "notRun" {
			return poll.Success()
		}
		return poll.Continue("the job is %q", st.State)
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
}
