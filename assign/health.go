package assign

import (
	"time"

	"cyclamenrelay.example/batch"
)

const (
	// missesTolerated is how many bad ends in a row make a target unhealthy: one
	// may be the task's own fault, as for 0.2 % of the users' tasks.
	missesTolerated = 2
	// probationMin and probationMax bound how long an unhealthy target is
	// avoided; the time doubles with each further bad end.
	probationMin = 250 * time.Millisecond
	probationMax = 4 * time.Second
	// unhealthyCost is the cost of an unhealthy target in runs of the task: more
	// than any wait that admission allows.
	unhealthyCost = 20
)

const (
	// speedWeight is the weight of one more run in a target's slowness, 1/speedWeight.
	speedWeight = 16
	// fastest and slowest bound the ratio to the estimate that one run may show,
	// so that one straggler does not condemn its target.
	fastest, slowest = 0.5, 4
)

// health judges a target by the ends of what it ran.
type health struct {
	bad   int // bad ends in a row
	until time.Time
	// excess is how much longer than estimated the target's runs take, as a part.
	excess float64
}

// slowed returns how long a run takes on the target, given the estimate for any.
func (h health) slowed(estimate time.Duration) time.Duration {
	return time.Duration(float64(estimate) * (1 + h.excess))
}

// Ran takes the run time of a task that was done on the agent's target.
func (f *Fleet) Ran(agent string, took, estimate time.Duration) {
	h := f.hosts[agent]
	if h == nil || estimate <= 0 {
		return
	}
	ratio := min(max(float64(took)/float64(estimate), fastest), slowest)
	h.health.excess += (ratio - 1 - h.health.excess) / speedWeight
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
		h.health.bad = 0
	case batch.Failed, batch.Stopped, batch.Lost:
		h.health.bad++
		if over := h.health.bad - missesTolerated; over >= 0 {
			h.health.until = now.Add(min(probationMin<<min(over, 10), probationMax))
		}
	case batch.NotStarted, batch.Unanswered:
		// The next report says whether the target takes work.
	}
}

func (h health) cost(now time.Time, estimate time.Duration) time.Duration {
	if h.bad < missesTolerated || now.After(h.until) {
		return 0
	}
	return unhealthyCost * estimate
}
