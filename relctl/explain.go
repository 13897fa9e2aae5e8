package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/gravitational/trace"

	"cyclamenrelay.example/events"
)

func init() {
	register("explain", "Show what the logs say of a request", "Reads the logs of processes, files or standard input, and shows the "+
		"lines of a request or job in the order of time, and what happened meanwhile on the nodes that took part. "+
		"Example: relctl explain 23da77c5812f78b7 entry-*.log agent-*.log", func(a *app) any { return &explain{a: a} })
}

type explain struct {
	Margin time.Duration `long:"margin" value-name:"TIME" default:"2s" description:"how long before and after the request to look for other events of its nodes"`
	Args   struct {
		ID    string   `positional-arg-name:"ID" required:"yes"`
		Files []string `positional-arg-name:"FILE"`
	} `positional-args:"yes"`

	a *app
}

// Execute implements flags.Commander.
func (c *explain) Execute([]string) error {
	all, err := c.read()
	if err != nil {
		return err
	}
	s := events.Of(c.Args.ID, all, c.Margin)
	if len(s.Lines) == 0 {
		return trace.NotFound("no line of these logs is of %s", c.Args.ID)
	}
	return c.a.print(s, func(w io.Writer) {
		eventLines(w, c.Args.ID, s.Lines)
		if len(s.Around) > 0 {
			row(w)
			eventLines(w, "meanwhile on these nodes", s.Around)
		}
	})
}

func (c *explain) read() (all []events.Event, err error) {
	if len(c.Args.Files) == 0 {
		return c.from("standard input", os.Stdin)
	}
	for _, name := range c.Args.Files {
		f, err := os.Open(name)
		if err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		list, err := c.from(name, f)
		_ = f.Close() // was only read
		if err != nil {
			return nil, err
		}
		all = append(all, list...)
	}
	return all, nil
}

func (c *explain) from(name string, r io.Reader) ([]events.Event, error) {
	list, unread, err := events.Read(r)
	if err != nil {
		return nil, trace.Wrap(err, "reading %s", name)
	}
	if unread > 0 {
		_, _ = fmt.Fprintf(c.a.err, "%s: %d lines are no events and were passed over\n", name, unread)
	}
	return list, nil
}

func eventLines(w io.Writer, title string, list []events.Event) {
	row(w, title)
	for _, e := range list {
		row(w, indent+e.Text)
	}
}
