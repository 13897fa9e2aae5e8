// Package admit decides for an entry how long the jobs of each queue may wait in overload, so
// that no queue, priority or job width starves, and when refused callers should try again.
// Its decisions are based on what the entry itself has admitted and refused in the last
// second or two. It does no I/O.
package admit

import (
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"time"

	"cyclamenrelay.example/assign"
	"cyclamenrelay.example/batch"
)

const (
	// fullPart is the fraction of the slack that a job may wait when capacity is not held
	// back. It is below 1 because waits are often longer than expected.
	fullPart = 0.8
	// heldPart is the fraction for jobs while more urgent jobs of the same pool are in
	// demand: the capacity that it leaves free lets those start at once. With 0.1 more jobs
	// are refused, with 0.3 and more the urgent jobs of many tasks are refused instead
	// (docs/design/admission.md).
	heldPart = 0.2
	// lastPart is the fraction that the tasks placed after a job's first one may wait,
	// whatever the share of its queue, so that wide jobs are not refused before narrow
	// ones.
	lastPart = 0.9
	// minPart bounds the fraction of a queue that got more than its share: a job that does
	// not need to wait is admitted in any case.
	minPart = 0.03
	// shareGain is the strength with which the fraction follows the deficit of a queue:
	// a queue that got a tenth of its demand too little may wait e^0.1 times as long. With
	// a gain of 8, long jobs are admitted that end late.
	shareGain = 1
	// minDemand is the fraction of a pool's demand from which more urgent queues count as
	// in demand.
	minDemand = 0.01
	// minRetry and maxRetry bound the time after which a refused caller may try again. The
	// tasks of a target are replaced in less than minRetry. An overload of more than ten
	// times, which asks for more than maxRetry, is no measure of when it ends.
	minRetry = time.Second
	maxRetry = 10 * time.Second
	// maxPools bounds the number of pools for which shares are kept.
	maxPools = 1024
)

// Job holds what the decision on a job, or on one of its steps, is based on.
type Job struct {
	Pool, Queue string
	// Priority is the priority of the queue: 0 is the most urgent.
	Priority int
	// Slack is by how much the start of the tasks may be delayed.
	Slack time.Duration
	// Work is the capacity that the tasks use multiplied by the time (Work).
	Work float64
	// Tasks is the number of tasks.
	Tasks int
}

// Work returns the work of tasks: the cores and accelerators that they use, multiplied by the
// seconds that they are expected to run.
func Work(tasks int, need batch.Resources, estimate time.Duration) float64 {
	return float64(tasks) * (float64(need.CPU)/1000 + float64(need.Accelerators)) * estimate.Seconds()
}

// Core makes the decisions for one entry. Its methods must not be called concurrently.
type Core struct {
	pools map[string]*pool
}

// New returns a Core without observations. It treats all queues of a priority alike until
// it has some.
func New() *Core { return &Core{pools: map[string]*pool{}} }

// Limits returns the limits of the expected waits of the job's tasks: fractions of the slack
// less the time by which tasks of the queue lately started later than expected. The limit of
// the task that is placed first depends on the share of the queue; it is about the same for
// all jobs of the queue, however many tasks they have. The other tasks may wait as long as the
// job can probably still be in time.
func (c *Core) Limits(j Job, now time.Time) assign.Limits {
	part := fullPart
	slack := j.Slack
	if p := c.pools[j.Pool]; p != nil {
		p.refresh(now)
		if p.urgent < j.Priority {
			part = heldPart
		}
		if q := p.queues[j.Queue]; q != nil {
			slack -= q.delay.margin(j.Tasks, now)
			part = min(max(part*math.Exp(shareGain*q.share.deficit()), minPart), 1)
		}
	}
	return assign.Limits{First: time.Duration(part * float64(slack)), Any: time.Duration(lastPart * float64(slack))}
}

// Record records the decision on a job that the targets of its pool can run.
func (c *Core) Record(j Job, admitted bool, now time.Time) {
	if !(j.Work > 0) || math.IsInf(j.Work, 1) {
		return
	}
	p := c.pools[j.Pool]
	if p == nil {
		if len(c.pools) >= maxPools {
			return
		}
		p = &pool{name: j.Pool, queues: map[string]*queue{}}
		c.pools[j.Pool] = p
	}
	p.record(j.Queue, j.Priority, j.Work, admitted, now)
}

// RecordDelay records by how much a task of a queue started later than it was expected when
// it was placed.
func (c *Core) RecordDelay(poolName, queueName string, excess time.Duration, now time.Time) {
	if p := c.pools[poolName]; p != nil {
		if q := p.queues[queueName]; q != nil {
			q.delay.record(excess, now)
		}
	}
}

// RetryAfter returns the time after which the caller of a refused job may try again. wait is
// the wait that was expected for the job's tasks. The refused callers are spread over the time in which the pool can do the work that it
// refused lately, beside what it is asked for. The ID of the job determines its place, so
// that a job that is refused twice is told the same.
func (c *Core) RetryAfter(id, poolName string, wait time.Duration, now time.Time) time.Duration {
	spread := minRetry
	if p := c.pools[poolName]; p != nil {
		p.refresh(now)
		if refused := p.demand - p.served; refused > 0 {
			// p.served of work is done in a recentWindow.
			spread += time.Duration(min(refused/max(p.served, 1e-9), float64(maxRetry/recentWindow)) * float64(recentWindow))
		}
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // never fails
	place := float64(mix(h.Sum64())>>11) / (1 << 53)
	return min(max(wait, minRetry)+time.Duration(place*float64(spread)), maxRetry)
}

// mix spreads the bits of a hash, as IDs that differ in the last digits only have similar
// FNV hashes. It is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Shares returns the shares in force, by pool and queue.
func (c *Core) Shares(now time.Time) []Share {
	var out []Share
	for _, name := range slices.Sorted(maps.Keys(c.pools)) {
		p := c.pools[name]
		p.refresh(now)
		for _, q := range slices.Sorted(maps.Keys(p.queues)) {
			out = append(out, p.queues[q].share)
		}
	}
	return out
}
