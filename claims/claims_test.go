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

// book is a ledger in memory whose answers can be lost.
type book struct {
	mu sync.Mutex
	m  interface {
		Apply(index uint64, now time.Duration, command []byte) []byte
		Query(query []byte) []byte
	}
	n    uint64
	lost int  // answers to lose
	down bool // nothing is recorded
}

func (b *book) GroupOf(string) uint32 { return 1 }

func (b *book) Propose(_ context.Context, _ uint32, c []byte) ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.down {
		return nil, trace.ConnectionProblem(nil, "down")
	}
	b.n++
	a := b.m.Apply(b.n, time.Duration(b.n)*time.Millisecond, c)
	if b.lost > 0 {
		b.lost--
		return nil, trace.ConnectionProblem(nil, "the answer was lost")
	}
	return a, nil
}

func (b *book) Query(_ context.Context, _ uint32, q []byte) ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.m.Query(q), nil
}

// starter counts the starts of each task.
type starter struct {
	mu     sync.Mutex
	starts map[string]int
	answer func(t model.Task) model.Outcome
}

func (s *starter) Do(ctx context.Context, t model.Task, guard func(context.Context, wire.Node) bool) model.Outcome {
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

func (s *starter) total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, v := range s.starts {
		n += v
	}
	return n
}

func manager(t *testing.T, b *book, s *starter) *claims.Manager { return managerNamed(t, "e1", b, s) }

func managerNamed(t *testing.T, name string, b *book, s claims.Router) *claims.Manager {
	c := clockwork.NewRealClock()
	f := member.NewFinder(nil, c, zap.NewNop(), wire.Node{Name: name, Incarnation: 5}, nil)
	m := claims.New(record.Book{Ledger: b, Finder: f, Clock: c, Log: zap.NewNop()}, s)
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

func newBook() *book { return &book{m: ledger.New()} }

func newStarter() *starter { return &starter{starts: map[string]int{}} }

func claim() model.Task {
	return model.Task{ID: "x", TimeLeft: 10 * time.Second, Body: []byte("pay")}
}

func TestUnrecordedClaimIsNotRun(t *testing.T) {
	b, s := newBook(), newStarter()
	b.down = true
	m := manager(t, b, s)
	o := m.Do(t.Context(), "k", claim())
	assert.Equal(t, model.OutcomeName(o), "notRun")
	assert.Equal(t, s.total(), 0)
}

func TestClaimWithALostAnswerMayBeResent(t *testing.T) {
	b, s := newBook(), newStarter()
	b.lost = 1
	m := manager(t, b, s)
	o := m.Do(t.Context(), "k", claim())
	assert.Equal(t, model.OutcomeName(o), "notRun")
	assert.Equal(t, s.total(), 0)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		o = m.Do(t.Context(), "k", claim())
		if _, ok := o.(model.Complete); ok {
			return poll.Success()
		}
		return poll.Continue("%v", o)
	})
	assert.Equal(t, s.total(), 1)
	again := m.Do(t.Context(), "k", claim())
	assert.DeepEqual(t, again, o)
	assert.Equal(t, s.total(), 1)
}

func TestClaimThatWasNotRunIsFree(t *testing.T) {
	b, s := newBook(), newStarter()
	full := true
	s.answer = func(model.Task) model.Outcome {
		if full {
			return model.NotRun{Code: model.CodeQueueFull}
		}
		return model.Complete{Status: 200}
	}
	m := manager(t, b, s)
	assert.Equal(t, model.OutcomeName(m.Do(t.Context(), "k", claim())), "notRun")
	full = false
	assert.Equal(t, model.OutcomeName(m.Do(t.Context(), "k", claim())), "complete")
}

func TestClaimOfADeadEntryMayHaveRun(t *testing.T) {
	b, first, second := newBook(), newStarter(), newStarter()
	running, hold := make(chan struct{}), make(chan struct{})
	first.answer = func(model.Task) model.Outcome {
		close(running)
		<-hold
		return model.Complete{Status: 200}
	}
	dead, alive := manager(t, b, first), managerNamed(t, "e2", b, second)
	done := make(chan struct{})
	go func() {
		dead.Do(context.Background(), "k", claim())
		close(done)
	}()
	<-running
	// The second entry does not hear of the first.
	o := alive.Do(t.Context(), "k", claim())
	f, ok := o.(model.Failed)
	assert.Assert(t, ok && f.MayHaveRun, "%v", o)
	assert.Equal(t, second.total(), 0)
	close(hold)
	<-done
	assert.Equal(t, model.OutcomeName(alive.Do(t.Context(), "k", claim())), "complete")
	assert.Equal(t, second.total(), 0)
}
