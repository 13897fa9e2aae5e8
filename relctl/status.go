package main

import (
	"fmt"
	"io"

	"cyclamenrelay.example/admin"
)

func init() {
	register("status", "Show what is wrong", "Shows the deployment as one entry sees it, with what is wrong and what to do, "+
		"the severe first. Example: relctl status --server https://10.1.0.8:8443",
		func(a *app) any { return &status{a: a} })
}

type status struct{ a *app }

// Execute implements flags.Commander.
func (c *status) Execute([]string) error {
	var s admin.Status
	if err := c.a.get("/v1/status", nil, &s); err != nil {
		return err
	}
	return c.a.print(s, func(w io.Writer) { statusScreen(w, s) })
}

func statusScreen(w io.Writer, s admin.Status) {
	fresh := "fresh"
	if !s.Fresh {
		fresh = "NOT FRESH"
	}
	nodes := func(c admin.NodeCounts) string { return fmt.Sprintf("%d of %d up", c.Up, c.Known) }
	t, q := s.Targets, s.Queue
	row(w, "entry", s.Entry+" in "+s.DataCentre)
	row(w, "configuration", fmt.Sprintf("version %d, %s, confirmed %v ago", s.Version, fresh, s.Age))
	row(w, "keepers", nodes(s.Keepers))
	row(w, "entries", nodes(s.Entries))
	row(w, "agents", nodes(s.Agents))
	row(w, "targets", fmt.Sprintf("%d up, %d draining, %d on probation, %d lost", t.Up, t.Draining, t.Probation, t.Lost))
	row(w, "slots", fmt.Sprintf("%d, %d free", t.Slots, t.Free))
	row(w, "queue here", fmt.Sprintf("%d tasks, the oldest for %v; %d refused in the last minute", q.Tasks, q.Oldest, q.Refused))
	row(w, "jobs here", q.Jobs)
	row(w)
	if len(s.Problems) == 0 {
		row(w, "No problems.")
	}
	for _, p := range s.Problems {
		mark := "warning"
		if p.Severe {
			mark = "SEVERE"
		}
		row(w, mark, p.What)
		row(w, "", "-> "+p.Do)
	}
}
