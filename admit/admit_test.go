package admit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/admit"
	"cyclamenrelay.example/batch"
)

var epoch = time.Unix(1_700_000_000, 0)

const slack = 100 * time.Millisecond

func job(queue string, priority int, work float64) admit.Job {
	return admit.Job{Pool: "p", Queue: queue, Priority: priority, Slack: slack, Work: work}
}

// load is the demand of a queue in a test, in work a second, and the fraction of it that is
// admitted.
type load struct {
	queue          string
	priority       int
	demand, served float64
}

// run records the loads for a time from a start on, and returns the end.
func run(c *admit.Core, from time.Time, d time.Duration, loads ...load) time.Time {
	const step = 10 * time.Millisecond
	for i := range int(d / step) {
		for _, l := range loads {
			work := l.demand * step.Seconds()
			admitted := int(float64(i+1)*l.served) > int(float64(i)*l.served)
			c.Record(job(l.queue, l.priority, work), admitted, from.Add(time.Duration(i)*step))
		}
	}
	return from.Add(d)
}

// part returns the limit of the first task of a queue's jobs as a fraction of the slack.
func part(c *admit.Core, queue string, priority int, now time.Time) float64 {
	return float64(c.Limits(job(queue, priority, 1), now).First) / float64(slack)
}

// Pattern: one queue asks for ten times as much as usual. It must not push the others below
// what they usually get, for as long as it lasts.
func TestFloodOfOneQueueLeavesTheOthersTheirShare(t *testing.T) {
	c := admit.New()
	now := run(c, epoch, time.Minute, load{"a", 1, 10, 1}, load{"b", 1, 10, 1})
	before := part(c, "b", 1, now)
	for range 6 {
		now = run(c, now, 10*time.Second, load{"a", 1, 100, 0.1}, load{"b", 1, 10, 1})
		assert.Assert(t, part(c, "b", 1, now) > 0.95*before, "the limit of the other queue went from %.2f to %.2f", before, part(c, "b", 1, now))
	}
}

// Pattern: all queues ask for more than there is, and one of them gets less of its demand. Its
// jobs may wait longer then, and those of the others less long.
func TestQueueThatGotLessMayWaitLonger(t *testing.T) {
	c := admit.New()
	now := run(c, epoch, time.Minute, load{"a", 1, 10, 1}, load{"b", 1, 10, 1})
	now = run(c, now, 3*time.Second, load{"a", 1, 17, 0.95}, load{"b", 1, 17, 0.4})
	assert.Assert(t, part(c, "b", 1, now) > 1.2*part(c, "a", 1, now), "%.2f and %.2f", part(c, "b", 1, now), part(c, "a", 1, now))
}

// Pattern: urgent work stops. Capacity is held back for it only while it is in demand.
func TestCapacityIsHeldBackWhileUrgentWorkIsInDemand(t *testing.T) {
	c := admit.New()
	alone := part(c, "a", 1, epoch)
	now := run(c, epoch, 2*time.Second, load{"a", 1, 10, 1}, load{"urgent", 0, 3, 1})
	assert.Assert(t, part(c, "a", 1, now) < alone/2)
	assert.Assert(t, part(c, "urgent", 0, now) > 0.7)
	now = run(c, now, 6*time.Second, load{"a", 1, 10, 1})
	assert.Equal(t, part(c, "a", 1, now), alone)
}

// Failure: an entry that served one queue only is paused and goes on. What it did before the
// pause must not count any more.
func TestPausedEntryForgetsRecentService(t *testing.T) {
	c := admit.New()
	now := run(c, epoch, 5*time.Second, load{"a", 1, 10, 1}, load{"b", 1, 10, 0})
	assert.Assert(t, part(c, "b", 1, now) > part(c, "a", 1, now))
	now = now.Add(20 * time.Second)
	c.Record(job("a", 1, 1), true, now)
	c.Record(job("b", 1, 1), true, now)
	now = now.Add(time.Second)
	a, b := part(c, "a", 1, now), part(c, "b", 1, now)
	assert.Assert(t, a > 0.95*b && b > 0.95*a, "%.2f and %.2f", a, b)
}

// Failure: jobs or clocks with values that cannot be. Shares must stay within what was
// served and asked for, and limits within the slack.
func TestSharesAndLimitsAreBounded(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	c := admit.New()
	now := epoch
	for i := range 5000 {
		now = now.Add(time.Duration(rng.IntN(40)-5) * time.Millisecond)
		queue, priority := fmt.Sprint(rng.IntN(5)), rng.IntN(3)
		work := rng.ExpFloat64()
		if rng.IntN(10) == 0 {
			work *= 10 // an estimate that is wrong by ten times
		}
		if rng.IntN(100) == 0 {
			work = -work
		}
		c.Record(job(queue, priority, work), rng.IntN(3) > 0, now)
		if i%10 > 0 {
			continue
		}
		l := c.Limits(job(queue, priority, work), now)
		assert.Assert(t, l.First > 0 && l.First <= slack && l.Any <= slack, "%+v", l)
		var served, entitled float64
		for _, s := range c.Shares(now) {
			assert.Assert(t, s.Entitled >= 0 && s.Entitled <= s.Demand*(1+1e-9), "%+v", s)
			served, entitled = served+s.Served, entitled+s.Entitled
		}
		assert.Assert(t, entitled <= served*(1+1e-9), "entitled to %f of %f", entitled, served)
	}
}

// Pattern: half of the jobs are refused. Their callers must not come back at once, but spread
// over the time in which capacity is free again, each at the same time when asked twice.
func TestRefusedCallersAreSpread(t *testing.T) {
	c := admit.New()
	now := run(c, epoch, 5*time.Second, load{"a", 1, 20, 0.5})
	const n = 1000
	perSecond := map[int]int{}
	for i := range n {
		id := fmt.Sprintf("%016x", i)
		d := c.RetryAfter(id, "p", 0, now)
		assert.Equal(t, d, c.RetryAfter(id, "p", 0, now.Add(time.Millisecond)))
		assert.Assert(t, d >= time.Second && d <= 10*time.Second, "%v", d)
		perSecond[int(d.Round(time.Second)/time.Second)]++
	}
	for s, k := range perSecond {
		assert.Assert(t, k < 6*n/10, "%d of %d callers come back after %d s", k, n, s)
	}
	wait := 3 * time.Second
	assert.Assert(t, c.RetryAfter("x", "p", wait, now) >= wait, "before the work that is queued has started")
}

// Pattern: reports make waits look shorter than they are, by ten times or more. The limits
// follow the waits of the tasks that ended, more for wide jobs, as the last of many tasks
// decides; they return when no tasks end.
func TestLimitsFollowTheWaitsOfEndedTasks(t *testing.T) {
	c := admit.New()
	now := run(c, epoch, time.Second, load{"a", 0, 10, 1})
	first := func(tasks int, now time.Time) time.Duration {
		j := job("a", 0, 1)
		j.Tasks = tasks
		return c.Limits(j, now).First
	}
	before := first(1, now)
	for i := range 100 {
		c.RecordDelay("p", "a", time.Duration(i%2)*40*time.Millisecond, now)
		c.RecordDelay("p", "unknown", time.Hour, now)
	}
	assert.Assert(t, first(1, now) < before-10*time.Millisecond, "%v, before %v", first(1, now), before)
	assert.Assert(t, first(8, now) < first(1, now)-5*time.Millisecond, "%v for eight tasks, %v for one", first(8, now), first(1, now))
	assert.Assert(t, first(8, now.Add(10*time.Second)) > before*9/10)
	for range 100 {
		c.RecordDelay("p", "a", -time.Hour, now)
	}
	assert.Assert(t, first(8, now) <= before, "tasks that start early must not raise the limit above its fraction of the slack")
}

// Work counts cores and accelerators.
func TestWork(t *testing.T) {
	assert.Equal(t, admit.Work(4, batch.Resources{CPU: 2500, Accelerators: 1}, 2*time.Second), 28.0)
}
