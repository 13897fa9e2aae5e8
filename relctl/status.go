package main

import (
	"fmt"
	"io"
	"time"

	"cyclamenrelay.example/admin"
)

func init() {
	register("status", "Show the deployment's health", "Shows the deployment as one entry sees it, with its problems and what to do "+
		"about them, the severe ones first. Example: relctl status --server https://10.1.0.8:8443",
		func(a *app) any { return &status{a: a} })
}

type status struct{ a *app }

// Execute implements flags.Commander.
func (c *status) Execute([]string) error {
	var s admin.Status
	if err := c.a.get("/v1/status", nil, &s); err != nil {
		return err
	}
	return c.a.print(s, func(w io.Writer) { statusTable(w, s) })
}

func statusTable(w io.Writer, s admin.Status) {
	fresh := "fresh"
	if !s.Fresh {
		fresh = "NOT FRESH"
	}
	formatCounts := func(c admin.NodeCounts) string { return fmt.Sprintf("%d of %d up", c.Up, c.Known) }
	t, q := s.Targets, s.Queue
	row(w, "entry", s.Entry+" in "+s.DataCentre)
	row(w, "configuration", fmt.Sprintf("version %d, %s, confirmed %v ago", s.Version, fresh, s.Age))
	row(w, "keepers", formatCounts(s.Keepers))
	row(w, "entries", formatCounts(s.Entries))
	row(w, "agents", formatCounts(s.Agents))
	row(w, "targets", fmt.Sprintf("%d up, %d draining, %d on probation, %d lost", t.Up, t.Draining, t.Probation, t.Lost))
	row(w, "slots", fmt.Sprintf("%d, %d free", t.Slots, t.Free))
	row(w, "queue here", fmt.Sprintf("%d tasks, the oldest for %v; %d refused in the last minute", q.Tasks, q.Oldest, q.Refused))
	row(w, "jobs here", q.Jobs)
	for _, e := range s.Evacuations {
		row(w, "evacuated", fmt.Sprintf("%s since version %d, requested by %s from %s at %s",
			e.DataCentre, e.Version, e.Operator, e.Address, e.Requested.Format(time.RFC3339)))
	}
	row(w)
	if len(s.Problems) == 0 {
		row(w, "No problems.")
	}
	for _, p := range s.Problems {
		severity := "warning"
		if p.Severe {
			severity = "SEVERE"
		}
		row(w, severity, p.Description)
		row(w, "", "-> "+p.Remedy)
	}
}
