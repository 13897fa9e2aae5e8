package admit

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// recentWindow is the time constant of the averages of demand and service. In about
	// that time the tasks of all targets are replaced, so that a burst of a few seconds
	// is seen in its first second.
	recentWindow = time.Second
	// usualWindow is the time constant of the average of the service that gives the queues
	// their weights. It is longer than bursts, so that a burst does not raise the share of
	// its own queue.
	usualWindow = 30 * time.Second
	// minWeight is the smallest weight of a queue as a fraction of the mean weight, so that
	// a queue that is new or was idle gets a share.
	minWeight = 0.1
	// computeInterval is the interval at which shares are computed again. It keeps the cost
	// of a job independent of the number of queues.
	computeInterval = 50 * time.Millisecond
	// maxQueues bounds the number of queues of a pool for which shares are kept.
	maxQueues = 1024
	// forgetBelow is the usual work below which a queue without demand is removed.
	forgetBelow = 1e-6
)

// average is an exponentially weighted sum of work.
type average struct {
	sum float64
	at  time.Time // the time to which sum applies
}

// value returns the sum at a time, without the part that has decayed since the last
// observation.
func (a *average) value(now time.Time, window time.Duration) float64 {
	if d := now.Sub(a.at); d > 0 {
		return a.sum * math.Exp(-float64(d)/float64(window))
	}
	return a.sum
}

func (a *average) add(work float64, now time.Time, window time.Duration) {
	a.sum = a.value(now, window) + work
	if now.After(a.at) {
		a.at = now
	}
}

// Share is the part of a pool's capacity that a queue asks for, got and is entitled to, each
// as work of the last second or two, in seconds of a core or an accelerator.
type Share struct {
	Pool, Queue              string
	Demand, Served, Entitled float64
}

// deficit returns by which fraction of its demand the queue got less than it is entitled
// to; it is negative when the queue got more.
func (s Share) deficit() float64 {
	if s.Demand <= 0 {
		return 0
	}
	return (s.Entitled - s.Served) / s.Demand
}

// Refused reports whether the queue was refused a part of its demand that matters.
func (s Share) Refused() bool { return s.Demand-s.Served > minDemand*s.Demand }

// pool holds the shares of the queues that compete for the capacity of one pool.
type pool struct {
	name       string
	queues     map[string]*queue
	computedAt time.Time
	// demand and served are the sums over the queues at computedAt.
	demand, served float64
	// urgent is the smallest priority for which the queues of this or a more urgent priority
	// had minDemand of the pool's demand at computedAt.
	urgent int
}

// queue holds the moving averages of a queue, and its share at the pool's computedAt.
type queue struct {
	priority              int
	demand, served, usual average
	share                 Share
	delay                 delay
}

// record records a job's work, and whether the job was admitted.
func (p *pool) record(name string, priority int, work float64, admitted bool, now time.Time) {
	q := p.queues[name]
	if q == nil {
		if len(p.queues) >= maxQueues {
			return
		}
		q = &queue{}
		p.queues[name] = q
	}
	q.priority = priority
	q.demand.add(work, now, recentWindow)
	if admitted {
		q.served.add(work, now, recentWindow)
		q.usual.add(work, now, usualWindow)
	}
}

// refresh computes the shares of all queues, unless they are recent.
func (p *pool) refresh(now time.Time) {
	if d := now.Sub(p.computedAt); d >= 0 && d < computeInterval {
		return
	}
	p.computedAt, p.demand, p.served, p.urgent = now, 0, 0, math.MaxInt
	var usual float64
	claims := make([]claim, 0, len(p.queues))
	// In a fixed order, as sums of floating-point numbers depend on the order.
	for _, name := range slices.Sorted(maps.Keys(p.queues)) {
		q := p.queues[name]
		q.share = Share{Pool: p.name, Queue: name, Demand: q.demand.value(now, recentWindow), Served: q.served.value(now, recentWindow)}
		c := claim{q, q.usual.value(now, usualWindow)}
		if q.share.Demand+c.weight < forgetBelow {
			delete(p.queues, name)
			continue
		}
		p.demand, p.served, usual = p.demand+q.share.Demand, p.served+q.share.Served, usual+c.weight
		claims = append(claims, c)
	}
	for i := range claims {
		claims[i].weight = max(claims[i].weight, minWeight*usual/float64(len(claims)))
	}
	p.urgent = mostUrgent(claims, p.demand)
	divide(p.served, claims)
}

// mostUrgent returns the smallest priority for which the queues of this or a more urgent
// priority have minDemand of the demand.
func mostUrgent(claims []claim, demand float64) int {
	slices.SortStableFunc(claims, func(a, b claim) int { return cmp.Compare(a.queue.priority, b.queue.priority) })
	var sum float64
	for _, c := range claims {
		if sum += c.queue.share.Demand; sum > 0 && sum >= minDemand*demand {
			return c.queue.priority
		}
	}
	return math.MaxInt
}

// claim is the claim of a queue to a part of the capacity.
type claim struct {
	queue  *queue
	weight float64
}

// divide sets the entitlement of each queue by weighted max-min fairness: the demand of
// the queues that ask for least per weight is met, and the others get what is left in
// proportion to their weights.
func divide(capacity float64, claims []claim) {
	slices.SortStableFunc(claims, func(a, b claim) int {
		return cmp.Compare(a.queue.share.Demand*b.weight, b.queue.share.Demand*a.weight)
	})
	var weights float64
	for _, c := range claims {
		weights += c.weight
	}
	for _, c := range claims {
		s := &c.queue.share
		s.Entitled = s.Demand
		if weights > 0 {
			s.Entitled = min(s.Demand, max(0, capacity)*c.weight/weights)
		}
		capacity -= s.Entitled
		weights -= c.weight
	}
}
