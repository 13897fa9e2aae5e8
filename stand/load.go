package main

import (
	"io"
	"os"
	"strconv"
	"time"

	"cyclamenrelay.example/load"
	"cyclamenrelay.example/plan"
	"cyclamenrelay.example/units"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
)

func init() {
	register("load", "Send the load of a plan and measure how it is served", &loadCommand{})
	register("compare", "Print results of runs side by side", &compareCommand{})
}

type loadCommand struct {
	Plan        string         `long:"plan" required:"yes" description:"JSON file of the plan"`
	Run         string         `long:"run" description:"name of the run, by default made from the plan and the time"`
	Entries     []string       `long:"entry" required:"yes" description:"URL of an entry, may be repeated"`
	Metrics     []string       `long:"metrics" description:"URL of /metrics of an entry or agent, may be repeated"`
	StartLogs   []string       `long:"start-log" description:"start log of a target, may be repeated"`
	Load        float64        `long:"load" description:"load factor instead of the plan's"`
	Seed        *uint64        `long:"seed" description:"seed instead of the plan's"`
	NetworkTime *time.Duration `long:"network-time" description:"least network round trip instead of the plan's"`
	Timeout     time.Duration  `long:"timeout" default:"1m" description:"bound on one request"`
	Out         string         `long:"out" description:"prefix of the result files: .json, -ratio.svg, -goodput.svg"`
}

// Execute runs the plan and prints the result as a table.
func (c *loadCommand) Execute([]string) error {
	p, err := c.readPlan()
	if err != nil {
		return err
	}
	ctx, stop := untilSignal()
	defer stop()
	clock := clockwork.NewRealClock()
	if c.Run == "" {
		c.Run = p.Name + "-" + strconv.FormatInt(clock.Now().Unix(), 36)
	}
	o := load.Options{Run: c.Run, Entries: c.Entries, Metrics: c.Metrics, Timeout: c.Timeout, Clock: clock}
	if len(c.StartLogs) > 0 {
		o.StartLogs = func() ([]io.ReadCloser, error) { return openFiles(c.StartLogs) }
	}
	res, err := load.Run(ctx, p, o)
	if err != nil {
		return err
	}
	if err := load.WriteTable(os.Stdout, res); err != nil {
		return err
	}
	if c.Out != "" {
		if err := saveResult(res, c.Out); err != nil {
			return err
		}
	}
	if res.Truth != nil && res.Truth.Violated() {
		return trace.CompareFailed("a guarantee to callers was violated: %+v", *res.Truth)
	}
	return nil
}

func (c *loadCommand) readPlan() (plan.Plan, error) {
	f, err := os.Open(c.Plan)
	if err != nil {
		return plan.Plan{}, trace.ConvertSystemError(err)
	}
	defer func() { _ = f.Close() }()
	p, err := plan.Read(f)
	if err != nil {
		return plan.Plan{}, err
	}
	if c.Load > 0 {
		p = p.WithLoad(c.Load)
	}
	if c.Seed != nil {
		p.Seed = *c.Seed
	}
	if c.NetworkTime != nil {
		p.NetworkTime = units.Duration(*c.NetworkTime)
	}
	return p, p.Check()
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

func saveResult(res load.Result, prefix string) error {
	f, err := os.Create(prefix + ".json")
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	if err := res.Write(f); err != nil {
		_ = f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return trace.ConvertSystemError(err)
	}
	if err := res.PlotRatio(prefix + "-ratio.svg"); err != nil {
		return err
	}
	return res.PlotGoodput(prefix + "-goodput.svg")
}

type compareCommand struct {
	Args struct {
		Results []string `positional-arg-name:"RESULT" required:"1" description:"JSON file of a result"`
	} `positional-args:"yes"`
}

// Execute prints the results side by side.
func (c *compareCommand) Execute([]string) error {
	files, err := openFiles(c.Args.Results)
	if err != nil {
		return err
	}
	var results []load.Result
	for _, f := range files {
		r, err := load.ReadResult(f)
		_ = f.Close()
		if err != nil {
			return err
		}
		results = append(results, r)
	}
	return load.WriteTable(os.Stdout, results...)
}
