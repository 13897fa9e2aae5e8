package pace_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/pace"
)

var start = time.Unix(1_700_000_000, 0)

// progressAfter returns the progress of a run after a number of observations at
// intervals of 10 ms, between which it grows by step percent.
func progressAfter(step float64, count int) pace.Progress {
	g := pace.NewProgress(start)
	for i := range count {
		g = g.With(int(step*float64(i+1)), start.Add(time.Duration(i+1)*10*time.Millisecond))
	}
	return g
}

func TestTotalRunTime(t *testing.T) {
	_, ok := progressAfter(5, 1).TotalRunTime()
	assert.Assert(t, !ok, "the run time is known after 10 ms")
	for count := 2; count < 19; count++ {
		whole, ok := progressAfter(5, count).TotalRunTime()
		assert.Assert(t, ok)
		assert.Equal(t, whole, 200*time.Millisecond, "after %d observations", count)
	}
	_, ok = progressAfter(0, 5).TotalRunTime()
	assert.Assert(t, !ok)
}

// A run that becomes slow shows its new rate within 100 ms.
func TestRateFollowsRecentProgress(t *testing.T) {
	g := progressAfter(5, 10)
	for i := range 10 {
		g = g.With(50+(i+1)/2, start.Add(time.Duration(110+10*i)*time.Millisecond))
	}
	whole, ok := g.TotalRunTime()
	assert.Assert(t, ok && whole > 1500*time.Millisecond, "%v", whole)
}

func TestStuckRun(t *testing.T) {
	assert.Assert(t, !progressAfter(0, 9).Stuck())
	assert.Assert(t, progressAfter(0, 10).Stuck())
	assert.Assert(t, !progressAfter(1, 50).Stuck())
	assert.Equal(t, progressAfter(0, 10).MoveReason(pace.Slowness{}, pace.Other{}), "the run stands still")
}

// observe returns the slowness after n observations of four runs that all take ratio
// times their estimates.
func observe(s pace.Slowness, n int, ratio float64, from time.Time) pace.Slowness {
	for i := range n {
		s = s.With([]float64{ratio, ratio, ratio, ratio}, from.Add(time.Duration(i)*10*time.Millisecond))
	}
	return s
}

func TestSlowness(t *testing.T) {
	usual := observe(pace.Slowness{}, 500, 1.4, start)
	now := start.Add(5 * time.Second)
	assert.Equal(t, usual.Reported(now), 0.0, "a target that always had this speed counts as slow")
	slow := observe(usual, 20, 5, now)
	later := now.Add(200 * time.Millisecond)
	assert.Assert(t, slow.Reported(later) > 3, "%v", slow.Reported(later))
	assert.Equal(t, slow.Reported(later.Add(5*time.Second)), 0.0, "the slowness has not decayed though nothing ran")
	assert.Equal(t, observe(slow, 30, 1.4, later).Reported(later.Add(300*time.Millisecond)), 0.0, "the target still counts as slow after it has recovered")
	few := pace.Slowness{}
	for range 100 {
		few = few.With([]float64{6, 6}, start)
	}
	assert.Equal(t, few.Reported(start), 0.0, "two long tasks made the target count as slow")
}

// A run leaves a slow target as long as a new start on another target would end sooner.
func TestLeave(t *testing.T) {
	slow := observe(pace.Slowness{}, 50, 6, start)
	assert.Equal(t, progressAfter(2, 5).MoveReason(slow, pace.Other{}), "the target is slow")
	assert.Equal(t, progressAfter(2, 45).MoveReason(slow, pace.Other{}), "", "a run that is 90 percent complete should stay")
	assert.Equal(t, progressAfter(2, 5).MoveReason(pace.Slowness{}, pace.Other{}), "")
}
