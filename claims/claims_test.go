package claims_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cyclamenrelay.example/claims"
	"cyclamenrelay.example/ledger"
	"cyclamenrelay.example/member"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/record"
	"cyclamenrelay.example/wire"
)

// fakeLedger is a ledger in memory that can be down or lose answers.
type fakeLedger struct {
	mu      sync.Mutex
	machine interface {
		Apply(index uint64, now time.Duration, command []byte) []byte
		Query(query []byte) []byte
	}
	lastIndex   uint64
	loseAnswers int  // number of further answers to lose
	down        bool // every proposal fails, and nothing is recorded
}

func (l *fakeLedger) GroupOf(string) uint32 { return 1 }

func (l *fakeLedger) Propose(_ context.Context, _ uint32, c []byte) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, trace.ConnectionProblem(nil, "down")
	}
	l.lastIndex++
	a := l.machine.Apply(l.lastIndex, time.Duration(l.lastIndex)*time.Millisecond, c)
	if l.loseAnswers > 0 {
		l.loseAnswers--
		return nil, trace.ConnectionProblem(nil, "the answer was lost")
	}
	return a, nil
}

func (l *fakeLedger) Query(_ context.Context, _ uint32, q []byte) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.Query(q), nil
}

// fakeRouter counts the starts of each task. It completes the tasks unless
// answer is set.
type fakeRouter struct {
	mu     sync.Mutex
	starts map[string]int
	answer func(t model.Task) model.Outcome
}

func (s *fakeRouter) RunTask(ctx context.Context, t model.Task, guard func(context.Context, wire.Node) bool) model.Outcome {
	if guard != nil && !guard(ctx, wire.Node{Name: "a1", Incarnation: 1}) {
		return model.NotRun{Code: model.CodeCancelled, Reason: "not allowed"}
	}
	s.mu.Lock()
	s.starts[t.ID]++
	s.mu.Unlock()
	if s.answer != nil {
		return s.answer(t)
	}
	return model.Complete{Status: 200, Body: []byte("done")}
}

func (s *fakeRouter) total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, v := range s.starts {
		n += v
	}
	return n
}

func newManager(t *testing.T, b *fakeLedger, s *fakeRouter) *claims.Manager {
	return newManagerNamed(t, "e1", b, s)
}

func newManagerNamed(t *testing.T, name string, b *fakeLedger, s claims.Router) *claims.Manager {
	c := clockwork.NewRealClock()
	f := member.NewFinder(nil, c, zap.NewNop(), wire.Node{Name: name, Incarnation: 5}, nil)
	m := claims.New(record.Store{Ledger: b, Finder: f, Clock: c, Log: zap.NewNop()}, s)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = m.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return m
}

func newFakeLedger() *fakeLedger { return &fakeLedger{machine: ledger.New()} }

func newFakeRouter() *fakeRouter { return &fakeRouter{starts: map[string]int{}} }

func claimTask() model.Task {
	return model.Task{ID: "x", TimeLeft: 10 * time.Second, Body: []byte("pay")}
}

func TestUnrecordedClaimIsNotRun(t *testing.T) {
	b, s := newFakeLedger(), newFakeRouter()
	b.down = true
	m := newManager(t, b, s)
	o := m.Do(t.Context(), "k", claimTask())
	assert.Equal(t, model.OutcomeName(o), "notRun")
	assert.Equal(t, s.total(), 0)
}

func TestClaimWithALostAnswerMayBeResent(t *testing.T) {
	b, s := newFakeLedger(), newFakeRouter()
	b.loseAnswers = 1
	m := newManager(t, b, s)
	o := m.Do(t.Context(), "k", claimTask())
	assert.Equal(t, model.OutcomeName(o), "notRun")
	assert.Equal(t, s.total(), 0)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		o = m.Do(t.Context(), "k", claimTask())
		if _, ok := o.(model.Complete); ok {
			return poll.Success()
		}
		return poll.Continue("%v", o)
	})
	assert.Equal(t, s.total(), 1)
	again := m.Do(t.Context(), "k", claimTask())
	assert.DeepEqual(t, again, o)
	assert.Equal(t, s.total(), 1)
}

func TestClaimOfUnrunRequestIsReleased(t *testing.T) {
	b, s := newFakeLedger(), newFakeRouter()
	full := true
	s.answer = func(model.Task) model.Outcome {
		if full {
			return model.NotRun{Code: model.CodeQueueFull}
		}
		return model.Complete{Status: 200}
	}
	m := newManager(t, b, s)
	assert.Equal(t, model.OutcomeName(m.Do(t.Context(), "k", claimTask())), "notRun")
	full = false
	assert.Equal(t, model.OutcomeName(m.Do(t.Context(), "k", claimTask())), "complete")
}

func TestClaimOfADeadEntryMayHaveRun(t *testing.T) {
	b, first, second := newFakeLedger(), newFakeRouter(), newFakeRouter()
	running, hold := make(chan struct{}), make(chan struct{})
	first.answer = func(model.Task) model.Outcome {
		close(running)
		<-hold
		return model.Complete{Status: 200}
	}
	dead, alive := newManager(t, b, first), newManagerNamed(t, "e2", b, second)
	done := make(chan struct{})
	go func() {
		dead.Do(context.Background(), "k", claimTask())
		close(done)
	}()
	<-running
	// The second entry's finder does not know the first entry, which is as good as
	// dead to it.
	o := alive.Do(t.Context(), "k", claimTask())
	f, ok := o.(model.Failed)
	assert.Assert(t, ok && f.MayHaveRun, "%v", o)
	assert.Equal(t, second.total(), 0)
	close(hold)
	<-done
	assert.Equal(t, model.OutcomeName(alive.Do(t.Context(), "k", claimTask())), "complete")
	assert.Equal(t, second.total(), 0)
}
