package assign

import (
	"time"

	"cyclamenrelay.example/batch"
)

const (
	// badLimit is how many bad ends, each counting less with every good one after
	// it, make a target unhealthy. One may be the task's own fault, as for 0.2 % of
	// the users' tasks; a target that fails a third of its runs exceeds it soon.
	badLimit = 1.7
	// badMax bounds the count, so that a target which is well again shows it soon.
	badMax = 3
	// badKept is what a good end leaves of the bad ones before it.
	badKept = 0.9
	// wellBelow is the count below which a target has been well for some time.
	wellBelow = 0.5
	// probationMin and probationMax bound how long an unhealthy target is
	// avoided; the time doubles while it does not get well between.
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
	bad   float64 // bad ends, older ones less
	until time.Time
	trips int // how often it became unhealthy without getting well between
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
		if h.health.bad *= badKept; h.health.bad < wellBelow {
			h.health.trips = 0
		}
	case batch.Failed, batch.Stopped, batch.Lost:
		h.health.bad = min(h.health.bad+1, badMax)
		// What was under way when the target became unhealthy says nothing new.
		if h.health.bad >= badLimit && now.After(h.health.until) {
			h.health.until = now.Add(min(probationMin<<min(h.health.trips, 10), probationMax))
			h.health.trips++
		}
	case batch.NotStarted, batch.Unanswered:
		// The next report says whether the target takes work.
	}
}

// healthCost returns what an unhealthy target costs. When its time is up, it
// gets one task of this entry, until it has shown that it is well: an idle
// target that fails whatever it gets would attract all work.
func (h *Host) healthCost(now time.Time, estimate time.Duration) time.Duration {
	if h.health.bad < badLimit || now.After(h.health.until) && h.own == (batch.Resources{}) {
		return 0
	}
	return unhealthyCost * estimate
}
