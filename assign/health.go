package assign

import (
	"time"

	"cyclamenrelay.example/batch"
)

const (
	// unhealthyScore is the failure score from which a target is unhealthy. Each failed
	// run adds 1 to the score, and each success reduces it. A single failure may be the
	// task's own fault, as for 0.2 % of the users' tasks; a target that fails a third
	// of its runs soon reaches the limit.
	unhealthyScore = 1.7
	// maxScore bounds the failure score, so that a recovered target soon counts as
	// healthy.
	maxScore = 3
	// scoreDecay is the factor by which a success reduces the failure score.
	scoreDecay = 0.9
	// recoveredScore is the failure score below which a target has recovered, so that its
	// next probation is short again.
	recoveredScore = 0.5
	// probationMin and probationMax bound how long an unhealthy target is avoided. The
	// time doubles each time, until the target has recovered.
	probationMin = 250 * time.Millisecond
	probationMax = 4 * time.Second
	// unhealthyCost is the placement cost of an unhealthy target as a multiple of the
	// task's estimate: more than any wait that admission permits.
	unhealthyCost = 20
)

const (
	// excessWindow is the inverse weight of a new run in the moving average of a target's
	// slowness.
	excessWindow = 16
	// minRatio and maxRatio bound the ratio of run time to estimate of a single run, so
	// that one straggler does not make its target look slow.
	minRatio, maxRatio = 0.5, 4
)

// health is the state of a target by the results of the runs that this entry sent there.
type health struct {
	score        float64   // failure score: failed runs, reduced by each success
	probationEnd time.Time // end of the probation
	probations   int       // probations since the target was last healthy
	// excess is the mean excess of the target's run times over their estimates, as a
	// fraction of the estimate.
	excess float64
}

// expectedRun returns the expected run time on the target, given the estimate for any
// target.
func (h health) expectedRun(estimate time.Duration) time.Duration {
	return time.Duration(float64(estimate) * (1 + h.excess))
}

// RecordRunTime records the run time of a task that was done on the agent's target.
func (f *Fleet) RecordRunTime(agent string, took, estimate time.Duration) {
	h := f.targets[agent]
	if h == nil || estimate <= 0 {
		return
	}
	ratio := min(max(float64(took)/float64(estimate), minRatio), maxRatio)
	h.health.excess += (ratio - 1 - h.health.excess) / excessWindow
}

// RecordEnd updates the health of the agent's target by the end of a run there. Stopped runs
// count as failures, since they are stopped for being slow.
func (f *Fleet) RecordEnd(agent string, e batch.End, now time.Time) {
	h := f.targets[agent]
	if h == nil {
		return
	}
	switch e {
	case batch.Done:
		if h.health.score *= scoreDecay; h.health.score < recoveredScore {
			h.health.probations = 0
		}
	case batch.Failed, batch.Stopped, batch.Lost:
		h.health.score = min(h.health.score+1, maxScore)
		// Runs that were in progress when the target became unhealthy do not extend
		// its probation.
		if h.health.score >= unhealthyScore && now.After(h.health.probationEnd) {
			h.health.probationEnd = now.Add(min(probationMin<<min(h.health.probations, 10), probationMax))
			h.health.probations++
		}
	case batch.NotStarted, batch.Unanswered:
		// The next report tells whether the target accepts work.
	}
}

// healthCost returns the placement cost of an unhealthy target, 0 for a healthy one. After
// its probation, an unhealthy target gets one task of this entry at a time until it has
// recovered: otherwise an idle target that fails all its tasks would attract all work.
func (v *TargetView) healthCost(now time.Time, estimate time.Duration) time.Duration {
	if v.health.score < unhealthyScore || now.After(v.health.probationEnd) && v.assigned == (batch.Resources{}) {
		return 0
	}
	return unhealthyCost * estimate
}
