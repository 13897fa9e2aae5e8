package jobs_test

import (
	"context"
	"fmt"
	"strconv"
	"sync"
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

func (s *fakeRouter) Candidates(model.Task, int) []wire.Node {
	return []wire.Node{{Name: "a1", Incarnation: 1}}
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

func newManager(t *testing.T, b *fakeLedger, s *fakeRouter) *jobs.Manager {
	return newManagerNamed(t, "e1", b, s)
}

func newManagerNamed(t *testing.T, name string, b *fakeLedger, s jobs.Router) *jobs.Manager {
	c := clockwork.NewRealClock()
	f := member.NewFinder(nil, c, zap.NewNop(), wire.Node{Name: name, Incarnation: 5}, nil)
	m := jobs.New(record.Store{Ledger: b, Finder: f, Clock: c, Log: zap.NewNop()}, s)
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

func spec(key string, n int) jobs.Spec {
	return jobs.Spec{Key: key, TimeLeft: time.Minute, Tasks: make([]jobs.TaskBody, n)}
}

func waitEnded(t *testing.T, m *jobs.Manager, key string) wire.JobState {
	t.Helper()
	var s wire.JobState
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		var err error
		s, err = m.State(t.Context(), key, wire.JobAnswer)
		if err != nil || s.State == "" || s.State == "open" {
			return poll.Continue("state %q: %v", s.State, err)
		}
		return poll.Success()
	})
	return s
}

func TestConcurrentSubmissionsStartOnce(t *testing.T) {
	s := newFakeRouter()
	m := newManager(t, newFakeLedger(), s)
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() {
			_, refusal := m.Submit(t.Context(), spec("k", 30))
			assert.Check(t, refusal == nil)
		})
	}
	wg.Wait()
	st := waitEnded(t, m, "k")
	assert.Equal(t, st.State, "complete", st.Reason)
	assert.Equal(t, len(st.Results), 30)
	assert.Equal(t, s.total(), 30)
}

func TestKeyOfAnotherJobConflicts(t *testing.T) {
	m := newManager(t, newFakeLedger(), newFakeRouter())
	_, refusal := m.Submit(t.Context(), spec("k", 2))
	assert.Assert(t, refusal == nil)
	waitEnded(t, m, "k")
	_, refusal = m.Submit(t.Context(), spec("k", 3))
	assert.Assert(t, refusal != nil && refusal.Code == model.CodeConflict, "%v", refusal)
}

func TestFailedTaskFailsTheJob(t *testing.T) {
	s := newFakeRouter()
	s.answer = func(t model.Task) model.Outcome {
		if t.ID == "k/3" {
			return model.Failed{Reason: "broken"}
		}
		return model.Complete{Status: 200}
	}
	m := newManager(t, newFakeLedger(), s)
	_, refusal := m.Submit(t.Context(), spec("k", 10))
	assert.Assert(t, refusal == nil)
	st := waitEnded(t, m, "k")
	assert.Equal(t, st.State, "failed")
}

func TestAnswersTooLargeTogetherFailTheJob(t *testing.T) {
	s := newFakeRouter()
	s.answer = func(model.Task) model.Outcome {
		return model.Complete{Status: 200, Body: make([]byte, model.MaxBody/4)}
	}
	m := newManager(t, newFakeLedger(), s)
	for n, want := range map[int]string{4: "complete", 5: "failed"} {
		key := "k" + strconv.Itoa(n)
		_, refusal := m.Submit(t.Context(), spec(key, n))
		assert.Assert(t, refusal == nil)
		assert.Equal(t, waitEnded(t, m, key).State, want)
	}
}

func TestUnrecordedJobStartsNothing(t *testing.T) {
	b, s := newFakeLedger(), newFakeRouter()
	b.down = true
	m := newManager(t, b, s)
	_, refusal := m.Submit(t.Context(), spec("k", 5))
	assert.Assert(t, refusal != nil && refusal.Code == model.CodeNoQuorum)
	assert.Equal(t, s.total(), 0)
}

// TestFullAgentSetLimitsTasks: once the maximum number of agents is recorded,
// the tasks of the job are limited to these; with fewer there is no limit.
func TestFullAgentSetLimitsTasks(t *testing.T) {
	for _, n := range []int{1, ledger.MaxAgents} {
		s := &manyAgents{n: n}
		m := newManagerNamed(t, "e1", newFakeLedger(), s)
		_, refusal := m.Submit(t.Context(), spec("wide", 3))
		assert.Assert(t, refusal == nil)
		assert.Equal(t, waitEnded(t, m, "wide").State, "complete")
		want := 0
		if n == ledger.MaxAgents {
			want = n
		}
		assert.Equal(t, s.limit(), want)
	}
}

// manyAgents is a router with n candidates. It notes to how many agents the last
// task was limited.
type manyAgents struct {
	n         int
	mu        sync.Mutex
	lastLimit int
}

func (s *manyAgents) RunTask(ctx context.Context, t model.Task, guard func(context.Context, wire.Node) bool) model.Outcome {
	s.mu.Lock()
	s.lastLimit = len(t.Agents)
	s.mu.Unlock()
	if !guard(ctx, wire.Node{Name: "a0", Incarnation: 1}) {
		return model.Failed{Reason: "not allowed"}
	}
	return model.Complete{Status: 200}
}

func (s *manyAgents) Candidates(model.Task, int) (out []wire.Node) {
	for i := range s.n {
		out = append(out, wire.Node{Name: fmt.Sprint("a", i), Incarnation: 1})
	}
	return out
}

func (s *manyAgents) limit() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastLimit
}
