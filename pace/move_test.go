package pace_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/pace"
)

// TestOverdueRuns guards against stopping long tasks, which take as long on any target, and
// against leaving runs on targets where they cannot end in time. All runs have an estimate of
// 180 ms and are checked after 600 ms, in which a target lists them every 50 ms.
func TestOverdueRuns(t *testing.T) {
	const estimate, checked = 180 * time.Millisecond, 600 * time.Millisecond
	// rate returns the progress after an elapsed time of a run that takes total in all.
	rate := func(total time.Duration) func(time.Duration) int {
		return func(elapsed time.Duration) int { return int(100 * elapsed / total) }
	}
	until := func(stop time.Duration, f func(time.Duration) int) func(time.Duration) int {
		return func(elapsed time.Duration) int { return f(min(elapsed, stop)) }
	}
	sound, slowed := observe(pace.Slowness{}, 500, 1.1, start), observe(observe(pace.Slowness{}, 500, 1.1, start), 20, 7, start.Add(checked))
	for name, x := range map[string]struct {
		percent  func(time.Duration) int
		slowness pace.Slowness
		other    pace.Other
		listed   time.Duration // time of the last listing
		reason   string
	}{
		"a task seven times as long on a sound target": {rate(7 * estimate), sound, pace.Other{Within: time.Minute}, checked, ""},
		"the same on a target as quick as others":      {rate(7 * estimate), sound, pace.Other{Relative: 1, Within: time.Minute}, checked, ""},
		"a target that is slow now":                    {rate(7 * estimate), slowed, pace.Other{Within: time.Second}, checked, "the run is overdue on a slow target"},
		"a target that has always been slow":           {rate(9 * estimate), sound, pace.Other{Relative: 2.2, Within: time.Second}, checked, "the run is overdue on a slow target"},
		"the same, nearly done":                        {rate(checked + 50*time.Millisecond), sound, pace.Other{Relative: 2.2, Within: time.Second}, checked, ""},
		"the same, another run would end too late":     {rate(9 * estimate), sound, pace.Other{Relative: 2.2, Within: 500 * time.Millisecond}, checked, ""},
		"a stuck run":                                   {until(200*time.Millisecond, rate(4*estimate)), sound, pace.Other{Within: time.Minute}, checked, "the run stands still"},
		"a target that lists no progress":               {func(time.Duration) int { return 0 }, sound, pace.Other{Within: time.Minute}, checked, "the run is overdue"},
		"a target that has not listed the run for long": {rate(7 * estimate), sound, pace.Other{Within: time.Minute}, checked / 2, "the run is overdue"},
	} {
		p := pace.NewProgress(start).WithEstimate(estimate)
		for at := 50 * time.Millisecond; at <= x.listed; at += 50 * time.Millisecond {
			p = p.With(x.percent(at), start.Add(at))
		}
		assert.Equal(t, p.OverdueReason(x.slowness, x.other, start.Add(checked)), x.reason, name)
	}
}

// A long task of a slow target is listed with the same percent for more than 100 ms, and
// must not count as stuck.
func TestLongTaskIsNotStuck(t *testing.T) {
	const estimate, total = 800 * time.Millisecond, 12 * time.Second
	p := pace.NewProgress(start).WithEstimate(estimate)
	for at := 50 * time.Millisecond; at < 3*time.Second; at += 50 * time.Millisecond {
		p = p.With(int(100*at/total), start.Add(at))
		assert.Assert(t, !p.Stuck(), "after %v", at)
	}
	for at := 3 * time.Second; at <= 3400*time.Millisecond; at += 50 * time.Millisecond {
		p = p.With(24, start.Add(at))
	}
	assert.Assert(t, p.Stuck(), "a run that stands still for 400 ms is not noticed")
}

// A quarter of the runs on a sound target are of long tasks. The target must not count as
// slow, or its runs would be moved.
func TestLongTasksDoNotMakeATargetSlow(t *testing.T) {
	var s pace.Slowness
	at := start
	for range 300 {
		at = at.Add(50 * time.Millisecond)
		s = s.With([]float64{1, 7, 0.8, 1.2, 7, 1.1, 0.9, 1}, at)
		assert.Equal(t, s.Reported(at), 0.0)
	}
}
