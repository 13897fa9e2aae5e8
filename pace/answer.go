package pace

import "time"

const (
	// orderTimeoutMax bounds an order to the target, which is on the same worker:
	// several times what a busy worker's processes take to get a turn.
	orderTimeoutMax = 60 * time.Millisecond
	// orderTimeoutMin keeps a burst of orders from looking unanswered: a dozen of
	// them take an agent with a quarter of a core that long.
	orderTimeoutMin = 25 * time.Millisecond
	// meanShift and devShift are the weights of a new answer, as powers of two, and
	// devFactor is how many deviations an answer may take longer than the mean:
	// the figures of RFC 6298.
	meanShift, devShift = 3, 2
	devFactor           = 4
)

// Answers estimates how long a target takes to answer orders, as RFC 6298 does
// for the round trips of TCP. An unanswered order holds up its task until it is
// given up, so the timeout follows the target. The zero value knows nothing.
type Answers struct{ mean, dev time.Duration }

// With returns the estimate after one more answer.
func (a Answers) With(took time.Duration) Answers {
	if a.mean == 0 {
		return Answers{mean: took, dev: took / 2}
	}
	a.dev += ((took - a.mean).Abs() - a.dev) >> devShift
	a.mean += (took - a.mean) >> meanShift
	return a
}

// Timeout returns when an order counts as unanswered.
func (a Answers) Timeout() time.Duration {
	if a.mean == 0 {
		return orderTimeoutMax
	}
	return min(max(a.mean+devFactor*a.dev, orderTimeoutMin), orderTimeoutMax)
}
