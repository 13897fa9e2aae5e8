// Package pace estimates the present speed of a target: from the progress of its runs
// against their estimates, to detect slow targets and stuck runs, and from its
// response times to orders, to set their timeout. It does no I/O.
package pace

import "time"

const (
	// rateWindow is the minimum time over which the rate of a run is measured once it
	// has run that long, and rateWindowMin the minimum before. The target reports progress
	// in percent of a run, which is a few milliseconds for the users' longest tasks.
	rateWindow     = 50 * time.Millisecond
	rateWindowMin  = 15 * time.Millisecond
	rateMinPercent = 2 // minimum progress for a rate, in percent
	// stuckAfter is the time without progress after which a run counts as stuck: more
	// than a target needs to begin a run, less than what a short job can wait.
	stuckAfter = 100 * time.Millisecond
)

// observation is the progress of a run at a time.
type observation struct {
	at      time.Time
	percent int
}

// Progress tracks the progress of a run. The zero value has no observations.
type Progress struct {
	// last is the last observation. The rate is measured from base to last; base is
	// older than rateWindow as soon as there is such an observation, and nextBase is
	// the next value of base.
	base, nextBase, last observation
	lastGrowth           time.Time // when percent last grew
}

// NewProgress returns the progress of a run that starts at the given time.
func NewProgress(at time.Time) Progress {
	m := observation{at: at}
	return Progress{base: m, nextBase: m, last: m, lastGrowth: at}
}

// With returns the progress after one more observation; percent is the completed part
// of the run.
func (p Progress) With(percent int, at time.Time) Progress {
	if percent > p.last.percent {
		p.lastGrowth = at
	}
	p.last = observation{at, percent}
	if at.Sub(p.nextBase.at) >= rateWindow {
		p.base, p.nextBase = p.nextBase, p.last
	}
	return p
}

// TotalRunTime returns the expected total run time at the present rate, and false while too
// little progress was observed.
func (p Progress) TotalRunTime() (time.Duration, bool) {
	percent, took := p.last.percent-p.base.percent, p.last.at.Sub(p.base.at)
	if percent < rateMinPercent || took < rateWindowMin {
		return 0, false
	}
	return took * 100 / time.Duration(percent), true
}

// Stuck reports whether the run makes no progress.
func (p Progress) Stuck() bool { return p.last.at.Sub(p.lastGrowth) >= stuckAfter }
