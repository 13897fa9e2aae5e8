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
	score     float64 // moving average of the weighted failures, 0 to 1
	probation bool
	next      time.Time     // of the next trial
	pause     time.Duration // from the last failure to the next trial, doubled each time
	limit     int           // allowed concurrency, 0 for no limit
	passed    int           // successes at this limit
}

// allow reports whether a target with the starts in flight may get another one.
func (h *health) allow(now time.Time, inflight int) bool {
	if h.probation {
		return inflight == 0 && !now.Before(h.next)
	}
	return h.limit == 0 || inflight < h.limit
}

// succeed counts a success at a target with the given number of slots.
func (h *health) succeed(slots int) {
	h.score *= 1 - scoreStep
	switch {
	case h.probation:
		h.probation, h.limit, h.passed = false, 1, 0
	case h.limit > 0:
		h.passed++
		if h.passed < h.limit {
			return
		}
		h.limit, h.passed = h.limit*2, 0
		if h.limit >= slots {
			h.limit, h.pause, h.score = 0, 0, 0
		}
	}
}

// fail counts a failure by weight (0 to 1). mayStop permits the
// probation of a target that is in full use.
func (h *health) fail(now time.Time, weight float64, mayStop bool) {
	h.score += scoreStep * (weight - h.score)
	switch {
	case h.probation:
		if now.Before(h.next) {
			return // the outcome of a start sent before the probation
		}
	case h.limit > 0:
		if weight < scoreLimit {
			return
		}
	case h.score <= scoreLimit || !mayStop:
		return
	}
	h.probation = true
	h.pause = min(max(2*h.pause, minProbation), maxProbation)
	h.next = now.Add(h.pause)
}
