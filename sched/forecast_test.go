package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cyclamenrelay.example/batch"
	"cyclamenrelay.example/sched"
)

// running returns a scheduler whose tasks with the estimates have just started.
func running(estimates ...time.Duration) *sched.Scheduler {
	r := sched.New()
	r.Resize(batch.Resources{CPU: 1000 * int64(len(estimates))})
	for i, e := range estimates {
		x := request(uint64(i+1), 1000, time.Second, 0)
		x.Estimate = e
		r.Enqueue(x)
		r.Next(start)
	}
	return r
}

// until returns the time until the fraction of the used capacity has been released.
func until(t *testing.T, f sched.Forecast, fraction float64) time.Duration {
	after, _, ok := f.TimeUntil(fraction)
	assert.Assert(t, ok)
	return after
}

// Guards against a run that has exceeded its estimate being expected to end at once: its
// expected remaining time grows with its age.
func TestOverdueRunIsNotAboutToEnd(t *testing.T) {
	r := running(60 * time.Millisecond)
	previous := time.Duration(0)
	for _, age := range []time.Duration{100, 200, 400, 800} {
		f := r.Forecast(start.Add(age * time.Millisecond))
		left := until(t, f, 0.2)
		assert.Assert(t, left > previous, "after %d ms, a run with an estimate of 60 ms is expected to end in %v", age, left)
		previous = left
	}
}

// A run's progress takes the place of its estimate.
func TestProgressReplacesTheEstimate(t *testing.T) {
	r := running(60*time.Millisecond, 60*time.Millisecond)
	now := start.Add(30 * time.Millisecond)
	before := until(t, r.Forecast(now), 0.5)
	r.SetRunTime(1, 420*time.Millisecond)
	r.SetRunTime(7, time.Second) // does not run
	after := until(t, r.Forecast(now), 0.5)
	assert.Assert(t, after > 2*before, "%v, without the progress %v", after, before)
}

// Guards against forecasts that an entry cannot use: they never shrink with the horizon, never
// exceed the used capacity, and are empty when no run can be expected to end.
func TestForecastIsUsable(t *testing.T) {
	assert.Equal(t, len(running().Forecast(start)), 0)
	assert.Equal(t, len(running(0, 0).Forecast(start)), 0)
	rapid.Check(t, func(t *rapid.T) {
		estimates := rapid.SliceOfN(rapid.Int64Range(0, int64(2*time.Second)), 1, 20).Draw(t, "estimates")
		var d []time.Duration
		for _, e := range estimates {
			d = append(d, time.Duration(e))
		}
		r := running(d...)
		r.SetRunTime(1, time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "total")))
		f := r.Forecast(start.Add(time.Duration(rapid.Int64Range(-int64(time.Second), int64(time.Hour)).Draw(t, "age"))))
		var last uint8
		for _, x := range f {
			assert.Assert(t, x >= last && x <= 200, "%v", f)
			last = x
		}
		var after time.Duration
		for fraction := 0.0; fraction < 1.5; fraction += 0.1 {
			at, beyond, ok := f.TimeUntil(fraction)
			assert.Assert(t, ok == (len(f) > 0) && at >= after && beyond >= 0, "%v: %v, %v", f, at, beyond)
			after = at
		}
	})
}
