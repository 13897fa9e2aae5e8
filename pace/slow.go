package pace

import (
	"slices"
	"time"
)

const (
	// slowThreshold is the factor above its usual slowness from which a target counts as
	// slow, so that others are probably faster: kinds of workers differ by up to a
	// half.
	slowThreshold = 2
	// initialUsual is the initial usual ratio of run time to estimate for a new target:
	// runs that are seen in progress are longer than the mean of all runs, by a sixth
	// at the users' spread.
	initialUsual = 1.25
	// usualWindow is the number of run observations over which the usual ratio is
	// averaged: about ten seconds of a busy target.
	usualWindow = 5000
	// minRatio and maxRatio bound the ratio of one observation.
	minRatio, maxRatio = 0.25, 8
	// recentWindow is the number of run observations over which the recent ratio is
	// averaged: one or two listings of a busy target.
	recentWindow = 16
	// minRuns is the minimum number of runs in an observation: fewer may all be long
	// tasks.
	minRuns = 3
	// halfDecayTime is the time after which half of a slowness has decayed while nothing
	// runs: the target gets no work by which it could show that it has recovered.
	halfDecayTime = time.Second
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
	if n < minRuns {
		return s
	}
	sorted := slices.Sorted(slices.Values(ratios))
	// The median, as a few tasks that take many times as long as expected would raise the
	// mean of a sound target above slowThreshold.
	present := min(max((sorted[(n-1)/2]+sorted[n/2])/2, minRatio), maxRatio)
	if s.at.IsZero() {
		s.recent, s.usual = initialUsual, initialUsual
	}
	factor := s.Factor(at)
	s.recent = s.usual * factor
	s.recent += (present - s.recent) * min(1, float64(n)/recentWindow)
	if factor < slowThreshold {
		s.usual += (present - s.usual) * float64(n) / usualWindow
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
	elapsed := float64(at.Sub(s.at)) / float64(halfDecayTime)
	return 1 + (s.recent/s.usual-1)/(1+elapsed*elapsed)
}

// Reported returns the factor that is reported to entries, 0 while the target does not
// count as slow.
func (s Slowness) Reported(at time.Time) float64 {
	if f := s.Factor(at); f >= slowThreshold {
		return f
	}
	return 0
}
