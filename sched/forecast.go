package sched

import (
	"math"
	"time"
)

// forecastHorizons are the times ahead for which a Forecast states the released capacity.
var forecastHorizons = [...]time.Duration{
	25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond,
}

const (
	// estimateShape is the shape of the log-logistic distribution of run times around an
	// estimate: its spread is that of estimates that are off by 40 %.
	estimateShape = 4.5
	// progressShape is the same for a run time that is derived from the run's progress,
	// which the target reports in whole percent at the present rate.
	progressShape = 12
	// forecastUnits is the number that stands for all of the used capacity in a Forecast.
	forecastUnits = 200
)

// Forecast is the capacity that running tasks will probably have released at each of
// forecastHorizons, in units of 1/forecastUnits of the used capacity. It is empty when
// nothing is known.
type Forecast []uint8

// runningTask is a running task with what is known of its run time.
type runningTask struct {
	Request
	startedAt time.Time
	// total is the run time by the run's progress, 0 while it is unknown.
	total time.Duration
}

// SetRunTime sets the total run time of a running task as its progress shows it.
func (s *Scheduler) SetRunTime(id uint64, total time.Duration) {
	if t, ok := s.running[id]; ok {
		t.total = total
		s.running[id] = t
	}
}

// Forecast returns the capacity that the running tasks will probably release.
func (s *Scheduler) Forecast(now time.Time) Forecast {
	var released [len(forecastHorizons)]float64
	var weights float64
	for _, t := range s.running {
		weight := t.Need.Share(s.used)
		weights += weight
		for i, h := range forecastHorizons {
			released[i] += weight * t.endProbability(now, h)
		}
	}
	if weights == 0 || released[len(released)-1] == 0 {
		return nil
	}
	out := make(Forecast, len(released))
	for i, x := range released {
		out[i] = uint8(math.Round(forecastUnits * x / weights))
	}
	return out
}

// endProbability returns the probability that the task ends within d, given that it is
// still running. The distribution of its run time is log-logistic: beyond the estimate,
// the expected remaining time grows with the age of the run, as for runs with long tails.
func (t runningTask) endProbability(now time.Time, d time.Duration) float64 {
	median, shape := t.expected()
	if median <= 0 {
		return 0
	}
	age := t.age(now)
	survival := func(at time.Duration) float64 { return 1 / (1 + math.Pow(float64(at)/float64(median), shape)) }
	return 1 - survival(age+d)/survival(age)
}

// expected returns the median of the task's run time, 0 when nothing is known, and the shape
// of its distribution.
func (t runningTask) expected() (median time.Duration, shape float64) {
	if t.total > 0 {
		return t.total, progressShape
	}
	return t.Estimate, estimateShape
}

// age returns how long the task has run, 0 for one that has not started.
func (t runningTask) age(now time.Time) time.Duration {
	if t.startedAt.IsZero() {
		return 0
	}
	return max(0, now.Sub(t.startedAt))
}

// TimeUntil returns the time from the forecast until the fraction of the used capacity has
// probably been released, and the part of the fraction that lies beyond the last
// horizon. It returns false when the forecast is not usable.
func (f Forecast) TimeUntil(fraction float64) (after time.Duration, beyond float64, ok bool) {
	if len(f) != len(forecastHorizons) {
		return 0, 0, false
	}
	wanted, at, had := fraction*forecastUnits, time.Duration(0), 0.0
	for i, h := range forecastHorizons {
		if has := float64(f[i]); has >= wanted {
			if has <= had {
				return at, 0, true
			}
			return at + time.Duration(max(0, wanted-had)/(has-had)*float64(h-at)), 0, true
		}
		at, had = h, max(had, float64(f[i]))
	}
	return at, (wanted - had) / forecastUnits, true
}
