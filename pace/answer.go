package pace

import "time"

const (
	// orderTimeoutMax bounds the timeout of an order. The target is on the same worker,
	// so this is several times the scheduling delay of processes on a busy worker.
	orderTimeoutMax = 60 * time.Millisecond
	// orderTimeoutMin avoids false timeouts in a burst of orders: an agent with a
	// quarter of a core needs that long for a dozen of them.
	orderTimeoutMin = 25 * time.Millisecond
	// meanShift and devShift give the weights of a new sample, 1/2^shift, in the
	// smoothed mean and deviation. devFactor is the number of deviations that the
	// timeout is above the mean. All are the constants of RFC 6298.
	meanShift, devShift = 3, 2
	devFactor           = 4
)

// ResponseTimes estimates the response time of a target to orders, as RFC 6298 estimates the
// round-trip time of TCP. An unanswered order delays its task until the timeout, so
// the timeout adapts to the target. The zero value has no samples.
type ResponseTimes struct{ mean, dev time.Duration }

// With returns the estimate with one more response time.
func (a ResponseTimes) With(took time.Duration) ResponseTimes {
	if a.mean == 0 {
		return ResponseTimes{mean: took, dev: took / 2}
	}
	a.dev += ((took - a.mean).Abs() - a.dev) >> devShift
	a.mean += (took - a.mean) >> meanShift
	return a
}

// Timeout returns the time after which an order counts as unanswered.
func (a ResponseTimes) Timeout() time.Duration {
	if a.mean == 0 {
		return orderTimeoutMax
	}
	return min(max(a.mean+devFactor*a.dev, orderTimeoutMin), orderTimeoutMax)
}
