// Command scale measures on one machine how the system's costs (processor time,
// memory, traffic) grow with its size: for the decision cores and state machines
// in isolation, and for real processes with simulated targets. It prints each
// series of measurements with its linear fit.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"
)

type options struct {
	Relayd string   `long:"relayd" default:"bin/relayd" description:"program of the daemon"`
	Parts  []string `long:"part" description:"cores, state, agents, jobs, entries, groups; all by default"`
	Agents []int    `long:"agents" default:"10" default:"50" default:"100" default:"200" description:"numbers of agents"`
	JSON   string   `long:"json" description:"file for the result as JSON"`
}

// measurer is one part of the measurement.
type measurer struct {
	name string
	run  func(context.Context, options, *report) error
}

var measurers = []measurer{
	{"cores", measureCores},
	{"state", measureState},
	{"agents", measureAgents},
	{"jobs", measureJobs},
	{"entries", measureEntries},
	{"groups", measureGroups},
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(1)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := run(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, trace.DebugReport(err))
		os.Exit(1)
	}
}

func run(ctx context.Context, o options) (err error) {
	if o.Relayd, err = filepath.Abs(o.Relayd); err != nil {
		return trace.Wrap(err)
	}
	r := &report{LoadBefore: loadAverage()}
	var failed []error
	for _, m := range measurers {
		if len(o.Parts) > 0 && !slices.Contains(o.Parts, m.name) {
			continue
		}
		if err := m.run(ctx, o, r); err != nil {
			failed = append(failed, trace.Wrap(err, "part %s", m.name))
		}
	}
	r.LoadAfter = loadAverage()
	r.fit()
	if o.JSON != "" {
		f, err := os.Create(o.JSON)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		defer func() { _ = f.Close() }()
		if err := r.writeJSON(f); err != nil {
			return err
		}
	}
	return trace.NewAggregate(append(failed, r.writeTable(os.Stdout))...)
}

func loadAverage() string {
	b, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	first, _, _ := strings.Cut(string(b), " ")
	return first
}
