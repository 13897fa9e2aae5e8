// Package pace estimates the present speed of a target: from the progress of its runs
// against their estimates, to detect slow targets and stuck runs, and from its
// response times to orders, to set their timeout. It does no I/O.
package pace

import "time"

const (
	// rateWindow is the minimum time over which the rate of a run is measured once it
	// has run that long, and rateFirst the minimum before. The target reports progress
	// in percent of a run, which is a few milliseconds for the users' longest tasks.
	rateWindow = 50 * time.Millisecond
	rateFirst  = 15 * time.Millisecond
	rateSteps  = 2 // minimum progress for a rate, in percent
	// stillAfter is the time without progress after which a run counts as stuck: more
	// than a target needs to begin a run, less than what a short job can wait.
	stillAfter = 100 * time.Millisecond
)

// mark is one observation of a run's progress.
type mark struct {
	at      time.Time
	percent int
}

// Progress tracks the progress of a run. The zero value has no observations.
type Progress struct {
	// now is the last observation. The rate is measured from before to now; before is
	// older than rateWindow as soon as there is such an observation, and between is
	// the next value of before.
	before, between, now mark
	changed              time.Time // when percent last grew
}

// Begun returns the progress of a run that starts at the given time.
func Begun(at time.Time) Progress {
	m := mark{at: at}
	return Progress{before: m, between: m, now: m, changed: at}
}

// With returns the progress after one more observation; percent is the completed part
// of the run.
func (g Progress) With(percent int, at time.Time) Progress {
	if percent > g.now.percent {
		g.changed = at
	}
	g.now = mark{at, percent}
	if at.Sub(g.between.at) >= rateWindow {
		g.before, g.between = g.between, g.now
	}
	return g
}

// Whole returns the expected total run time at the present rate, and false while too
// little progress was observed.
func (g Progress) Whole() (time.Duration, bool) {
	steps, took := g.now.percent-g.before.percent, g.now.at.Sub(g.before.at)
	if steps < rateSteps || took < rateFirst {
		return 0, false
	}
	return took * 100 / time.Duration(steps), true
}

// Stuck reports whether the run makes no progress.
func (g Progress) Stuck() bool { return g.now.at.Sub(g.changed) >= stillAfter }
