// Package ltest runs a load test: it starts a whole deployment, sends the load of
// a plan, injects faults meanwhile, and reports response times and resource costs.
package ltest

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
	ruleSpreadWait = time.Second // wait for the rules to reach all nodes
	changeTries    = 10
	changeLimit    = 2 * time.Second
	startTimeout   = 30 * time.Second
)

// Options describe one load test.
type Options struct {
	Deploy launch.Options
	Plan   plan.Plan
	Policy string
	// RulePerKind gives each kind a rule of its own with weight 1, so that the kinds
	// share the slots.
	RulePerKind bool
	// Hedge and RetryBudget are set in the rules.
	Hedge       float64
	RetryBudget float64
	Events      []Event
	Profiles    bool
	// Timeout is the time limit of one request of a caller.
	Timeout time.Duration
	Clock   clockwork.Clock
	// OnStart is called before the load begins, nil for none.
	OnStart func(*launch.Deployment)
}

// Report is the result of a load test.
type Report struct {
	Result load.Result
	Policy string  `json:"policy"`
	Events []Event `json:"events,omitempty"`
	// Entries and Agents are the resource costs of all entries and all agents.
	Entries Cost `json:"entries"`
	Agents  Cost `json:"agents"`
	// Starts counts the starts at each target in each second of the run.
	Starts map[string][]int64 `json:"starts"`
}

// Run starts a deployment, runs the plan against it and stops it.
func Run(ctx context.Context, o Options) (Report, error) {
	o.Deploy.Clock = o.Clock
	o.Deploy.ChangeSettings = o.adaptSettings
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	d, err := launch.Start(starting, o.Deploy)
	defer d.Stop()
	if err != nil {
		return Report{}, trace.Wrap(err)
	}
	if o.RulePerKind {
		if err := o.setRules(starting, d); err != nil {
			return Report{}, trace.Wrap(err)
		}
	}
	o.Clock.Sleep(ruleSpreadWait)
	if o.OnStart != nil {
		o.OnStart(d)
	}
	return o.measure(ctx, d)
}

func (o Options) adaptSettings(s conf.Settings) conf.Settings {
	s.Entry.Policy, s.Agent.Policy, s.Metrics.Profiles = o.Policy, o.Policy, o.Profiles
	return s
}

func (o Options) measure(ctx context.Context, d *launch.Deployment) (Report, error) {
	rep := Report{Policy: o.Policy, Events: o.Events}
	entries, agents := d.MetricsURLs(keys.Entry), d.MetricsURLs(keys.Agent)
	entriesBefore, agentsBefore := readCost(ctx, entries), readCost(ctx, agents)
	began := o.Clock.Now()
	running, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	var eventErr error
	wg.Go(func() { eventErr = o.injectEvents(running, d, began) })
	alive := o.survivingAgentMetrics(d)
	res, err := load.Run(ctx, o.Plan, load.Options{
		Run: o.Plan.Name + "-" + uuid.NewString()[:8], Entries: d.EntryURLs(), Metrics: append(entries, alive...),
		StartLogs: func() ([]io.ReadCloser, error) { return openFiles(d.StartLogs()) },
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
	rep.Entries = readCost(ctx, entries).minus(entriesBefore)
	rep.Agents = readCost(ctx, agents).minus(agentsBefore)
	rep.Starts, err = startsBySecond(d.StartLogs(), began)
	return rep, trace.Wrap(err)
}

// survivingAgentMetrics returns the metrics URLs of the agents, or none when
// there are events, which may stop agents.
func (o Options) survivingAgentMetrics(d *launch.Deployment) []string {
	if len(o.Events) > 0 {
		return nil
	}
	return d.MetricsURLs(keys.Agent)
}

// setRules gives each kind of the plan a rule of weight 1.
func (o Options) setRules(ctx context.Context, d *launch.Deployment) error {
	c, err := d.Client(d.OperatorURLs()...)
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

func openFiles(names []string) ([]io.ReadCloser, error) {
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
