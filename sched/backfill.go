package sched

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cyclamenrelay.example/batch"
)

// Backfill are the settings of backfill: starting a waiting task before others that are due
// earlier but do not fit into the free capacity. The zero value turns it off.
type Backfill struct {
	// MaxDelay is how long others may start before a waiting task, counted from the first
	// that did. It also bounds the expected run time of a task that is started so.
	MaxDelay time.Duration
}

const (
	// lateEnd is the probability with which a task that is started before the head ends in
	// the time that is expected of it, earlyEnd that with which a running task has ended when
	// the head is expected to have its capacity. Both protect the head from wrong estimates.
	lateEnd, earlyEnd = 0.8, 0.3
)

// SetBackfill sets the settings of backfill.
func (s *Scheduler) SetBackfill(b Backfill) { s.backfill = b }

// Backfilled reports whether the request was started before others that are due earlier.
func (t Request) Backfilled() bool { return t.backfilled }

// HeadDelay returns the time until now since another task was first started before the
// request by backfill, 0 when none was.
func (t Request) HeadDelay(now time.Time) time.Duration {
	if t.passedSince.IsZero() {
		return 0
	}
	return now.Sub(t.passedSince)
}

// backfillIndex returns the index of the first waiting task behind the blocked head that may
// start before it: one that fits and will probably end before the head could start. No task
// may be passed over for longer than MaxDelay.
func (s *Scheduler) backfillIndex(head int, free batch.Resources, now time.Time) (int, bool) {
	if s.backfill.MaxDelay <= 0 {
		return 0, false
	}
	window := min(s.backfill.MaxDelay, s.headWait(s.waiting[head], free, now))
	for i, t := range s.waiting[head:] {
		if i > 0 && t.Need.Fits(free) && t.Estimate > 0 && (runningTask{Request: t}).remaining(time.Time{}, lateEnd) <= window {
			return head + i, true
		}
		if t.Need.Fits(s.capacity) && t.HeadDelay(now) >= s.backfill.MaxDelay {
			break
		}
	}
	return 0, false
}

// markPassed records that the waiting tasks before the index are passed over.
func (s *Scheduler) markPassed(index int, now time.Time) {
	for i := range s.waiting[:index] {
		if t := &s.waiting[i]; t.passedSince.IsZero() && t.Need.Fits(s.capacity) {
			t.passedSince = now
		}
	}
}

// headWait returns the time until the running tasks will have released what the head needs,
// when each of them ends early. It is 0 when a needed task has no estimate.
func (s *Scheduler) headWait(head Request, free batch.Resources, now time.Time) time.Duration {
	type release struct {
		after time.Duration
		need  batch.Resources
	}
	releases := make([]release, 0, len(s.running))
	for _, t := range s.running {
		releases = append(releases, release{t.remaining(now, earlyEnd), t.Need})
	}
	slices.SortFunc(releases, func(a, b release) int { return cmp.Compare(a.after, b.after) })
	for _, r := range releases {
		if free = free.Plus(r.need); head.Need.Fits(free) {
			return r.after
		}
	}
	return 0
}

// remaining returns the time within which a task that is still running ends with the
// probability p, by the distribution of endProbability, and 0 when nothing is known.
func (t runningTask) remaining(now time.Time, p float64) time.Duration {
	median, shape := t.expected()
	if median <= 0 {
		return 0
	}
	age := t.age(now)
	odds := (1+math.Pow(float64(age)/float64(median), shape))/(1-p) - 1
	return time.Duration(float64(median)*math.Pow(odds, 1/shape)) - age
}
