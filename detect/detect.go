// Package detect tells by heartbeats whether a process is alive.
package detect

import (
	"time"
)

// Detector watches one process. Times are those of the watching process and do
// not go back.
type Detector interface {
	// Heard takes a heartbeat that arrived now.
	Heard(now time.Time)
	// Suspected reports whether the process counts as dead now.
	Suspected(now time.Time) bool
	detector()
}

// Lease suspects a process that was not heard of for a fixed time.
type Lease struct {
	// Limit is that time.
	Limit time.Duration
	last  time.Time
}

// Heard implements Detector.
func (l *Lease) Heard(now time.Time) { l.last = now }

// Suspected implements Detector.
func (l *Lease) Suspected(now time.Time) bool { return now.Sub(l.last) > l.Limit }

func (*Lease) detector() {}

// The weights of Adaptive, as TCP estimates its retransmission timeout (RFC 6298).
const (
	meanWeight      = 0.125
	deviationWeight = 0.25
	deviations      = 4
)

// Adaptive suspects a process whose heartbeat is later than the measured mean
// interval, a multiple of its mean deviation, and Missed lost heartbeats explain.
type Adaptive struct {
	// Interval is the interval between heartbeats as sent.
	Interval time.Duration
	// Missed is how many heartbeats in a row may be lost.
	Missed int
	// Max bounds the timeout.
	Max time.Duration

	last            time.Time
	mean, deviation float64 // nanoseconds
}

// Heard implements Detector.
func (a *Adaptive) Heard(now time.Time) {
	if a.last.IsZero() {
		a.last, a.mean = now, float64(a.Interval)
		return
	}
	gap := float64(now.Sub(a.last))
	a.last = now
	// A gap of several intervals is a loss, which Missed allows for, not jitter.
	for gap > 1.5*a.mean && gap > 1.5*float64(a.Interval) {
		gap -= float64(a.Interval)
	}
	off := gap - a.mean
	a.deviation += deviationWeight * (max(off, -off) - a.deviation)
	a.mean += meanWeight * off
}

// Timeout returns the time without a heartbeat after which the process is suspected.
func (a *Adaptive) Timeout() time.Duration {
	t := time.Duration(a.mean+deviations*a.deviation) + time.Duration(a.Missed)*a.Interval
	if a.mean == 0 || t > a.Max {
		return a.Max
	}
	return t
}

// Suspected implements Detector.
func (a *Adaptive) Suspected(now time.Time) bool { return now.Sub(a.last) > a.Timeout() }

func (*Adaptive) detector() {}
