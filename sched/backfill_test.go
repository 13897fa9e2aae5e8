package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cyclamenrelay.example/batch"
	"cyclamenrelay.example/sched"
)

const maxDelay = 100 * time.Millisecond

// withEstimate returns a request for cpu with the estimate. The requests are due in the order
// of their IDs.
func withEstimate(id uint64, cpu int64, estimate time.Duration) sched.Request {
	x := request(id, cpu, time.Duration(id)*time.Millisecond, 0)
	x.Estimate = estimate
	return x
}

// blocked returns a scheduler of 1000 with a running task of 600 that is expected to take
// 200 ms, and a head that needs all.
func blocked(b sched.Backfill) *sched.Scheduler {
	r := sched.New()
	r.SetBackfill(b)
	r.Resize(batch.Resources{CPU: 1000})
	r.Enqueue(withEstimate(1, 600, 200*time.Millisecond))
	r.Next(start)
	r.Enqueue(withEstimate(2, 1000, 100*time.Millisecond))
	return r
}

// Pattern: a stream of small tasks beside a large one. Guards against a gap that stays empty,
// and against a large task that waits for small ones for longer than MaxDelay.
func TestSmallTasksFillTheGapForABoundedTime(t *testing.T) {
	r := blocked(sched.Backfill{MaxDelay: maxDelay})
	r.Enqueue(withEstimate(3, 300, 150*time.Millisecond))
	assert.Equal(t, nextID(r), uint64(0), "a task started that would end after the head could start")
	r.Enqueue(withEstimate(4, 300, 20*time.Millisecond))
	x, ok := r.Next(start)
	assert.Assert(t, ok && x.ID == 4 && x.Backfilled())
	started := 1
	for at := time.Duration(0); at < 2*maxDelay; at += 10 * time.Millisecond {
		r.Release(x.ID)
		r.Enqueue(withEstimate(100+uint64(at), 300, 5*time.Millisecond))
		if x, ok = r.Next(start.Add(at)); ok {
			assert.Assert(t, at < maxDelay, "a task started before a head that had been passed over for %v", at)
			started++
		}
	}
	assert.Assert(t, started > 5, "%d small tasks started", started)
	r.Release(1)
	now := start.Add(2 * maxDelay)
	x, ok = r.Next(now)
	assert.Assert(t, ok && x.ID == 2 && !x.Backfilled())
	assert.Equal(t, x.HeadDelay(now), 2*maxDelay)
}

// Guards against backfill that is on without settings, and against unused capacity that is not
// counted.
func TestBackfillIsOffByDefault(t *testing.T) {
	r := blocked(sched.Backfill{})
	r.Enqueue(withEstimate(3, 100, time.Millisecond))
	assert.Equal(t, nextID(r), uint64(0))
	r.Release(1)
	x, ok := r.Next(start.Add(time.Second))
	assert.Assert(t, ok && x.ID == 2 && x.HeadDelay(start.Add(time.Second)) == 0)
	r.Next(start.Add(2 * time.Second))
	r.Next(start.Add(3 * time.Second))
	assert.Equal(t, r.UnusedCoreSeconds(), 0.4, "0.4 cores were free for a second while a task waited")
}

// Pattern: a head that never fits. Guards against small tasks that are held back for it.
func TestTaskBeyondTheCapacityHoldsNothingBack(t *testing.T) {
	r := sched.New()
	r.SetBackfill(sched.Backfill{MaxDelay: maxDelay})
	r.Resize(batch.Resources{CPU: 1000})
	r.Enqueue(withEstimate(1, 5000, 10*time.Millisecond))
	for i := range 50 {
		r.Enqueue(withEstimate(uint64(10+i), 600, time.Second))
		x, ok := r.Next(start.Add(time.Duration(i) * time.Second))
		assert.Assert(t, ok && !x.Backfilled())
		r.Release(x.ID)
	}
}

// play is a target with tasks that take actual run times, by ID.
type play struct {
	t        *rapid.T
	r        *sched.Scheduler
	capacity batch.Resources
	actual   map[uint64]time.Duration
	ends     map[uint64]time.Duration // of running tasks
	waiting  []sched.Request          // in the order of their due times
	headAt   map[uint64]time.Duration // when each task came to the head of the queue
	passedAt map[uint64]time.Duration // when each task was first passed over
	lastOf   map[[2]int64]uint64      // the last started ID, by need and estimate
}

// startTasks starts what the scheduler starts at a time, and checks each start.
func (p *play) startTasks(now, longest time.Duration) {
	for {
		if len(p.waiting) > 0 {
			if _, known := p.headAt[p.waiting[0].ID]; !known {
				p.headAt[p.waiting[0].ID] = now
			}
		}
		x, ok := p.r.Next(start.Add(now))
		if !ok {
			return
		}
		assert.Assert(p.t, p.r.Used().Fits(p.capacity), "%+v is allocated, more than the capacity", p.r.Used())
		same := [2]int64{x.Need.CPU, int64(x.Estimate)}
		assert.Assert(p.t, x.ID > p.lastOf[same], "%d started after %d, which is equal and due later", x.ID, p.lastOf[same])
		p.lastOf[same] = x.ID
		for i, q := range p.waiting {
			if q.ID == x.ID {
				p.waiting = append(p.waiting[:i:i], p.waiting[i+1:]...)
				break
			}
			first, passed := p.passedAt[q.ID]
			assert.Assert(p.t, !passed || now < first+maxDelay, "%d started before %d, which had been passed over for %v", x.ID, q.ID, now-first)
			if !passed {
				p.passedAt[q.ID] = now
			}
		}
		if first, passed := p.passedAt[x.ID]; passed {
			bound := max(p.headAt[x.ID], first+maxDelay) + longest
			assert.Assert(p.t, x.Backfilled() || now <= bound, "%d started at %v, its bound was %v", x.ID, now, bound)
		}
		p.ends[x.ID] = now + p.actual[x.ID]
	}
}

// Pattern: wide tasks in a flood of narrow ones, with estimates between a seventh and three
// times of the run times, or all of them too short. Guards against a head that waits for
// longer than its bound, against more allocated than the capacity, and against a changed
// order of equal tasks.
func TestBackfillKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &play{
			t: t, r: sched.New(), capacity: batch.Resources{CPU: 1000}, actual: map[uint64]time.Duration{}, ends: map[uint64]time.Duration{},
			headAt: map[uint64]time.Duration{}, passedAt: map[uint64]time.Duration{}, lastOf: map[[2]int64]uint64{},
		}
		p.r.Resize(p.capacity)
		p.r.SetBackfill(sched.Backfill{MaxDelay: maxDelay})
		factors := []float64{0.35, 1, 1.4, 7}
		if rapid.Bool().Draw(t, "too short") {
			factors = []float64{7}
		}
		const end = 5 * time.Second
		arrivals, longest := map[time.Duration]sched.Request{}, time.Duration(0)
		at := time.Duration(0)
		for id := uint64(1); id <= 60; id++ {
			x := withEstimate(id, rapid.SampledFrom([]int64{100, 150, 300, 1000}).Draw(t, "cpu"), rapid.SampledFrom([]time.Duration{5, 20, 60, 200}).Draw(t, "ms")*time.Millisecond)
			p.actual[id] = time.Duration(rapid.SampledFrom(factors).Draw(t, "factor") * float64(x.Estimate)).Round(time.Millisecond)
			longest = max(longest, p.actual[id])
			at += time.Duration(rapid.IntRange(1, 40).Draw(t, "gap")) * time.Millisecond
			arrivals[at] = x
		}
		for now := time.Duration(0); now < end || len(p.waiting) > 0; now += time.Millisecond {
			for id, e := range p.ends {
				if now >= e {
					p.r.Release(id)
					delete(p.ends, id)
				}
			}
			if x, ok := arrivals[now]; ok {
				p.r.Enqueue(x)
				p.waiting = append(p.waiting, x)
			}
			p.startTasks(now, longest)
		}
	})
}
