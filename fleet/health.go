package fleet

import "time"

// Bounds of probation.
const (
	scoreStep    = 0.25                   // weight of the newest outcome
	scoreLimit   = 0.5                    // score that starts probation
	minProbation = 500 * time.Millisecond // to the first trial
	maxProbation = 10 * time.Second       // between trials
)

// health judges a target by its outcomes. On probation it gets one trial at a
// time; after a success its allowed concurrency doubles up to its slots.
type health struct {
	score     float64
	probation bool
	next      time.Time
	pause     time.Duration
	limit     int // allowed concurrency, 0 for no limit
	passed    int // successes at this limit
}

// allow reports whether a target with the starts in flight may get another one.
func (h *health) allow(now time.Time, inflight int) bool {
	if h.probation {
		return inflight == 0 && !now.Before(h.next)
	}
	return h.limit == 0 || inflight < h.limit
}

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

// fail counts a failure by weight (0 to 1); mayStop allows a new probation.
func (h *health) fail(now time.Time, weight float64, mayStop bool) {
	h.score += scoreStep * (weight - h.score)
	switch {
	case h.probation:
		if now.Before(h.next) {
			return // started before the probation
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
