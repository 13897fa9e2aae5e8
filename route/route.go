// Package route carries tasks from an entry to the agents and their answers back.
package route

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"cyclamenrelay.example/kernel"
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/label"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/member"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/spans"
	"cyclamenrelay.example/spread"
	"cyclamenrelay.example/wire"
)

// ServiceName is the name that other services find the router by.
const ServiceName = "route"

// Options configure a Router.
type Options struct {
	Clock clockwork.Clock
	Log   *zap.Logger
	View  *spread.View
}

// Router places tasks on agents.
type Router struct {
	opts   Options
	node   *link.Node
	finder *member.Finder
	agents *agents
}

// New returns a router that knows no agents yet.
func New(opts Options) *Router { return &Router{opts: opts, agents: newAgents(opts.Clock)} }

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
	link.On(r.node.Mux(), r.announce, keys.Agent)
	return nil
}

// Run implements kernel.Service.
func (r *Router) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

func (r *Router) announce(_ context.Context, p link.Peer, m wire.Announce) wire.Message {
	if m.Self.Name != p.Name {
		return wire.Refused{Reason: "the announced name is not the certificate's"}
	}
	r.agents.heard(m)
	return wire.Announced{Config: r.opts.View.Update(m.Version)}
}

// Do runs the task on some target and returns its one outcome.
func (r *Router) Do(ctx context.Context, t model.Task) model.Outcome {
	sel, err := label.Parse(t.Selector)
	if err != nil {
		return model.NotRun{Code: model.CodeInvalid, Reason: err.Error()}
	}
	rule := classify(r.opts.View.Config(), t)
	var fit []wire.Announce
	for _, a := range r.agents.live() {
		if a.Target != nil && !a.Self.Leaving && sel.Matches(a.Target.Labels) && rule.Matches(a.Target.Labels) {
			fit = append(fit, a)
		}
	}
	if len(fit) == 0 {
		return model.NotRun{Code: model.CodeNoTarget, Reason: "no target matches", RetryAfter: time.Second}
	}
	return r.send(ctx, fit[rand.IntN(len(fit))], t)
}

func (r *Router) send(ctx context.Context, to wire.Announce, t model.Task) model.Outcome {
	ctx, cancel := context.WithTimeout(ctx, t.TimeLeft)
	defer cancel()
	m, err := r.node.Call(ctx, link.To{Address: to.Self.Address, Role: keys.Agent}, wire.Start{Task: t, Trace: spans.Inject(ctx)})
	if err != nil {
		if link.NotSent(err) {
			return model.NotRun{Code: model.CodeNoTarget, Reason: "the agent cannot be reached"}
		}
		return model.Failed{Reason: "no answer from the agent: " + err.Error(), MayHaveRun: true}
	}
	return outcome(t, m)
}

// outcome checks that the answer is whole and belongs to the task.
func outcome(t model.Task, m wire.Message) model.Outcome {
	res, ok := m.(wire.Result)
	if !ok {
		if ref, is := m.(wire.Refused); is {
			return model.NotRun{Code: model.CodeInvalid, Reason: ref.Reason}
		}
		return model.Failed{Reason: "unexpected answer", MayHaveRun: true}
	}
	switch {
	case res.ID != t.ID:
		return model.Failed{Reason: "answer to another task", MayHaveRun: true}
	case res.Complete != nil && xxhash.Sum64(res.Complete.Body) != res.Digest:
		return model.Failed{Reason: "the answer is damaged", MayHaveRun: true}
	case res.Complete != nil:
		return *res.Complete
	case res.Failed != nil:
		return *res.Failed
	case res.NotRun != nil:
		return *res.NotRun
	}
	return model.Failed{Reason: "empty answer", MayHaveRun: true}
}
