package pace_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/pace"
)

// Long tasks, and single wrong ratios, must not make a target look slow.
func TestSpeedIgnoresLongTasks(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	for _, usual := range []float64{0.8, 1, 1.8} {
		var s pace.Speed
		for i := range 600 {
			assert.Assert(t, i >= 16 || s.Ratio() == 0, "the speed is known after %d runs", i)
			ratio := usual * math.Exp(0.35*rng.NormFloat64())
			if rng.Float64() < 0.03 {
				ratio *= 7
			}
			s = s.With(ratio)
			assert.Assert(t, i < 50 || math.Abs(math.Log(s.Ratio()/usual)) < 0.2, "%v after %d runs with %v", s.Ratio(), i, usual)
		}
		wrong := s.With(1e6).With(math.Inf(1)).With(math.NaN()).With(-1).With(0)
		assert.Assert(t, math.Abs(math.Log(wrong.Ratio()/s.Ratio())) < 0.01)
	}
}

// A target that becomes slow for good must count as such after a few seconds of work.
func TestSpeedFollowsTheTarget(t *testing.T) {
	var s pace.Speed
	for range 500 {
		s = s.With(1)
	}
	for range 500 {
		s = s.With(2)
	}
	assert.Assert(t, s.Ratio() > 1.9, "%v", s.Ratio())
}
