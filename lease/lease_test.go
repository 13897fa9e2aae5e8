package lease_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/lease"
)

var start = time.Unix(1_700_000_000, 0)

func ExampleLease_WithRenewal() {
	l := lease.Lease{}.WithClock(40*time.Second, start)
	l, until := l.WithRenewal(start, 500*time.Millisecond, start.Add(time.Hour))
	fmt.Println(until, l.Remaining(start))
	l, until = l.WithRenewal(start.Add(time.Second), 500*time.Millisecond, start.Add(time.Second))
	fmt.Println(until, l.Ended(start.Add(time.Second)))
	// Output:
	// 40.5s 590ms
	// 0s true
}

// Guards against two simultaneous runs of a task: a lease counted as ended while the
// target, whose clock was slow within the limits of its platform, kept runs going.
func TestNothingRunsPastTheLease(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 16))
		rate := 0.98 + 0.02*rng.Float64() // of the target's clock to the local one
		clock := func(at time.Time) time.Duration { return time.Minute + time.Duration(rate*float64(at.Sub(start))) }
		l, now, until := lease.Lease{}.WithClock(clock(start), start), start, time.Duration(0)
		for range 100 {
			now = now.Add(time.Duration(rng.IntN(300)) * time.Millisecond)
			if rng.IntN(3) == 0 {
				delay := time.Duration(rng.IntN(50)) * time.Millisecond
				l = l.WithClock(clock(now), now.Add(delay))
				now = now.Add(delay)
			}
			next, u := l.WithRenewal(now, 494*time.Millisecond, now.Add(time.Duration(rng.IntN(1000)-300)*time.Millisecond))
			l = next
			until = max(until, u)
			over := now.Add(l.Remaining(now))
			assert.Assert(t, until == 0 || clock(over) >= until, "seed %d: the target keeps runs going until %v by its clock, but they count as ended at %v",
				seed, until, clock(over))
		}
	}
}

// Guards against two simultaneous runs of a task: a renewal reached past the time when
// a run on the target must have ended.
func TestNoRenewalPastTheBound(t *testing.T) {
	l := lease.Lease{}.WithClock(time.Minute, start)
	_, until := l.WithRenewal(start, 494*time.Millisecond, start.Add(100*time.Millisecond))
	assert.Equal(t, until, time.Minute+100*time.Millisecond)
	same, until := l.WithRenewal(start, 494*time.Millisecond, start)
	assert.Equal(t, until, time.Duration(0))
	assert.Assert(t, same.Ended(start))
}
