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

// targets runs every task at once and counts the starts.
type targets struct{ starts atomic.Int64 }

func (t *targets) Do(context.Context, model.Task, func(context.Context, wire.Node) bool) model.Outcome {
	t.starts.Add(1)
	return model.Complete{Status: 200}
}

func (t *targets) Candidates(model.Task, int) []wire.Node { return nil }

// records is a ledger that refuses the ends of jobs while deaf.
type records struct {
	mu   sync.Mutex
	l    *ledger.Ledger
	deaf atomic.Bool
	ends atomic.Int64
}

func (r *records) GroupOf(string) uint32 { return 1 }

func (r *records) Propose(_ context.Context, _ uint32, command []byte) ([]byte, error) {
	c, err := ledger.Commands.Decode(command)
	if err != nil {
		return nil, err
	}
	if _, is := c.(ledger.FinishJob); is && r.deaf.Load() {
		r.ends.Add(1)
		return nil, trace.ConnectionProblem(nil, "no quorum")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.l.Apply(1, time.Second, command), nil
}

func (r *records) Query(_ context.Context, _ uint32, query []byte) ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.l.Query(query), nil
}

// TestEndIsOfferedUntilRecorded resubmits a job whose end could not be recorded:
// its tasks do not start again.
func TestEndIsOfferedUntilRecorded(t *testing.T) {
	clock := clockwork.NewFakeClock()
	router, led := &targets{}, &records{l: ledger.New()}
	finder := member.NewFinder(nil, clock, zap.NewNop(), wire.Node{Name: "entry-1", Incarnation: 1}, nil)
	m := jobs.New(record.Book{Ledger: led, Finder: finder, Clock: clock, Log: zap.NewNop()}, router)
	spec := jobs.Spec{Key: "k", TimeLeft: time.Minute, Tasks: make([]jobs.Body, 3)}
	submit := func() string {
		st, refusal := m.Submit(context.Background(), spec)
		assert.Assert(t, refusal == nil)
		return st.State
	}
	led.deaf.Store(true)
	assert.Equal(t, submit(), "open")
	for n := range int64(3) {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if led.ends.Load() > n {
				return poll.Success()
			}
			clock.Advance(time.Second)
			return poll.Continue("the end was offered %d times", led.ends.Load())
		}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
		assert.Equal(t, submit(), "open")
	}
	led.deaf.Store(false)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if submit() == "complete" {
			return poll.Success()
		}
		clock.Advance(time.Second)
		return poll.Continue("the job is open")
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
	assert.Equal(t, router.starts.Load(), int64(3))
}

// robbed loses its job to another entry, which ends it, before the first start.
type robbed struct {
	led  *records
	once sync.Once
}

func (r *robbed) Do(ctx context.Context, t model.Task, guard func(context.Context, wire.Node) bool) model.Outcome {
	r.once.Do(func() {
		other := ledger.Owner{Entry: "entry-2", Incarnation: 1}
		for _, c := range []ledger.Command{
			ledger.TakeJob{Key: t.Job, Epoch: 1, Owner: other},
			ledger.FinishJob{Key: t.Job, Epoch: 2, Owner: other, Status: ledger.Failed, Outcomes: []byte{byte(ledger.NotRun)}},
		} {
			_, _ = r.led.Propose(ctx, 1, ledger.Commands.MustEncode(c))
		}
	})
	if guard(ctx, wire.Node{Name: "agent-1", Incarnation: 1}) {
		return model.Complete{Status: 200}
	}
	return model.NotRun{Code: model.CodeBusy}
}

func (r *robbed) Candidates(model.Task, int) []wire.Node { return nil }

// TestJobThatAnotherHasEnded has another entry end the job that this one runs:
// it stops and gives the other's answer.
func TestJobThatAnotherHasEnded(t *testing.T) {
	clock := clockwork.NewFakeClock()
	led := &records{l: ledger.New()}
	finder := member.NewFinder(nil, clock, zap.NewNop(), wire.Node{Name: "entry-1", Incarnation: 1}, nil)
	m := jobs.New(record.Book{Ledger: led, Finder: finder, Clock: clock, Log: zap.NewNop()}, &robbed{led: led})
	_, refusal := m.Submit(context.Background(), jobs.Spec{Key: "k", TimeLeft: time.Minute, Tasks: make([]jobs.Body, 1)})
	assert.Assert(t, refusal == nil)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		st, err := m.Ask(context.Background(), "k", wire.JobAnswer)
		if err == nil && st.State == "notRun" {
			return poll.Success()
		}
		return poll.Continue("the job is %q", st.State)
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
}
