package broker_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cyclamenrelay.example/assign"
	"cyclamenrelay.example/batch"
	"cyclamenrelay.example/broker"
	"cyclamenrelay.example/kernel"
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/peers"
	"cyclamenrelay.example/policy"
	"cyclamenrelay.example/watch"
	"cyclamenrelay.example/wire"
)

// testbed is a test setup of a Broker with fake agents.
type testbed struct {
	t      testing.TB
	broker *broker.Broker
	entry  *link.Node
	// view is the entry's copy of the configuration.
	view *watch.View
	// agentNode is the node of the agent that was added last.
	agentNode *link.Node

	mu     sync.Mutex
	starts []wire.StartRun
	agents []string // receivers of starts
}

func newTestbed(t testing.TB) *testbed { return newTestbedWith(t, "entry-1", nil) }

// newTestbedWith returns a testbed of an entry with the name that knows other entries.
func newTestbedWith(t testing.TB, name string, others func() []wire.Node) *testbed {
	return newTestbedWithClock(t, name, others, clockwork.NewRealClock())
}

func newTestbedWithClock(t testing.TB, name string, others func() []wire.Node, clock clockwork.Clock, change ...func(*broker.Options)) *testbed {
	b := &testbed{t: t, view: watch.NewView(clock, time.Second)}
	b.entry = b.node(name, keys.Entry)
	opts := broker.Options{Name: name, Entries: others, View: b.view, DataCentre: "dc", Timing: peers.NewTiming(500 * time.Millisecond), Admission: assign.DefaultSettings(), FarFactor: 1.5, MaxOrphanRunTime: time.Minute, Clock: clock, Log: zap.NewNop()}
	for _, f := range change {
		f(&opts)
	}
	b.broker = broker.New(opts)
	k := kernel.New(zap.NewNop())
	k.Add(b.broker)
	k.Add(b.entry)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	started := make(chan struct{})
	k.Add(service(func(ctx context.Context) error {
		close(started)
		<-ctx.Done()
		return nil
	}))
	go func() { done <- k.Run(ctx, 0) }()
	<-started
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return b
}

// service is a kernel.Service that runs one function.
type service func(context.Context) error

func (s service) Name() string                  { return "started" }
func (s service) Run(ctx context.Context) error { return s(ctx) }

func (b *testbed) node(name string, role keys.Role) *link.Node {
	clock := clockwork.NewRealClock()
	id, err := keys.NewEphemeral(clock, name, []keys.Role{role})
	assert.NilError(b.t, err)
	return link.New(link.Options{Address: "127.0.0.1:0", Keys: id, Log: zap.NewNop(), Clock: clock})
}

// serve runs a node until the test ends or the returned function is called.
func (b *testbed) serve(n *link.Node) (stop func()) {
	assert.NilError(b.t, n.Start(nil))
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = n.Run(ctx) })
	stop = sync.OnceFunc(func() {
		cancel()
		wg.Wait()
	})
	b.t.Cleanup(stop)
	return stop
}

// agent adds an agent that answers each start with the result of f, and returns a
// function that stops the agent.
func (b *testbed) agent(name string, cpu int64, f func(context.Context, wire.StartRun) wire.RunEnded) (stop func()) {
	return b.agentWith(name, cpu, f, func(*link.Node) {})
}

// agentWith is agent with further handlers.
func (b *testbed) agentWith(name string, cpu int64, f func(context.Context, wire.StartRun) wire.RunEnded, handle func(*link.Node)) (stop func()) {
	n := b.node(name, keys.Agent)
	handle(n)
	b.agentNode = n
	link.Handle(n.Mux(), func(ctx context.Context, _ link.Peer, m wire.StartRun) wire.Message {
		b.mu.Lock()
		b.starts = append(b.starts, m)
		b.agents = append(b.agents, name)
		b.mu.Unlock()
		return f(ctx, m)
	}, keys.Entry)
	stopNode := b.serve(n)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	reported := make(chan struct{})
	wg.Go(func() {
		for seq := uint64(1); ctx.Err() == nil; seq++ {
			_, _ = n.Call(ctx, link.Dest{Address: b.entry.Address()}, wire.LoadReport{
				Agent: name, TargetLoad: wire.TargetLoad{Incarnation: 1, Seq: seq, CompletionInterval: 50 * time.Millisecond}, Target: "t", Pool: "p", DataCentre: "dc", Open: true,
				Capacity: batch.Resources{CPU: cpu},
			})
			if seq == 1 {
				close(reported)
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
	stop = sync.OnceFunc(func() {
		cancel()
		wg.Wait()
		stopNode()
	})
	b.t.Cleanup(stop)
	<-reported
	return stop
}

func queue() policy.Queue {
	return policy.Queue{Name: "q", Pool: "p", Timeout: 10 * time.Second, Stretch: 1.6, Slack: 60 * time.Millisecond, Attempts: 2}
}

func job(id string, steps ...batch.Step) batch.Job {
	for i := range steps {
		steps[i].Need, steps[i].Estimate = batch.Resources{CPU: 100}, time.Second
	}
	return batch.Job{ID: id, Steps: steps, Transient: true}
}

// caller is a broker.Caller that waits until gone is set.
type caller struct{ gone atomic.Bool }

func (c *caller) Connected() bool { return !c.gone.Load() }

func (b *testbed) submit(j batch.Job) broker.Outcome {
	return b.broker.Submit(b.t.Context(), new(caller), queue(), j, time.Now().Add(10*time.Second))
}

// startJob submits a job until the tasks of its first step have arrived at their agents,
// which send their names to arrived. It returns the job's ID and where its outcome comes. On
// a busy machine, reports may be too old for the job to be placed.
func (b *testbed) startJob(arrived <-chan string, steps ...batch.Step) (id string, outcome <-chan string) {
	for n := 0; ; n++ {
		id := fmt.Sprint("j", n)
		ended := make(chan string, 1)
		go func() { ended <- outcomeKind(b.submit(job(id, steps...))) }()
		for tasks := 0; len(ended) == 0; {
			select {
			case <-arrived:
				tasks++
			case <-time.After(5 * time.Millisecond):
			}
			if tasks == steps[0].Count {
				return id, ended
			}
		}
		assert.Equal(b.t, <-ended, "refuse")
	}
}

// startedTasks returns the names of the started tasks in their order.
func (b *testbed) startedTasks() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for _, s := range b.starts {
		out = append(out, s.Task)
	}
	return out
}

func done(context.Context, wire.StartRun) wire.RunEnded {
	return wire.RunEnded{End: batch.Done, Proof: batch.ProofListing, Ran: time.Millisecond}
}

func TestStepsRunInOrder(t *testing.T) {
	b := newTestbed(t)
	b.agent("a1", 1000, done)
	o := b.submit(job("j", batch.Step{Count: 1}, batch.Step{Count: 1, After: []int{0}}, batch.Step{Count: 1, After: []int{1}}))
	assert.Equal(t, o, broker.Outcome(broker.Complete{}))
	assert.DeepEqual(t, b.startedTasks(), []string{"j.0.0.0", "j.0.1.0", "j.0.2.0"})
	assert.Equal(t, b.submit(job("j", batch.Step{Count: 1})), broker.Outcome(broker.Complete{}))
	assert.Equal(t, len(b.startedTasks()), 3, "a finished job ran again")
}

// A job is reported as refused, that is, as not run, only when that is certain.
func TestOutcomes(t *testing.T) {
	end := func(e batch.End) func(context.Context, wire.StartRun) wire.RunEnded {
		return func(context.Context, wire.StartRun) wire.RunEnded {
			return wire.RunEnded{End: e, Proof: batch.ProofListing}
		}
	}
	for name, x := range map[string]struct {
		agent  func(context.Context, wire.StartRun) wire.RunEnded
		want   broker.Outcome
		starts int
	}{
		"done":                  {done, broker.Complete{}, 1},
		"fails in all attempts": {end(batch.Failed), broker.Failed{}, 2},
		"never started":         {end(batch.NotStarted), broker.Refused{}, 1},
		"lost":                  {end(batch.Lost), broker.Interrupted{}, 1},
		"stopped each time":     {end(batch.Stopped), broker.Interrupted{}, 6},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t)
			b.agent("a1", 1000, x.agent)
			o := b.submit(job("j", batch.Step{Count: 1}))
			assert.Equal(t, outcomeKind(o), outcomeKind(x.want), "%+v", o)
			assert.Equal(t, len(b.startedTasks()), x.starts)
		})
	}
}

func (b *testbed) await(what string, f func() bool) {
	poll.WaitOn(b.t, func(poll.LogT) poll.Result {
		if f() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(20*time.Second))
}

func outcomeKind(o broker.Outcome) string {
	switch o.(type) {
	case broker.Complete:
		return "complete"
	case broker.Failed:
		return "fail"
	case broker.Refused:
		return "refuse"
	}
	return "broken"
}

func TestFailedTaskGoesElsewhere(t *testing.T) {
	b := newTestbed(t)
	b.agent("a1", 1000, func(_ context.Context, m wire.StartRun) wire.RunEnded {
		if m.Run == 1 {
			return wire.RunEnded{End: batch.Failed, Proof: batch.ProofListing}
		}
		return done(t.Context(), m)
	})
	b.agent("a2", 1000, func(_ context.Context, m wire.StartRun) wire.RunEnded {
		if m.Run == 1 {
			return wire.RunEnded{End: batch.Failed, Proof: batch.ProofListing}
		}
		return done(t.Context(), m)
	})
	assert.Equal(t, outcomeKind(b.submit(job("j", batch.Step{Count: 1}))), "complete")
	b.mu.Lock()
	defer b.mu.Unlock()
	assert.Assert(t, b.agents[0] != b.agents[1], "both runs were on agent %s", b.agents[0])
	assert.Equal(t, b.starts[1].Run, uint64(2))
}

// Jobs that cannot be done in time are refused at once, and none of their tasks is sent.
func TestImpossibleJobsAreRefusedAtOnce(t *testing.T) {
	b := newTestbed(t)
	b.agent("a1", 100, done)
	for name, j := range map[string]batch.Job{
		"no target is large enough":       job("j1", batch.Step{Count: 1}, batch.Step{Count: 1}),
		"not supported":                   {ID: "j2", Unsupported: "test", Steps: []batch.Step{{Count: 1}}},
		"too many tasks for the deadline": job("j3", batch.Step{Count: 100}),
	} {
		if name == "no target is large enough" {
			j.Steps[0].Need.CPU = 101
		}
		assert.Equal(t, outcomeKind(b.submit(j)), "refuse", name)
	}
	late := b.broker.Submit(t.Context(), new(caller), queue(), job("j4", batch.Step{Count: 1}), time.Now().Add(900*time.Millisecond))
	assert.Equal(t, outcomeKind(late), "refuse", "a job with 1 s of work was accepted with a deadline of 900 ms")
	assert.Equal(t, len(b.startedTasks()), 0)
}

// A job runs only once, however many callers wait for it, and is stopped when the last
// of them leaves.
func TestCallersOfOneJob(t *testing.T) {
	b := newTestbed(t)
	running := make(chan struct{}, 9)
	b.agent("a1", 1000, func(ctx context.Context, _ wire.StartRun) wire.RunEnded {
		running <- struct{}{}
		<-ctx.Done()
		running <- struct{}{}
		return wire.RunEnded{End: batch.Stopped, Proof: batch.ProofAbsence}
	})
	outcomes := make(chan broker.Outcome, 2)
	var leave []context.CancelFunc
	for range 2 {
		ctx, cancel := context.WithCancel(t.Context())
		leave = append(leave, cancel)
		go func() {
			outcomes <- b.broker.Submit(ctx, new(caller), queue(), job("j", batch.Step{Count: 1}), time.Now().Add(time.Minute))
		}()
	}
	<-running
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if b.broker.InProgress() == 1 {
			return poll.Success()
		}
		return poll.Continue("the job is not in progress")
	})
	leave[0]()
	leave[1]()
	assert.Equal(t, outcomeKind(<-outcomes), "broken")
	assert.Equal(t, outcomeKind(<-outcomes), "broken")
	<-running
	assert.Equal(t, len(b.startedTasks()), 1)
	assert.Equal(t, b.broker.Pending("q"), 0)
	assert.Assert(t, !b.broker.Cancel("j"))
}

// The calls to an agent that stops reporting are cancelled soon: the leases of its runs
// end, and the caller may send the job again.
func TestCallsToSilentAgentAreCancelled(t *testing.T) {
	b := newTestbed(t)
	started := make(chan struct{})
	stop := b.agent("a1", 1000, func(ctx context.Context, _ wire.StartRun) wire.RunEnded {
		close(started)
		<-ctx.Done()
		return wire.RunEnded{}
	})
	out := make(chan broker.Outcome, 1)
	go func() { out <- b.submit(job("j", batch.Step{Count: 1})) }()
	<-started
	go stop()
	assert.Equal(t, outcomeKind(<-out), "broken")
}

// BenchmarkJob measures the cost of a job of eight tasks, including the agents.
func BenchmarkJob(b *testing.B) {
	bed := newTestbed(b)
	for i := range 10 {
		bed.agent(fmt.Sprint("a", i), 1_000_000, done)
	}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		n++
		bed.submit(job(fmt.Sprint("j", n), batch.Step{Count: 8}))
	}
}
