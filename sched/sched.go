// Package sched schedules the tasks of one target: it tracks the target's capacity,
// the running tasks, and a queue of waiting tasks in order of their due times. It
// does no I/O.
package sched

import (
	"slices"
	"time"

	"cyclamenrelay.example/batch"
)

// Request is a task's request for capacity.
type Request struct {
	// ID identifies the request. It is unique among those in a Scheduler.
	ID uint64
	// Owner is the entry that sent the task.
	Owner string
	Need  batch.Resources
	// Estimate is the expected run time.
	Estimate time.Duration
	// Priority orders requests with similar due times: 0 goes first.
	Priority int
	// Due is the latest start time with which the task meets its objective.
	Due time.Time
	// StartBy is the time after which the task must not be started any more.
	StartBy time.Time

	backfilled  bool
	passedSince time.Time // first start of another task before this one by backfill
}

// Scheduler is the scheduler of one target. The zero value has no capacity; New returns a
// Scheduler that can be used. Its methods must not be called concurrently.
type Scheduler struct {
	capacity batch.Resources
	closed   bool      // no waiting task may start
	waiting  []Request // in the order of compareByDue
	running  map[uint64]runningTask
	used     batch.Resources
	backfill Backfill
	gap      gap
}

// New returns a Scheduler without capacity.
func New() *Scheduler { return &Scheduler{running: map[uint64]runningTask{}} }

// Resize sets the capacity. Running tasks stay, even when they exceed it.
func (s *Scheduler) Resize(c batch.Resources) { s.capacity = c }

// SetOpen sets whether waiting tasks may start.
func (s *Scheduler) SetOpen(open bool) { s.closed = !open }

// Enqueue adds a request to the queue, behind those that count as due at the same time or
// earlier.
func (s *Scheduler) Enqueue(t Request) {
	i, _ := slices.BinarySearchFunc(s.waiting, t, compareByDue)
	for i < len(s.waiting) && compareByDue(s.waiting[i], t) == 0 {
		i++
	}
	s.waiting = slices.Insert(s.waiting, i, t)
}

// priorityLead is how much earlier a task counts as due for each level of priority
// that it is above another task. The value comes from the overload simulations in
// the tests of package assign.
const priorityLead = 40 * time.Millisecond

// PriorityDelay returns the time after its due time at which a task of the priority counts as
// due: 0 for priority 0, and more for less urgent priorities.
func PriorityDelay(priority int) time.Duration { return time.Duration(priority) * priorityLead }

// effectiveDue returns the time at which the request counts as due. The queue is ordered
// by it.
func (t Request) effectiveDue() time.Time { return t.Due.Add(PriorityDelay(t.Priority)) }

func compareByDue(a, b Request) int { return a.effectiveDue().Compare(b.effectiveDue()) }

// Next allocates capacity to the first waiting request that can start and returns it,
// or false when there is none. A request that is too large for the free capacity
// blocks those behind it, so that large tasks do not starve, unless it exceeds the
// whole capacity, or one of them may start by backfill. Next must be called after each
// change.
func (s *Scheduler) Next(now time.Time) (Request, bool) {
	i, ok := s.nextIndex(now)
	s.gap = s.gap.with(s.unusedCPU(ok), now)
	if !ok {
		return Request{}, false
	}
	t := s.waiting[i]
	s.waiting = slices.Delete(s.waiting, i, i+1)
	s.running[t.ID] = runningTask{Request: t, startedAt: now}
	s.used = s.used.Plus(t.Need)
	return t, true
}

// nextIndex returns the index of the waiting request that Next starts.
func (s *Scheduler) nextIndex(now time.Time) (int, bool) {
	if s.closed {
		return 0, false
	}
	free := s.capacity.Minus(s.used)
	for i, t := range s.waiting {
		if t.Need.Fits(free) {
			return i, true
		}
		if t.Need.Fits(s.capacity) {
			j, ok := s.backfillIndex(i, free, now)
			if ok {
				s.waiting[j].backfilled = true
				s.markPassed(j, now)
			}
			return j, ok
		}
	}
	return 0, false
}

// CanStart reports whether a request for the resources would start at once.
func (s *Scheduler) CanStart(need batch.Resources) bool {
	return !s.closed && len(s.waiting) == 0 && need.Fits(s.capacity.Minus(s.used))
}

// Expired removes and returns the waiting requests whose latest start has passed.
func (s *Scheduler) Expired(now time.Time) []Request {
	var out []Request
	s.waiting = slices.DeleteFunc(s.waiting, func(t Request) bool {
		expired := now.After(t.StartBy)
		if expired {
			out = append(out, t)
		}
		return expired
	})
	return out
}

// Release removes a request, and frees its capacity when it was running.
func (s *Scheduler) Release(id uint64) {
	if t, ok := s.running[id]; ok {
		delete(s.running, id)
		s.used = s.used.Minus(t.Need)
		return
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(t Request) bool { return t.ID == id })
}

// Capacity returns the capacity.
func (s *Scheduler) Capacity() batch.Resources { return s.capacity }

// Used returns the capacity that running tasks use.
func (s *Scheduler) Used() batch.Resources { return s.used }

// bandLimits are the upper bounds of the time bands of Backlog: the slack of the users'
// shortest tasks, doubled at each step.
var bandLimits = [...]time.Duration{50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond}

// Backlog is the total need of the waiting tasks, grouped by the time until they count
// as due: one band for each bound in bandLimits, and one for tasks that are due later.
type Backlog [len(bandLimits) + 1]batch.Resources

// Backlog returns the total need of the waiting tasks, by the time until they count as
// due.
func (s *Scheduler) Backlog(now time.Time) Backlog {
	var b Backlog
	for _, t := range s.waiting {
		i := bandIndex(t.effectiveDue().Sub(now))
		b[i] = b[i].Plus(t.Need)
	}
	return b
}

// bandIndex returns the index of the band of a task that counts as due in the given time.
func bandIndex(left time.Duration) int {
	i, _ := slices.BinarySearch(bandLimits[:], left)
	return i
}

// DueBefore returns the estimated need of the tasks that are queued before a task that
// counts as due in the given time: all bands that are due earlier, and half of its
// own.
func (b Backlog) DueBefore(left time.Duration) batch.Resources {
	own := bandIndex(left)
	var sum batch.Resources
	for _, x := range b[:own] {
		sum = sum.Plus(x)
	}
	return sum.Plus(b[own].Half())
}

// Total returns the total need of the waiting tasks.
func (b Backlog) Total() batch.Resources {
	var sum batch.Resources
	for _, x := range b {
		sum = sum.Plus(x)
	}
	return sum
}

// OwnerUse returns the total need of an owner's tasks, waiting or running.
func (s *Scheduler) OwnerUse(owner string) batch.Resources {
	var sum batch.Resources
	for _, t := range s.waiting {
		if t.Owner == owner {
			sum = sum.Plus(t.Need)
		}
	}
	for _, t := range s.running {
		if t.Owner == owner {
			sum = sum.Plus(t.Need)
		}
	}
	return sum
}

// CompletionInterval returns the expected mean interval between two completions, computed from the
// estimates of the running tasks, 0 when nothing runs.
func (s *Scheduler) CompletionInterval() time.Duration {
	n := time.Duration(len(s.running))
	if n == 0 {
		return 0
	}
	var sum time.Duration
	for _, t := range s.running {
		sum += t.Estimate
	}
	return sum / n / n
}
