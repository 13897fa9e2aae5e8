// Package route sends tasks from an entry to agents and passes their answers back,
// as the scheduler in package place decides.
package route

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"cyclamenrelay.example/kernel"
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/member"
	"cyclamenrelay.example/meter"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/place"
	"cyclamenrelay.example/rules"
	"cyclamenrelay.example/spans"
	"cyclamenrelay.example/watch"
	"cyclamenrelay.example/wire"
)

// ServiceName is the name by which other services find the router.
const ServiceName = "route"

const (
	maxEvents   = 1 << 14     // events that wait for the core
	postTimeout = time.Second // for one message that is not a start
)

// Options configure a Router.
type Options struct {
	Place place.Settings
	Clock clockwork.Clock
	Log   *zap.Logger
	View  *watch.View
}

// Router sends tasks to agents. The goroutine of Run owns the scheduler core.
type Router struct {
	opts    Options
	node    *link.Node
	finder  *member.Finder
	core    *place.Core
	events  chan event
	stopped chan struct{} // closed when Run ends

	// Owned by the goroutine of Run.
	waiters    map[string]waiter              // by task ID
	calls      map[callKey]context.CancelFunc // starts in progress
	demand     map[string]chan wire.Message   // demand to be sent, by agent
	agents     map[string]agentState          // by agent
	useReports map[string]useReport           // by entry
}

// agentState is the newest announcement of an agent and when it was received.
type agentState struct {
	announce  wire.Announce
	lastHeard time.Time
}

// event is either an input for the core or a function that is called with the core.
type event struct {
	in      place.Input
	waiter  waiter // of the task of a place.Arrive
	inspect func(*place.Core)
	call    callKey // the call that the input ends
}

// waiter is a call of RunTask that waits for the outcome of its task.
type waiter struct {
	ctx   context.Context
	guard Guard
	reply chan model.Outcome
}

// callKey identifies a start of a task at an agent.
type callKey struct{ agent, id string }

// New returns a router that knows no agents yet.
func New(opts Options) *Router {
	set, _ := rules.Compile(model.Config{})
	rnd := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Router{
		opts:       opts,
		core:       place.New(opts.Place, set, rnd),
		events:     make(chan event, maxEvents),
		stopped:    make(chan struct{}),
		waiters:    map[string]waiter{},
		calls:      map[callKey]context.CancelFunc{},
		demand:     map[string]chan wire.Message{},
		agents:     map[string]agentState{},
		useReports: map[string]useReport{},
	}
}

// Name implements kernel.Service.
func (r *Router) Name() string { return ServiceName }

// Start implements kernel.Starter.
func (r *Router) Start(k *kernel.Kernel) (err error) {
	if r.node, err = kernel.Find[*link.Node](k, link.ServiceName); err != nil {
		return err
	}
	if r.finder, err = kernel.Find[*member.Finder](k, member.ServiceName); err != nil {
		return err
	}
	link.Handle(r.node.Mux(), r.onAnnounce, keys.Agent)
	link.Handle(r.node.Mux(), r.onGrant, keys.Agent)
	link.Handle(r.node.Mux(), r.onTeamUse, keys.Entry)
	return nil
}

// Guard reports whether a task may be started at the agent. It is called just
// before the start is sent.
type Guard = func(ctx context.Context, agent wire.Node) bool

// RunTask runs the task at a target that the scheduler chooses and returns its one
// outcome. When ctx ends the task is cancelled. A nil guard allows every agent.
func (r *Router) RunTask(ctx context.Context, t model.Task, guard Guard) model.Outcome {
	w := waiter{ctx: ctx, guard: guard, reply: make(chan model.Outcome, 1)}
	if !r.send(event{in: place.Arrive{Task: t}, waiter: w}) {
		return model.NotRun{Code: model.CodeLeaving, Reason: "the entry is shutting down"}
	}
	select {
	case o := <-w.reply:
		return o
	case <-ctx.Done():
		r.send(event{in: place.Cancelled{ID: t.ID}})
	case <-r.stopped:
	}
	select {
	case o := <-w.reply:
		return o
	case <-r.stopped:
		return model.Failed{Reason: "the entry stopped", MayHaveRun: true}
	}
}

// WithCore runs f with the core in the goroutine that owns it and waits for the end of
// f, or of Run. f must not keep the core.
func (r *Router) WithCore(f func(*place.Core)) {
	done := make(chan struct{})
	if !r.send(event{inspect: func(c *place.Core) { f(c); close(done) }}) {
		return
	}
	select {
	case <-done:
	case <-r.stopped:
	}
}

// send queues an event for the goroutine of Run. It returns false when Run has ended.
func (r *Router) send(e event) bool {
	select {
	case <-r.stopped:
		return false
	default:
	}
	select {
	case r.events <- e:
		return true
	case <-r.stopped:
		return false
	}
}

func (r *Router) onAnnounce(_ context.Context, p link.Peer, m wire.Announce) wire.Message {
	if m.Self.Name != p.Name {
		return wire.Refused{Reason: "the announced name is not the certificate's"}
	}
	if m.Target != nil {
		if err := model.CheckTarget(*m.Target); err != nil {
			return wire.Refused{Reason: "target: " + trace.UserMessage(err)}
		}
	}
	m.Free = max(m.Free, 0)
	r.send(event{in: place.Announced{Announce: m}})
	return wire.Announced{Config: r.opts.View.UpdateSince(m.Version)}
}

func (r *Router) onGrant(_ context.Context, p link.Peer, m wire.Grant) wire.Message {
	r.send(event{in: place.Granted{Agent: p.Name, Grant: m}})
	return wire.Done{}
}

// Run implements kernel.Service. Only its goroutine uses the core.
func (r *Router) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	defer close(r.stopped)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	changed := r.opts.View.Changed()
	r.configure(ctx, &wg)
	reported := r.opts.Clock.Now()
	for {
		now := r.opts.Clock.Now()
		if now.Sub(reported) >= reportInterval {
			reported = now
			r.forgetSilent(now)
			r.reportUse(ctx, &wg)
		}
		select {
		case <-ctx.Done():
			return nil
		case e := <-r.events:
			r.handle(ctx, &wg, e)
		case <-changed:
			changed = r.opts.View.Changed()
			r.configure(ctx, &wg)
		case <-r.opts.Clock.After(r.core.NextTick().Sub(now)):
			r.step(ctx, &wg, place.Tick{})
		}
	}
}

// handle handles one event. The cancellation of a task that has its outcome is dropped.
func (r *Router) handle(ctx context.Context, wg *sync.WaitGroup, e event) {
	if e.inspect != nil {
		e.inspect(r.core)
		return
	}
	if a, ok := e.in.(place.Arrive); ok {
		r.waiters[a.Task.ID] = e.waiter
	}
	delete(r.calls, e.call)
	if h, ok := e.in.(place.Announced); ok && newer(h.Announce, r.agents[h.Announce.Self.Name].announce) {
		r.agents[h.Announce.Self.Name] = agentState{announce: h.Announce, lastHeard: r.opts.Clock.Now()}
	}
	if c, ok := e.in.(place.Cancelled); ok {
		if _, live := r.waiters[c.ID]; !live {
			return
		}
	}
	r.step(ctx, wg, e.in)
}

// configure compiles the current configuration and passes it to the core.
func (r *Router) configure(ctx context.Context, wg *sync.WaitGroup) {
	set, errs := rules.Compile(r.opts.View.Config())
	for _, err := range errs {
		r.opts.Log.Warn("invalid item of the configuration ignored", zap.Error(err))
	}
	r.step(ctx, wg, place.Configured{Rules: set})
}

// sendAsync calls f, which sends a message, in a goroutine of its own.
func (r *Router) sendAsync(ctx context.Context, wg *sync.WaitGroup, f func(context.Context) error) {
	wg.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, postTimeout)
		defer cancel()
		if err := f(ctx); err != nil {
			r.opts.Log.Debug("message not sent", zap.Error(err))
		}
	})
}

// step passes an input to the core and carries out the effects.
func (r *Router) step(ctx context.Context, wg *sync.WaitGroup, in place.Input) {
	for _, e := range r.core.Step(r.opts.Clock.Now(), in) {
		r.apply(ctx, wg, e)
	}
}

// apply carries out one effect. Network calls run in goroutines of their own.
func (r *Router) apply(ctx context.Context, wg *sync.WaitGroup, e place.Effect) {
	switch e := e.(type) {
	case place.Start:
		r.start(ctx, wg, e)
	case place.Cancel:
		meter.WastedMessages("cancelled").Inc()
		if cancel := r.calls[callKey{e.Agent, e.ID}]; cancel != nil {
			cancel()
		}
		r.sendAsync(ctx, wg, func(ctx context.Context) error { return r.node.PostPeer(ctx, e.Agent, wire.Cancel{ID: e.ID}) })
	case place.SendDemand:
		meter.WastedMessages("demand").Inc()
		r.queueDemand(ctx, wg, e.Agent, e.Demand)
	case place.ReturnGrant:
		meter.WastedMessages("stale").Inc()
		r.sendAsync(ctx, wg, func(ctx context.Context) error { return r.node.PostPeer(ctx, e.Agent, e.Return) })
	case place.Resolve:
		w := r.waiters[e.ID]
		delete(r.waiters, e.ID)
		w.reply <- e.Outcome
	}
}

// start sends a start to the agent, unless the guard forbids it, and passes the
// answer to the core.
func (r *Router) start(ctx context.Context, wg *sync.WaitGroup, e place.Start) {
	meter.Starts().Inc()
	switch e.Cause {
	case place.Refused:
		meter.WastedMessages("bounced").Inc()
	case place.Retry:
		meter.WastedMessages("retry").Inc()
	case place.Hedge:
		meter.WastedMessages("hedge").Inc()
	}
	w := r.waiters[e.Task.ID]
	to := r.agents[e.Agent].announce.Self
	m := wire.Start{Task: e.Task, Trace: spans.Inject(w.ctx), Grant: e.Grant, Incarnation: to.Incarnation}
	cctx, cancel := context.WithCancel(ctx)
	key := callKey{e.Agent, e.Task.ID}
	r.calls[key] = cancel
	wg.Go(func() {
		defer cancel()
		var in place.Input = place.Unanswered{Agent: e.Agent, ID: e.Task.ID, Unsent: true}
		if to.Name != "" && (w.guard == nil || w.guard(cctx, to)) {
			in = r.call(cctx, e.Agent, m)
		}
		r.send(event{in: in, call: key})
	})
}
