// Package lease computes until when what runs on a target may go on, and when
// it has certainly ended. It does no I/O.
package lease

import "time"

const (
	// drift is how much slower than this process's clock a target's may run: one
	// part in drift, as its platform states.
	drift = 50
	// killTime is how long a target may take to end what has no lease any more: its
	// platform allows 50 ms for a stop.
	killTime = 80 * time.Millisecond
)

// Lease is the lease of all that runs on one life of a target. The target counts
// it by its own clock and never shortens it. The zero value has none.
type Lease struct {
	clock time.Duration // the target's, when it was heard
	heard time.Time
	ends  time.Time
}

// WithClock returns the lease after the target's clock was read, which showed
// that much at the given time or before.
func (l Lease) WithClock(clock time.Duration, at time.Time) Lease {
	l.clock, l.heard = clock, at
	return l
}

// WithRenewal returns the lease after an order that lets runs go on for d from
// now, but not beyond bound, and until when by the target's clock. The order may
// be carried out or not. Without time left, there is no renewal, and until is 0.
func (l Lease) WithRenewal(now time.Time, d time.Duration, bound time.Time) (next Lease, until time.Duration) {
	d = min(d, bound.Sub(now))
	if d <= 0 {
		return l, 0
	}
	since := now.Sub(l.heard)
	// By a slow clock both what has passed since it was read and what is granted
	// take longer.
	ends := now.Add(d + (since+d)/drift + killTime)
	if ends.After(l.ends) {
		l.ends = ends
	}
	return l, l.clock + since + d
}

// Over reports whether all that ran under the lease has certainly ended.
func (l Lease) Over(now time.Time) bool { return now.After(l.ends) }

// Left returns the time after which it has.
func (l Lease) Left(now time.Time) time.Duration { return l.ends.Sub(now) }
