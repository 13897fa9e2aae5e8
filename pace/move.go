package pace

import "time"

const (
	// A run is moved when its remaining time exceeds moveFactor times a whole run on
	// another target plus moveCost: estimates are inexact, and a stop and a start cost
	// a few network hops.
	moveFactor = 1.25
	moveCost   = 20 * time.Millisecond
	// unknownAfter is the time without a listing after which the progress of an overdue run
	// is unknown: several renewals, each of which the target may delay by 50 ms.
	unknownAfter = 250 * time.Millisecond
)

// The reasons to stop a run so that its task can run on another target.
const (
	// Stuck is the reason for a run that makes no progress.
	Stuck = "the run stands still"
	// Slow is the reason for a run on a target that is slow at present.
	Slow = "the target is slow"
	// Overdue is the reason for an overdue run of unknown progress.
	Overdue = "the run is overdue"
	// OverdueSlow is the reason for an overdue run on a target that is slow or always was.
	OverdueSlow = "the run is overdue on a slow target"
)

// Other describes another run of the same task, on another target.
type Other struct {
	// Relative is the usual run time on this target as a multiple of that on other targets,
	// 0 when it is not known.
	Relative float64
	// Within is the time from now in which the other run must end to be of use to the caller,
	// 0 when it is not known.
	Within time.Duration
}

// MoveReason returns the reason to move a run to another target, empty when it should stay.
func (p Progress) MoveReason(s Slowness, o Other) string {
	if p.Stuck() {
		return Stuck
	}
	total, ok := p.TotalRunTime()
	factor := s.Factor(p.last.at)
	if !ok || factor < slowThreshold {
		return ""
	}
	left := total * time.Duration(100-p.last.percent) / 100
	if o.inTime(total, factor) && sooner(left, total, factor) {
		return Slow
	}
	return ""
}

// OverdueReason returns the reason to stop a run that has taken much longer than expected,
// empty when it should go on. A task that takes long at the target's usual rate would take
// as long on another target.
func (p Progress) OverdueReason(s Slowness, o Other, now time.Time) string {
	total, left, ok := p.projection()
	switch {
	case !ok || now.Sub(p.last.at) >= unknownAfter:
		return Overdue
	case p.Stuck():
		return Stuck
	}
	// Both factors include a slowdown that lasts, so that their product would count it twice.
	factor := max(o.Relative, s.Factor(now))
	if factor > 1 && o.inTime(total, factor) && sooner(left, total, factor) {
		return OverdueSlow
	}
	return ""
}

// inTime reports whether the other run would end in time for the caller, given the total run
// time on this target and the factor by which other targets are faster.
func (o Other) inTime(total time.Duration, factor float64) bool {
	return o.Within == 0 || time.Duration(float64(total)/factor)+moveCost <= o.Within
}

// sooner reports whether another run, on a target that is faster by the factor, would
// probably end before this one, which takes total and has left to go.
func sooner(left, total time.Duration, factor float64) bool {
	return left > time.Duration(moveFactor*float64(total)/factor)+moveCost
}
