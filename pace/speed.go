package pace

import "math"

const (
	// speedWindow is the number of runs over which a target's ratio is averaged: about three
	// seconds of a busy target. The error of the mean is then a few percent, with run times
	// that differ from their estimates by 40 %.
	speedWindow = 128
	// minSpeedRuns is the number of runs before the ratio is known.
	minSpeedRuns = 16
	// maxStep bounds the deviation, as a natural logarithm, that one run may contribute. It
	// is a factor of two, so that long tasks hardly move the mean.
	maxStep = 0.7
)

// Speed is the usual ratio of a target's run times to their estimates, averaged as a
// logarithm. The zero value has no runs.
type Speed struct {
	runs int
	mean float64 // natural logarithm of the ratio
}

// With returns the speed after one more run. ratio is its run time, or the one that its
// progress projects, divided by its estimate.
func (s Speed) With(ratio float64) Speed {
	if !(ratio > 0) || math.IsInf(ratio, 0) {
		return s
	}
	s.runs = min(s.runs+1, speedWindow)
	s.mean += min(max(math.Log(ratio)-s.mean, -maxStep), maxStep) / float64(s.runs)
	return s
}

// Ratio returns the usual ratio of run times to estimates, 0 while it is not known.
func (s Speed) Ratio() float64 {
	if s.runs < minSpeedRuns {
		return 0
	}
	return math.Exp(s.mean)
}
