package pace

import "time"

const (
	// slowFrom is how much slower than usual a target must be for others to be
	// probably quicker: kinds of workers differ by up to a half.
	slowFrom = 2
	// usualFirst is what is usual for a target that is not known: runs in progress
	// are longer than the mean of all runs, by a sixth at the users' spread.
	usualFirst = 1.25
	// usualRuns is how many looks at runs replace what is usual: those of about ten
	// seconds at a busy target.
	usualRuns = 5000
	// slowFloor and slowCeil bound what one run shows of its target's slowness.
	slowFloor, slowCeil = 0.25, 8
	// slowRuns is how many looks at runs replace what was known of the present ones:
	// one or two listings of a busy target.
	slowRuns = 16
	// slowLeast is how many runs must show it: fewer may all be long themselves.
	slowLeast = 3
	// slowFades is the time in which half of a known slowness is forgotten while
	// nothing runs: the target gets no work by which it could show that it is well.
	slowFades = time.Second
)

// Slowness is how much longer than estimated a target's runs take. The zero
// value knows nothing.
type Slowness struct {
	// recent is of the present runs, usual of all while the target was not slow.
	recent, usual float64
	at            time.Time
}

// With returns the slowness after a look at the target's runs, ratios being how
// much longer than estimated each of them takes at its present rate.
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

// Factor returns how much slower than usual the target is, which fades to 1 when
// nothing runs.
func (s Slowness) Factor(at time.Time) float64 {
	if s.at.IsZero() {
		return 1
	}
	fades := float64(at.Sub(s.at)) / float64(slowFades)
	return 1 + (s.recent/s.usual-1)/(1+fades*fades)
}

// Reported returns what entries are told, 0 while the target is not clearly slow.
func (s Slowness) Reported(at time.Time) float64 {
	if f := s.Factor(at); f >= slowFrom {
		return f
	}
	return 0
}

const (
	// moveFactor and moveCost are how much longer than a whole run elsewhere the
	// rest of a run must take for a move to be worth it: estimates are inexact, and
	// a stop and a start cost a few hops.
	moveFactor = 1.25
	moveCost   = 20 * time.Millisecond
)

// Leave returns why a run should go on another target, empty when it should stay.
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
