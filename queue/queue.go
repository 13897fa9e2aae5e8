// Package queue orders the work that waits at an entry: weighted fair queueing
// between shares, then between teams, and by urgency within a team.
package queue

import (
	"container/heap"
	"slices"
	"time"
)

// UrgencyLead is how much service time, at weight 1, each step of urgency lets a
// share run ahead of the others. It bounds the precedence of urgent work over
// other shares.
const UrgencyLead = 10 * time.Millisecond

// minCharge is the least service time, in ns, that work is charged, so that work
// with an estimate of 0 is not free.
const minCharge = float64(time.Millisecond)

// Class identifies a group of work with the same share and the same set of targets.
type Class interface{ comparable }

// Item is one queued piece of work. Its fields are not changed while it is queued.
type Item[C Class] struct {
	ID    string
	Share string
	// Weight is the share's weight and TeamWeight the team's within it.
	Weight     int
	Team       string
	TeamWeight int
	Urgency    int
	// Estimate is the expected run time, which the share is charged when served.
	Estimate time.Duration
	Class    C

	seq      uint64     // order of the first Push
	index    int        // in the heap of its bucket
	queuedIn *bucket[C] // nil while it is not queued
}

// Queued reports whether the item is in a queue.
func (i *Item[C]) Queued() bool { return i.queuedIn != nil }

// Queue is the fair queue of one entry.
type Queue[C Class] struct {
	// Strict serves by urgency alone and ignores weights.
	Strict bool

	virtual float64 // virtual time between shares, in ns at weight 1
	seq     uint64
	size    int
	shares  map[string]*share[C]
	active  []*share[C] // those with queued items
}

// share is the state of a share in the fair queueing between shares.
type share[C Class] struct {
	name    string
	weight  int
	start   float64 // virtual start time of the next item, in ns at weight 1
	virtual float64 // virtual time between its teams, in ns at weight 1
	size    int
	teams   map[string]*team[C]
	active  []*team[C] // those with queued items
}

// team is the state of a team in the fair queueing within a share.
type team[C Class] struct {
	name    string
	weight  int
	start   float64 // virtual start time of the next item, in ns at weight 1
	size    int
	buckets []*bucket[C]
}

// bucket is a heap of a team's queued items of one class, the first to be served on top.
type bucket[C Class] struct {
	share *share[C]
	team  *team[C]
	class C
	items []*Item[C]
}

// New returns an empty queue.
func New[C Class]() *Queue[C] { return &Queue[C]{shares: map[string]*share[C]{}} }

// Len returns the number of queued items.
func (q *Queue[C]) Len() int { return q.size }

// Virtual returns the virtual time between shares in nanoseconds at weight 1; it never decreases.
func (q *Queue[C]) Virtual() float64 { return q.virtual }

// ShareLen returns the number of queued items of a share.
func (q *Queue[C]) ShareLen(name string) int {
	if s := q.shares[name]; s != nil {
		return s.size
	}
	return 0
}

// Shares returns the names of the shares that have queued items, in no particular order.
func (q *Queue[C]) Shares() []string {
	names := make([]string, 0, len(q.active))
	for _, s := range q.active {
		names = append(names, s.name)
	}
	return names
}

// Urgency returns the urgency of the most urgent queued item of a share.
func (q *Queue[C]) Urgency(name string) int {
	u := 0
	if s := q.shares[name]; s != nil {
		for _, t := range s.active {
			for _, b := range t.buckets {
				u = max(u, b.items[0].Urgency)
			}
		}
	}
	return u
}

// Push queues i in O(log n). An item that was queued before keeps its place in the
// order of arrival.
func (q *Queue[C]) Push(i *Item[C]) {
	if i.queuedIn != nil {
		panic("queue: item " + i.ID + " is queued twice")
	}
	s := q.share(i.Share, i.Weight)
	t := s.team(i.Team, i.TeamWeight)
	if s.size == 0 {
		s.start = max(s.start, q.virtual)
		q.active = append(q.active, s)
	}
	if t.size == 0 {
		t.start = max(t.start, s.virtual)
		s.active = append(s.active, t)
	}
	if i.seq == 0 {
		q.seq++
		i.seq = q.seq
	}
	b := t.bucket(s, i.Class)
	i.queuedIn = b
	heap.Push(b, i)
	t.size++
	s.size++
	q.size++
}

// Remove removes i from the queue in O(log n) and returns false if it was not queued.
func (q *Queue[C]) Remove(i *Item[C]) bool {
	b := i.queuedIn
	if b == nil {
		return false
	}
	heap.Remove(b, i.index)
	i.queuedIn = nil
	s, t := b.share, b.team
	if len(b.items) == 0 {
		t.buckets = remove(t.buckets, b)
	}
	t.size--
	s.size--
	q.size--
	if t.size == 0 {
		s.active = remove(s.active, t)
	}
	if s.size == 0 {
		q.active = remove(q.active, s)
	}
	if s.size < 0 || t.size < 0 || q.size < 0 {
		panic("queue: negative size")
	}
	return true
}

// Pop removes and returns the next item whose class and team are allowed, or nil.
// Unless onlyShare is empty, it names the one share that is searched. The item's share
// and team are charged its estimate.
func (q *Queue[C]) Pop(onlyShare string, classOK func(C) bool, teamOK func(string) bool) *Item[C] {
	var best *Item[C]
	var bestStart float64
	for _, s := range q.active {
		if onlyShare != "" && s.name != onlyShare {
			continue
		}
		i := s.next(classOK, teamOK, q.Strict)
		if i == nil {
			continue
		}
		start := s.start - float64(i.Urgency)*float64(UrgencyLead)
		switch {
		case best == nil, q.Strict && i.before(best), !q.Strict && start < bestStart:
			best, bestStart = i, start
		}
	}
	if best == nil {
		return nil
	}
	s := best.queuedIn.share
	t := best.queuedIn.team
	q.Remove(best)
	q.charge(s, t, best.Estimate)
	return best
}

// Charge charges the share and the team of i its estimate, for work that is
// served without being queued.
func (q *Queue[C]) Charge(i *Item[C]) {
	s := q.share(i.Share, i.Weight)
	t := s.team(i.Team, i.TeamWeight)
	s.start = max(s.start, q.virtual)
	t.start = max(t.start, s.virtual)
	q.charge(s, t, i.Estimate)
}

// CorrectCharge charges the share and the team of i the difference between the measured
// and the estimated service time; a negative difference is refunded.
func (q *Queue[C]) CorrectCharge(i *Item[C], measured time.Duration) {
	s := q.share(i.Share, i.Weight)
	t := s.team(i.Team, i.TeamWeight)
	d := max(float64(measured), minCharge) - max(float64(i.Estimate), minCharge)
	s.start = max(q.virtual, s.start+d/float64(s.weight))
	t.start = max(s.virtual, t.start+d/float64(t.weight))
}

// charge advances the virtual times and the start times of s and t for service of d.
func (q *Queue[C]) charge(s *share[C], t *team[C], d time.Duration) {
	cost := max(float64(d), minCharge)
	q.virtual = max(q.virtual, s.start)
	s.virtual = max(s.virtual, t.start)
	s.start += cost / float64(s.weight)
	t.start += cost / float64(t.weight)
}

// share returns the share with its current weight; a new one starts at virtual time 0.
func (q *Queue[C]) share(name string, weight int) *share[C] {
	s := q.shares[name]
	if s == nil {
		s = &share[C]{name: name, teams: map[string]*team[C]{}}
		q.shares[name] = s
	}
	s.weight = max(weight, 1)
	return s
}

// Compact removes the shares and teams that have no queued work and whose virtual
// start time is not ahead of the virtual time.
func (q *Queue[C]) Compact() {
	for name, s := range q.shares {
		for n, t := range s.teams {
			if t.size == 0 && t.start <= s.virtual {
				delete(s.teams, n)
			}
		}
		if s.size == 0 && s.start <= q.virtual {
			delete(q.shares, name)
		}
	}
}

// team returns the team with its current weight; a new one starts at virtual time 0.
func (s *share[C]) team(name string, weight int) *team[C] {
	t := s.teams[name]
	if t == nil {
		t = &team[C]{name: name}
		s.teams[name] = t
	}
	t.weight = max(weight, 1)
	return t
}

// next returns the item of the share that is served next among the allowed ones, or nil.
func (s *share[C]) next(classOK func(C) bool, teamOK func(string) bool, strict bool) *Item[C] {
	var best *Item[C]
	var bestStart float64
	for _, t := range s.active {
		if teamOK != nil && !teamOK(t.name) {
			continue
		}
		i := t.next(classOK)
		if i == nil {
			continue
		}
		start := t.start - float64(i.Urgency)*float64(UrgencyLead)
		if best == nil || strict && i.before(best) || !strict && start < bestStart {
			best, bestStart = i, start
		}
	}
	return best
}

// next returns the item of the team that is served next among the allowed ones, or nil.
func (t *team[C]) next(classOK func(C) bool) *Item[C] {
	var best *Item[C]
	for _, b := range t.buckets {
		if i := b.items[0]; (best == nil || i.before(best)) && classOK(b.class) {
			best = i
		}
	}
	return best
}

// bucket returns the team's bucket for the class and makes it if need be.
func (t *team[C]) bucket(s *share[C], c C) *bucket[C] {
	for _, b := range t.buckets {
		if b.class == c {
			return b
		}
	}
	b := &bucket[C]{share: s, team: t, class: c}
	t.buckets = append(t.buckets, b)
	return b
}

// before reports whether i is served before o within a team: by urgency, then by arrival.
func (i *Item[C]) before(o *Item[C]) bool {
	if i.Urgency != o.Urgency {
		return i.Urgency > o.Urgency
	}
	return i.seq < o.seq
}

func remove[T comparable](s []T, v T) []T {
	n := slices.Index(s, v)
	return slices.Delete(s, n, n+1)
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (b *bucket[C]) Len() int           { return len(b.items) }
func (b *bucket[C]) Less(i, j int) bool { return b.items[i].before(b.items[j]) }
func (b *bucket[C]) Swap(i, j int) {
	b.items[i], b.items[j] = b.items[j], b.items[i]
	b.items[i].index, b.items[j].index = i, j
}

// Push implements heap.Interface.
func (b *bucket[C]) Push(x any) {
	i := x.(*Item[C])
	i.index = len(b.items)
	b.items = append(b.items, i)
}

// Pop implements heap.Interface. It shrinks the slice when less than a quarter of
// its capacity is used.
func (b *bucket[C]) Pop() any {
	n := len(b.items) - 1
	i := b.items[n]
	b.items[n] = nil
	b.items = b.items[:n]
	if c := cap(b.items); c > 64 && n < c/4 {
		b.items = append(make([]*Item[C], 0, c/2), b.items...)
	}
	return i
}
