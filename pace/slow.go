package pace

import "time"

const (
	// slowFrom is the factor above its usual slowness from which a target counts as
	// slow, so that others are probably faster: kinds of workers differ by up to a
	// half.
	slowFrom = 2
	// usualFirst is the initial usual ratio of run time to estimate for a new target:
	// runs that are seen in progress are longer than the mean of all runs, by a sixth
	// at the users' spread.
	usualFirst = 1.25
	// usualRuns is the number of run observations over which the usual ratio is
	// averaged: about ten seconds of a busy target.
	usualRuns = 5000
	// slowFloor and slowCeil bound the ratio that one run may contribute.
	slowFloor, slowCeil = 0.25, 8
	// slowRuns is the number of run observations over which the recent ratio is
	// averaged: one or two listings of a busy target.
	slowRuns = 16
	// slowLeast is the minimum number of runs in an observation: fewer may all be long
	// tasks.
	slowLeast = 3
	// slowFades is the time after which half of a slowness has decayed while nothing
	// runs: the target gets no work by which it could show that it has recovered.
	slowFades = time.Second
)

// Slowness is the ratio of run times to their estimates on a target. The zero value has
// no observations.
type Slowness struct {
	// recent is the ratio of the present runs, usual the long-term ratio, which is
	// averaged only while the target is not slow.
	recent, usual float64
	at            time.Time // of the last observation
}

// With returns the slowness after one more observation of the target's runs. ratios
// has, for each run, its expected total run time at the present rate divided by its
// estimate.
func (s Slowness) With(ratios []float64, at time.Time) Slowness {
	n := len(ratios)
	if n < slowLeast {
		return s
	}
	var mean float64
	for _, r := range ratios {
		mean += min(max(r, slowFloor), slowCeil) / float64(n)
	}
	if s.at.IsZero() {
		s.recent, s.usual = usualFirst, usualFirst
	}
	f := s.Factor(at)
	s.recent = s.usual * f
	s.recent += (mean - s.recent) * min(1, float64(n)/slowRuns)
	if f < slowFrom {
		s.usual += (mean - s.usual) * float64(n) / usualRuns
	}
	s.at = at
	return s
}

// Factor returns the recent slowness of the target divided by its usual one. It decays
// to 1 while nothing runs.
func (s Slowness) Factor(at time.Time) float64 {
	if s.at.IsZero() {
		return 1
	}
	fades := float64(at.Sub(s.at)) / float64(slowFades)
	return 1 + (s.recent/s.usual-1)/(1+fades*fades)
}

// Reported returns the factor that is reported to entries, 0 while the target does not
// count as slow.
func (s Slowness) Reported(at time.Time) float64 {
	if f := s.Factor(at); f >= slowFrom {
		return f
	}
	return 0
}

const (
	// A run is moved when its remaining time exceeds moveFactor times a whole run on
	// another target plus moveCost: estimates are inexact, and a stop and a start cost
	// a few network hops.
	moveFactor = 1.25
	moveCost   = 20 * time.Millisecond
)

// Leave returns the reason to move a run to another target, empty when it should stay.
func (g Progress) Leave(s Slowness) string {
	if g.Stuck() {
		return "the run stands still"
	}
	whole, ok := g.Whole()
	factor := s.Factor(g.now.at)
	if !ok || factor < slowFrom {
		return ""
	}
	left := whole * time.Duration(100-g.now.percent) / 100
	elsewhere := time.Duration(float64(whole) / factor)
	if left > time.Duration(moveFactor*float64(elsewhere))+moveCost {
		return "the target is slow"
	}
	return ""
}
