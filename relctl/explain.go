package main

import (
	"time"

	"github.com/gravitational/trace"

	"cyclamenrelay.example/events"
)

func init() {
	register("explain", "Show the log lines of a request", "Reads the logs of processes, and shows the "+
		"lines of a request or job in order of time, and the other events of the nodes that took part, at about that time. "+
		"Example: relctl explain 23da77c5812f78b7 entry-*.log agent-*.log", func(a *app) any { return &explain{a: a} })
}

type explain struct {
	Margin time.Duration `long:"margin" value-name:"TIME" default:"2s" description:"how long before and after the request other events of its nodes are shown"`
	Args   struct {
		ID    string   `positional-arg-name:"ID" required:"yes"`
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`

	a *app
}

// Execute implements flags.Commander.
func (c *explain) Execute([]string) error {
	all, err := c.a.readLogs(c.Args.Files)
	if err != nil {
		return err
	}
	s := events.ForRequest(c.Args.ID, all, c.Margin)
	if len(s.Lines) == 0 {
		return trace.NotFound("no line in these logs belongs to %s", c.Args.ID)
	}
	if c.a.opts.JSON {
		return c.a.print(s, nil)
	}
	return s.Write(c.a.out)
}

// readLogs reads the events in log files, and notes how many lines were skipped.
func (a *app) readLogs(files []string) ([]events.Event, error) {
	return events.ReadFiles(files, func(name string, n int) {
		a.printNote("%s: skipped %d lines that are not log events", name, n)
	})
}
