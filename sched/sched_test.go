package sched_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/batch"
	"cyclamenrelay.example/sched"
)

var start = time.Unix(1_700_000_000, 0)

func request(id uint64, cpu int64, due time.Duration, priority int) sched.Request {
	return sched.Request{
		ID: id, Owner: "e1", Need: batch.Resources{CPU: cpu}, Estimate: 100 * time.Millisecond, Priority: priority,
		Due: start.Add(due), StartBy: start.Add(2 * due),
	}
}

func nextID(r *sched.Scheduler) uint64 {
	t, ok := r.Next(start)
	if !ok {
		return 0
	}
	return t.ID
}

func TestEarliestDueTimeStartsFirst(t *testing.T) {
	r := sched.New()
	r.Resize(batch.Resources{CPU: 1000})
	r.Enqueue(request(1, 1000, 300*time.Millisecond, 0))
	r.Enqueue(request(2, 1000, 100*time.Millisecond, 0))
	r.Enqueue(request(3, 1000, 90*time.Millisecond, 2))
	r.Enqueue(request(4, 1000, 100*time.Millisecond, 0))
	for _, want := range []uint64{2, 4, 3, 1} {
		id := nextID(r)
		assert.Equal(t, id, want)
		assert.Equal(t, nextID(r), uint64(0), "a second task started though there is capacity for one")
		r.Release(id)
	}
}

func TestBacklogBySlack(t *testing.T) {
	r := sched.New()
	for i, due := range []time.Duration{-time.Second, 30, 70, 150, 300, 900} {
		r.Enqueue(request(uint64(i), 100, due*time.Millisecond, 0))
	}
	r.Enqueue(request(10, 100, 30*time.Millisecond, 1)) // PriorityDelay(1) makes it count as due at 70 ms
	b := r.Backlog(start)
	assert.Equal(t, b.Total().CPU, int64(700))
	for left, want := range map[time.Duration]int64{
		-time.Second: 100, 10 * time.Millisecond: 100, 80 * time.Millisecond: 300, 150 * time.Millisecond: 450,
		300 * time.Millisecond: 550, time.Hour: 650,
	} {
		assert.Equal(t, b.DueBefore(left).CPU, want, "%v", left)
	}
}

func TestLargeTaskDoesNotStarve(t *testing.T) {
	r := sched.New()
	r.Resize(batch.Resources{CPU: 1000})
	r.Enqueue(request(1, 600, 100*time.Millisecond, 0))
	assert.Equal(t, nextID(r), uint64(1))
	r.Enqueue(request(2, 1000, 100*time.Millisecond, 0))
	r.Enqueue(request(3, 100, 200*time.Millisecond, 0))
	assert.Equal(t, nextID(r), uint64(0), "a small task overtook a large one that was due earlier")
	r.Enqueue(request(4, 5000, 50*time.Millisecond, 0))
	assert.Equal(t, nextID(r), uint64(0))
	r.Release(1)
	assert.Equal(t, nextID(r), uint64(2), "a task that can never fit blocks the others")
}

func TestClosedSchedulerStartsNothing(t *testing.T) {
	r := sched.New()
	r.Resize(batch.Resources{CPU: 1000})
	r.SetOpen(false)
	r.Enqueue(request(1, 1, 100*time.Millisecond, 0))
	assert.Equal(t, nextID(r), uint64(0))
	assert.Equal(t, len(r.Expired(start.Add(200*time.Millisecond))), 0)
	late := r.Expired(start.Add(201 * time.Millisecond))
	assert.Equal(t, len(late), 1)
	r.SetOpen(true)
	assert.Equal(t, nextID(r), uint64(0))
}

// The allocated capacity never exceeds the total, and all of it is freed again.
func TestCapacityIsNeverExceeded(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	r := sched.New()
	capacity := batch.Resources{CPU: 8000, Memory: 4096, Accelerators: 2}
	r.Resize(capacity)
	var running []uint64
	for id := uint64(1); id <= 5000; id++ {
		x := request(id, rng.Int64N(4000), time.Duration(rng.IntN(500))*time.Millisecond, rng.IntN(3))
		x.Need.Memory, x.Need.Accelerators = rng.Int64N(2048), rng.Int64N(3)
		r.Enqueue(x)
		if rng.IntN(4) == 0 {
			r.Release(id)
		}
		for n := nextID(r); n != 0; n = nextID(r) {
			running = append(running, n)
		}
		assert.Assert(t, r.Used().Fits(capacity), "%+v is allocated, more than the capacity", r.Used())
		for len(running) > 0 && rng.IntN(3) > 0 {
			i := rng.IntN(len(running))
			r.Release(running[i])
			running = append(running[:i], running[i+1:]...)
		}
	}
	for len(running) > 0 || nextID(r) != 0 {
		for _, id := range running {
			r.Release(id)
		}
		running = nil
		for n := nextID(r); n != 0; n = nextID(r) {
			running = append(running, n)
		}
	}
	assert.Equal(t, r.Used(), batch.Resources{})
	assert.Equal(t, r.Backlog(start), sched.Backlog{})
	assert.Equal(t, r.OwnerUse("e1"), batch.Resources{})
	assert.Equal(t, r.CompletionInterval(), time.Duration(0))
}
