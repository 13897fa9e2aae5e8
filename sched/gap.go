package sched

import "time"

// gap adds up the capacity that is free while tasks wait.
type gap struct {
	sum   float64 // core-seconds until since
	cpu   int64   // thousandths of a core that are free while tasks wait, from since on
	since time.Time
}

// with returns the sum at a time from which on cpu is free while tasks wait.
func (g gap) with(cpu int64, now time.Time) gap {
	if g.cpu > 0 && now.After(g.since) {
		g.sum += float64(g.cpu) / 1000 * now.Sub(g.since).Seconds()
	}
	g.cpu, g.since = cpu, now
	return g
}

// unusedCPU returns the processor capacity that stays free though tasks wait that could
// start on an empty target, 0 when one of them starts now.
func (s *Scheduler) unusedCPU(starts bool) int64 {
	if starts || s.closed {
		return 0
	}
	for _, t := range s.waiting {
		if t.Need.Fits(s.capacity) {
			return max(0, s.capacity.CPU-s.used.CPU)
		}
	}
	return 0
}

// UnusedCoreSeconds returns the processor capacity that was free while tasks waited, summed
// over the time until the last call of Next, in core-seconds.
func (s *Scheduler) UnusedCoreSeconds() float64 { return s.gap.sum }
