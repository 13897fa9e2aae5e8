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
	// stuckFraction is the same time as a fraction of the run's estimate, and stuckSteps as a
	// multiple of the mean time that a percent has taken so far; the longest of the three
	// counts. A run of 0.8 s that takes seven times as long on a target of half the speed
	// needs 110 ms for each percent.
	stuckFraction = 0.25
	stuckSteps    = 3
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
	startedAt            time.Time
	estimate             time.Duration // expected run time, 0 when unknown
}

// NewProgress returns the progress of a run that starts at the given time.
func NewProgress(at time.Time) Progress {
	m := observation{at: at}
	return Progress{base: m, nextBase: m, last: m, lastGrowth: at, startedAt: at}
}

// WithEstimate returns the progress of a run with an expected run time.
func (p Progress) WithEstimate(estimate time.Duration) Progress {
	p.estimate = estimate
	return p
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
func (p Progress) Stuck() bool {
	limit := max(stuckAfter, time.Duration(stuckFraction*float64(p.estimate)))
	if p.last.percent > 0 {
		limit = max(limit, stuckSteps*p.lastGrowth.Sub(p.startedAt)/time.Duration(p.last.percent))
	}
	return p.last.at.Sub(p.lastGrowth) >= limit
}

// projection returns the expected total and remaining run time at the present rate, or at the
// mean rate since the start for a run that is too slow for a present one. It returns false
// for a run without progress.
func (p Progress) projection() (total, left time.Duration, ok bool) {
	total, ok = p.TotalRunTime()
	if !ok && p.last.percent > 0 {
		total, ok = p.last.at.Sub(p.startedAt)*100/time.Duration(p.last.percent), true
	}
	return total, total * time.Duration(100-p.last.percent) / 100, ok
}
