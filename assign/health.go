package assign

import (
	"time"

	"cyclamenrelay.example/batch"
)

const (
	// missesTolerated is how many bad ends in a row a target may have before it
	// counts as unhealthy: tasks fail of their own fault too.
	missesTolerated = 2
	// probationMin and probationMax bound how long an unhealthy target is
	// avoided; the time doubles with each further bad end.
	probationMin = 250 * time.Millisecond
	probationMax = 4 * time.Second
	// unhealthyCost is the cost of an unhealthy target in runs of the task.
	unhealthyCost = 20
)

// health judges a target by the ends of what it ran.
type health struct {
	bad   int // bad ends in a row
	until time.Time
}

// Ended judges the agent's target by the end of a run there. A run that was
// stopped for being slow is a bad end, one that its caller gave up is none.
func (f *Fleet) Ended(agent string, e batch.End, now time.Time) {
	h := f.hosts[agent]
	if h == nil {
		return
	}
	switch e {
	case batch.Done:
		h.health = health{}
	case batch.Failed, batch.Stopped, batch.Lost:
		h.health.bad++
		if over := h.health.bad - missesTolerated; over >= 0 {
			h.health.until = now.Add(min(probationMin<<min(over, 10), probationMax))
		}
	case batch.NotStarted:
		// The next report says whether the target takes work.
	}
}

func (h health) cost(now time.Time, estimate time.Duration) time.Duration {
	if h.bad < missesTolerated || now.After(h.until) {
		return 0
	}
	return unhealthyCost * estimate
}
