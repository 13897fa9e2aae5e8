// Package lease computes the lease of a target: until when the target may keep its
// runs going, by its own clock, and when they have certainly ended, by the clock of
// this process. It does no I/O.
package lease

import "time"

const (
	// maxDriftDivisor bounds how much slower than the clock of this process a target's
	// clock may run: by one part in maxDriftDivisor, as its platform states.
	maxDriftDivisor = 50
	// killTime bounds the time a target takes to kill its runs after the lease has
	// ended: its platform allows 50 ms for a stop.
	killTime = 80 * time.Millisecond
)

// Lease covers all runs on one instance of a target. The target measures it by its own
// clock and never shortens it. The zero value is a lease that was never granted.
type Lease struct {
	clock       time.Duration // last reading of the target's clock
	clockReadAt time.Time     // when the reading arrived
	certainEnd  time.Time     // when all runs under the lease have certainly ended
}

// WithClock returns the lease with a new reading of the target's clock, which was
// taken at the given time or before.
func (l Lease) WithClock(clock time.Duration, at time.Time) Lease {
	l.clock, l.clockReadAt = clock, at
	return l
}

// WithRenewal returns the lease as renewed for d from now, but not beyond bound, and
// its end by the target's clock. The lease counts as renewed whether the order that
// carries the renewal is carried out or not. When no time is left before bound, the
// lease is not renewed, and until is 0.
func (l Lease) WithRenewal(now time.Time, d time.Duration, bound time.Time) (next Lease, until time.Duration) {
	d = min(d, bound.Sub(now))
	if d <= 0 {
		return l, 0
	}
	sinceRead := now.Sub(l.clockReadAt)
	if ends := certainEnd(now, d, sinceRead); ends.After(l.certainEnd) {
		l.certainEnd = ends
	}
	return l, l.clock + sinceRead + d
}

// WithUnknownClock returns the lease of a target whose runs may be under another clock, so
// that a renewal may have granted them any time up to limit.
func (l Lease) WithUnknownClock(now time.Time, limit time.Duration) Lease {
	if ends := certainEnd(now, limit, 0); ends.After(l.certainEnd) {
		l.certainEnd = ends
	}
	return l
}

// certainEnd returns when runs that were granted d at the time now have certainly ended,
// if the target's clock was read sinceRead before.
func certainEnd(now time.Time, d, sinceRead time.Duration) time.Time {
	// When the target's clock is slow, both the time since it was read and the granted
	// time take longer.
	return now.Add(d + (sinceRead+d)/maxDriftDivisor + killTime)
}

// Ended reports whether all runs under the lease have certainly ended.
func (l Lease) Ended(now time.Time) bool { return now.After(l.certainEnd) }

// Remaining returns the time until all runs under the lease have certainly ended.
func (l Lease) Remaining(now time.Time) time.Duration { return l.certainEnd.Sub(now) }
