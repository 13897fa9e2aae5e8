package fleet

import "time"

// Bounds of probation.
const (
	scoreStep    = 0.25                   // weight of the newest outcome in the score
	scoreLimit   = 0.5                    // score above which probation starts
	minProbation = 500 * time.Millisecond // shortest time to the next trial
	maxProbation = 10 * time.Second       // longest time to the next trial
)

// health is the circuit breaker of a target. When the score exceeds scoreLimit the
// target is put on probation and gets one trial at a time. After a successful
// trial its allowed concurrency starts at 1 and doubles up to its slots.
type health struct {
	score      float64 // moving average of the weighted failures, 0 to 1
	probation  bool
	nextTrial  time.Time
	trialDelay time.Duration // from the last failure to the next trial, doubled each time
	limit      int           // allowed concurrency, 0 for no limit
	successes  int           // successes at this limit
}

// allow reports whether a target with the starts in flight may get another one.
func (h *health) allow(now time.Time, inflight int) bool {
	if h.probation {
		return inflight == 0 && !now.Before(h.nextTrial)
	}
	return h.limit == 0 || inflight < h.limit
}

// succeed counts a success at a target with the given number of slots.
func (h *health) succeed(slots int) {
	h.score *= 1 - scoreStep
	switch {
	case h.probation:
		h.probation, h.limit, h.successes = false, 1, 0
	case h.limit > 0:
		h.successes++
		if h.successes < h.limit {
			return
		}
		h.limit, h.successes = h.limit*2, 0
		if h.limit >= slots {
			h.limit, h.trialDelay, h.score = 0, 0, 0
		}
	}
}

// fail counts a failure by weight (0 to 1). mayProbation permits
// the probation of a target that is in full use.
func (h *health) fail(now time.Time, weight float64, mayProbation bool) {
	h.score += scoreStep * (weight - h.score)
	switch {
	case h.probation:
		if now.Before(h.nextTrial) {
			return // the outcome of a start sent before the probation
		}
	case h.limit > 0:
		if weight < scoreLimit {
			return
		}
	case h.score <= scoreLimit || !mayProbation:
		return
	}
	h.probation = true
	h.trialDelay = min(max(2*h.trialDelay, minProbation), maxProbation)
	h.nextTrial = now.Add(h.trialDelay)
}
