// Package pace judges from what a target says of its runs, and from how quickly
// it answers, how fast it is now. It does no I/O.
package pace

import "time"

const (
	// rateWindow is the least time over which a run's rate is taken once it has run
	// that long, and rateFirst before: the target counts in hundredths of a run, a
	// few milliseconds of the users' longest tasks.
	rateWindow = 50 * time.Millisecond
	rateFirst  = 15 * time.Millisecond
	rateSteps  = 2 // hundredths
	// stillAfter is how long a run may stand still before it counts as stuck: more
	// than a target needs to begin a run, less than what a short job can wait.
	stillAfter = 100 * time.Millisecond
)

// mark is how far a run was at a time.
type mark struct {
	at      time.Time
	percent int
}

// Progress follows how far a run is. The zero value knows nothing.
type Progress struct {
	// now is the last mark; rates are taken from before, which is older than
	// rateWindow as soon as there is one.
	before, between, now mark
	changed              time.Time // when percent was last seen to grow
}

// Begun returns the progress of a run that starts.
func Begun(at time.Time) Progress {
	m := mark{at: at}
	return Progress{before: m, between: m, now: m, changed: at}
}

// With returns the progress after a look at the run, percent being how much of
// it is done.
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

// Whole returns how long the whole run takes at its present rate, and false
// while that is not known.
func (g Progress) Whole() (time.Duration, bool) {
	steps, took := g.now.percent-g.before.percent, g.now.at.Sub(g.before.at)
	if steps < rateSteps || took < rateFirst {
		return 0, false
	}
	return took * 100 / time.Duration(steps), true
}

// Stuck reports whether the run stands still.
func (g Progress) Stuck() bool { return g.now.at.Sub(g.changed) >= stillAfter }
