// Package trial runs a plan of load against a whole deployment, injects faults
// meanwhile, and reports how it was served and what it cost.
package trial

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"sync"
	"time"

	"cyclamenrelay.example/admin"
	"cyclamenrelay.example/conf"
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/launch"
	"cyclamenrelay.example/load"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/plan"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
)

const (
	settle      = time.Second // for the rules to reach all nodes
	changeTries = 10
	changeLimit = 2 * time.Second
	startLimit  = 30 * time.Second
)

// Options describe one trial.
type Options struct {
	Deploy launch.Options
	Plan   plan.Plan
	Policy string
	// Rules gives each kind a rule of its own, so that kinds share the slots.
	Rules bool
	// Hedge and RetryBudget are set in the rules.
	Hedge       float64
	RetryBudget float64
	Events      []Event
	Profiles    bool
	// Timeout bounds one request of a caller.
	Timeout time.Duration
	Clock   clockwork.Clock
	// Started is told when the load begins, nil for nobody.
	Started func(*launch.Deployment)
}

// Report is what a trial measured.
type Report struct {
	Result load.Result
	Policy string  `json:"policy"`
	Events []Event `json:"events,omitempty"`
	// Entries and Agents are the costs of the nodes with the role.
	Entries Cost `json:"entries"`
	Agents  Cost `json:"agents"`
	// Starts are the starts at each target by the second of the run.
	Starts map[string][]int64 `json:"starts"`
}

// Run starts a deployment, runs the plan against it and stops it.
func Run(ctx context.Context, o Options) (Report, error) {
	o.Deploy.Clock = o.Clock
	o.Deploy.Adapt = o.adapt
	starting, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	r, err := launch.Start(starting, o.Deploy)
	defer r.Stop()
	if err != nil {
		return Report{}, trace.Wrap(err)
	}
	if o.Rules {
		if err := o.rules(starting, r); err != nil {
			return Report{}, trace.Wrap(err)
		}
	}
	o.Clock.Sleep(settle)
	if o.Started != nil {
		o.Started(r)
	}
	return o.measure(ctx, r)
}

func (o Options) adapt(s conf.Settings) conf.Settings {
	s.Entry.Policy, s.Agent.Policy, s.Metrics.Profiles = o.Policy, o.Policy, o.Profiles
	return s
}

func (o Options) measure(ctx context.Context, r *launch.Deployment) (Report, error) {
	rep := Report{Policy: o.Policy, Events: o.Events}
	entries, agents := r.MetricsURLs(keys.Entry), r.MetricsURLs(keys.Agent)
	entriesBefore, agentsBefore := readCost(ctx, entries), readCost(ctx, agents)
	began := o.Clock.Now()
	running, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	var eventErr error
	wg.Go(func() { eventErr = o.inject(running, r, began) })
	alive := o.alive(r)
	res, err := load.Run(ctx, o.Plan, load.Options{
		Run: o.Plan.Name + "-" + uuid.NewString()[:8], Entries: r.EntryURLs(), Metrics: append(entries, alive...),
		StartLogs: func() ([]io.ReadCloser, error) { return open(r.StartLogs()) },
		Timeout:   o.Timeout, Clock: o.Clock,
	})
	stop()
	wg.Wait()
	if err != nil {
		return rep, trace.Wrap(err)
	}
	if eventErr != nil {
		return rep, trace.Wrap(eventErr)
	}
	rep.Result = res
	rep.Entries = readCost(ctx, entries).since(entriesBefore)
	rep.Agents = readCost(ctx, agents).since(agentsBefore)
	rep.Starts, err = startsBySecond(r.StartLogs(), began)
	return rep, trace.Wrap(err)
}

// alive returns the metrics of the agents that no event stops.
func (o Options) alive(r *launch.Deployment) []string {
	if len(o.Events) > 0 {
		return nil
	}
	return r.MetricsURLs(keys.Agent)
}

// rules gives each kind of the plan a rule of weight 1.
func (o Options) rules(ctx context.Context, r *launch.Deployment) error {
	c, err := r.Client(r.OperatorURLs()...)
	if err != nil {
		return err
	}
	for _, k := range o.Plan.Kinds {
		v, err := json.Marshal(model.Rule{Work: "kind=" + k.Name, Weight: 1, Hedge: o.Hedge, RetryBudget: o.RetryBudget})
		if err != nil {
			return trace.Wrap(err)
		}
		change := admin.ChangeRequest{ID: uuid.NewString(), Section: model.SectionRule, Name: k.Name, Value: v}
		if _, err := c.Change(ctx, change); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func open(names []string) ([]io.ReadCloser, error) {
	var out []io.ReadCloser
	for _, name := range names {
		f, err := os.Open(name)
		if err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		out = append(out, f)
	}
	return out, nil
}
