package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"cyclamenrelay.example/launch"
	"cyclamenrelay.example/layout"
	"cyclamenrelay.example/load"
	"cyclamenrelay.example/ltest"
	"cyclamenrelay.example/units"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
)

func init() {
	register("lab", "Start a firm's whole deployment, run a plan against it and stop it", &lab{})
}

// delayBetweenDataCentres is the one-way network delay between the data centres
// of a firm, delayToCallers that between entries and callers.
var delayBetweenDataCentres = map[string]time.Duration{"tengri": 1500 * time.Microsecond, "cascade": 500 * time.Microsecond}

const delayToCallers = 3 * time.Millisecond

type lab struct {
	Firm        string        `long:"firm" required:"yes" choice:"tengri" choice:"cascade" description:"whose deployment and distances"`
	Plan        string        `long:"plan" description:"JSON file of the plan, by default plans/FIRM.json"`
	Load        float64       `long:"load" description:"load factor instead of the plan's"`
	Length      time.Duration `long:"length" description:"length of the whole plan, which scales its phases"`
	Policy      string        `long:"policy" default:"joinIdle" description:"placement policy"`
	Seed        uint64        `long:"seed" default:"1" description:"seed of the plan and of the faults"`
	NoRules     bool          `long:"no-rules" description:"give the kinds no rules of their own"`
	Hedge       float64       `long:"hedge" description:"quantile of run time after which work is hedged"`
	RetryBudget float64       `long:"retry-budget" description:"retries and hedges a start"`
	Events      []string      `long:"event" description:"what happens to targets, such as 5s:kill:1-3, may be repeated"`
	TargetArgs  []string      `long:"target-arg" description:"argument of all targets, may be repeated"`
	Timeout     time.Duration `long:"timeout" default:"1m" description:"bound on one request"`
	Programs    string        `long:"programs" default:"bin" description:"folder of relayd and stand"`
	Folder      string        `long:"folder" description:"folder that keeps the deployment's files, by default a temporary one"`
	Profile     string        `long:"profile" description:"prefix of CPU profiles of the first entry and agent"`
	Out         string        `long:"out" description:"prefix of the result files: .json, -ratio.svg, -goodput.svg, -report.json"`
}

// Execute runs the plan against a new deployment and prints the result as a table.
func (c *lab) Execute([]string) error {
	o, err := c.options()
	if err != nil {
		return err
	}
	if c.Folder == "" {
		if c.Folder, err = os.MkdirTemp("", "lab"); err != nil {
			return trace.ConvertSystemError(err)
		}
		defer func() { _ = os.RemoveAll(c.Folder) }()
	}
	o.Deploy.Folder = c.Folder
	ctx, stop := untilSignal()
	defer stop()
	if c.Profile != "" {
		o.Profiles = true
		o.OnStart = func(d *launch.Deployment) { c.saveProfiles(ctx, d) }
	}
	rep, err := ltest.Run(ctx, o)
	if err != nil {
		return err
	}
	if err := c.printReport(rep); err != nil {
		return err
	}
	if c.Out != "" {
		if err := c.saveReport(rep); err != nil {
			return err
		}
	}
	if t := rep.Result.Truth; t != nil && t.Violated() {
		return trace.CompareFailed("a guarantee to callers was violated: %+v", *t)
	}
	return nil
}

func (c *lab) options() (ltest.Options, error) {
	if c.Plan == "" {
		c.Plan = filepath.Join("plans", c.Firm+".json")
	}
	loadCmd := loadCommand{Plan: c.Plan, Load: c.Load, Seed: &c.Seed}
	p, err := loadCmd.readPlan()
	if err != nil {
		return ltest.Options{}, err
	}
	if c.Length > 0 {
		factor := c.Length.Seconds() / p.Length().Seconds()
		for i := range p.Phases {
			p.Phases[i].Length = units.Duration(float64(p.Phases[i].Length) * factor)
		}
	}
	b, err := os.ReadFile(filepath.Join("deploy", c.Firm, layout.SpecFile))
	if err != nil {
		return ltest.Options{}, trace.ConvertSystemError(err)
	}
	spec, err := layout.ParseSpec(b)
	if err != nil {
		return ltest.Options{}, err
	}
	if spec.Port, err = launch.FreePorts(len(spec.DataCentres) + spec.Entries + spec.Workers); err != nil {
		return ltest.Options{}, err
	}
	o := ltest.Options{
		Deploy: launch.Options{
			Spec: spec, Programs: c.Programs, DataCentreDelay: delayBetweenDataCentres[c.Firm], CallerDelay: delayToCallers, TargetArgs: c.TargetArgs, Seed: c.Seed,
		},
		Plan: p, Policy: c.Policy, RulePerKind: !c.NoRules, Hedge: c.Hedge, RetryBudget: c.RetryBudget,
		Timeout: c.Timeout, Clock: clockwork.NewRealClock(),
	}
	for _, s := range c.Events {
		e, err := ltest.ParseEvent(s)
		if err != nil {
			return o, err
		}
		o.Events = append(o.Events, e)
	}
	return o, nil
}

func (c *lab) printReport(rep ltest.Report) error {
	if err := load.WriteTable(os.Stdout, rep.Result); err != nil {
		return err
	}
	loadAverages, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	starts := max(rep.Entries.Starts, 1)
	fmt.Printf("policy %s, load average of the machine %s\n", c.Policy, strings.Join(strings.Fields(string(loadAverages))[:2], " "))
	for _, n := range []struct {
		name string
		cost ltest.Cost
	}{{"entries", rep.Entries}, {"agents", rep.Agents}} {
		fmt.Printf("%s: %.1f s CPU, %.0f µs and %.0f allocations a start, at most %.0f MB\n", n.name, n.cost.CPU,
			n.cost.CPU*1e6/starts, n.cost.Mallocs/starts, n.cost.Peak/(1<<20))
	}
	return nil
}

func (c *lab) saveReport(rep ltest.Report) error {
	if err := saveResult(rep.Result, c.Out); err != nil {
		return err
	}
	rep.Result = load.Result{}
	b, err := json.MarshalIndent(rep, "", " ")
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.ConvertSystemError(os.WriteFile(c.Out+"-report.json", b, 0o644))
}
