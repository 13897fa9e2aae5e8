package main

import (
	"github.com/gravitational/trace"

	"cyclamenrelay.example/events"
)

func init() {
	register("summary", "Summarize the ended jobs in the logs of entries", "Reads the logs of entries, and shows for each queue, "+
		"job width, entry and second how many jobs were complete, late, refused, failed or broken, and where their time went. "+
		"Example: relctl summary entry-*.log", func(a *app) any { return &summary{a: a} })
}

type summary struct {
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`

	a *app
}

// Execute implements flags.Commander.
func (c *summary) Execute([]string) error {
	all, err := c.a.readLogs(c.Args.Files)
	if err != nil {
		return err
	}
	s := events.Summarize(all)
	if len(s.Queues) == 0 {
		return trace.NotFound("no line in these logs shows the end of a job")
	}
	if c.a.opts.JSON {
		return c.a.print(s, nil)
	}
	return s.Write(c.a.out)
}
