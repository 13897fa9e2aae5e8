package stats

// evidenceSize bounds the targets whose last outcome is kept for each kind of work.
const evidenceSize = 16

// OutcomeHistory holds the last outcome of a kind of work at each of its latest targets
// T. It tells failures of a target from failures of the work itself.
type OutcomeHistory[T comparable] struct {
	outcomes [evidenceSize]struct {
		target T
		known  bool
		failed bool
	}
	next int
}

// Record records an outcome at t and returns the weight, 0 to 1, of a failure at t as
// a fault of t itself. It is low when the same kind of work fails at other targets too.
func (e *OutcomeHistory[T]) Record(t T, failed bool) float64 {
	others, othersFailed, index := 0, 0, -1
	for i := range e.outcomes {
		switch outcome := &e.outcomes[i]; {
		case outcome.known && outcome.target == t:
			index = i
		case outcome.known:
			others++
			if outcome.failed {
				othersFailed++
			}
		}
	}
	if index < 0 {
		index = e.next
		e.next = (e.next + 1) % evidenceSize
	}
	e.outcomes[index].target, e.outcomes[index].known, e.outcomes[index].failed = t, true, failed
	if others == 0 {
		return 1
	}
	w := 1 - float64(othersFailed)/float64(others)
	return w * w
}
