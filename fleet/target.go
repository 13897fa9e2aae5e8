// Package fleet is an entry's registry of targets: which work each may take, how
// many free slots it is estimated to have, and its health by its outcomes.
package fleet

import (
	"math/rand/v2"
	"slices"
	"time"

	"cyclamenrelay.example/label"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/rules"
	"cyclamenrelay.example/wire"
)

// maxRecentStarts is how many of the latest starts are kept that a report of free
// slots may not count yet.
const maxRecentStarts = 8

// Target is what the entry knows of an agent and its target.
type Target struct {
	// Name is the agent's name.
	Name string
	// Free is the estimated number of free slots, Inflight the number of this
	// entry's unanswered starts.
	Free     int
	Inflight int

	announced   model.Target
	labels      model.Labels // with the overlays applied
	distance    int          // index of the data centre in Settings.DataCentres
	incarnation uint64
	seq         uint64    // of the last announcement
	lastHeard   time.Time // time of the last announcement
	usable      bool      // alive, not leaving and not drained
	leaving     bool

	recentStarts [maxRecentStarts]time.Time // ring of the times of the latest starts
	nextIndex    int                        // in recentStarts
	health       health
}

// load is the number by which the policies that queue at the agent compare targets.
func (t *Target) load() int { return t.Inflight - t.Free }

// setFree sets the estimate of the free slots to the number that the agent reported,
// less the starts sent within the last roundTrip, which it may not have counted.
func (t *Target) setFree(now time.Time, free int, roundTrip time.Duration) {
	for _, at := range t.recentStarts {
		if now.Sub(at) < roundTrip {
			free--
		}
	}
	t.Free = min(free, t.announced.Slots)
}

// RecordStart records a start that was sent without a grant, on a slot estimated to be free.
func (t *Target) RecordStart(now time.Time) {
	t.Free--
	t.recentStarts[t.nextIndex] = now
	t.nextIndex = (t.nextIndex + 1) % maxRecentStarts
}

// announce applies an announcement, and returns false when it is outdated.
func (t *Target) announce(now time.Time, a wire.Announce, roundTrip time.Duration) bool {
	incarnation := a.Self.Incarnation
	if incarnation < t.incarnation || incarnation == t.incarnation && a.Seq <= t.seq {
		return false
	}
	if incarnation != t.incarnation {
		t.health = health{}
		t.Inflight = 0
	}
	t.incarnation, t.seq, t.lastHeard = incarnation, a.Seq, now
	t.leaving = a.Self.Leaving || a.Target == nil
	if a.Target != nil {
		t.announced = *a.Target
	}
	t.setFree(now, a.Free, roundTrip)
	return true
}

// TargetName returns the target's own name.
func (t *Target) TargetName() string { return t.announced.Name }

// Incarnation returns the agent's incarnation; starts at an earlier one are lost.
func (t *Target) Incarnation() uint64 { return t.incarnation }

// Allows reports whether t may get another start now. On probation it gets
// single trials, of idempotent work only.
func (t *Target) Allows(now time.Time, idempotent bool) bool {
	return t.health.allow(now, t.Inflight) && (idempotent || !t.health.probation)
}

// AcceptsQueued reports whether queued work may be started on t. It must be usable,
// not on probation and below its allowed concurrency.
func (t *Target) AcceptsQueued(now time.Time) bool {
	return t.usable && !t.health.probation && t.health.allow(now, t.Inflight)
}

// classKey identifies a class: the work of one rule with one selector, and of one
// job when that is limited to some agents.
type classKey struct {
	share    string
	selector string
	job      string // empty for work that is not limited to some agents
}

// Class is the work of one rule with one selector, and the targets it may run on.
type Class struct {
	Rule *rules.Rule
	// Queued is the number of queued requests.
	Queued int
	// EmptySince is when the class was made or last lost its last target.
	EmptySince time.Time

	key        classKey
	sel        label.Selector
	agents     map[string]bool // the agents that the class is limited to, nil for any
	byDistance [][]*Target     // the targets by distance of their data centre
	members    map[*Target]bool
	size       int       // number of targets
	lastUsed   time.Time // time of the last use

	asked       map[*Target]int // slots asked for and not granted yet
	outstanding int             // sum of asked
	lastDemand  time.Time       // time of the last demand
	cursor      int             // where leastAsked begins
}

// at returns the i-th target, counted from the nearest.
func (k *Class) at(i int) *Target {
	for _, ts := range k.byDistance {
		if i < len(ts) {
			return ts[i]
		}
		i -= len(ts)
	}
	panic("fleet: target index out of range")
}

// update adds t when it matches the class, and removes it otherwise.
func (k *Class) update(now time.Time, t *Target) {
	matches := t.usable && (k.agents == nil || k.agents[t.Name]) && k.Rule.AllowsTarget(t.labels) && k.sel.Matches(t.labels)
	if matches == k.members[t] {
		return
	}
	if matches {
		for len(k.byDistance) <= t.distance {
			k.byDistance = append(k.byDistance, nil)
		}
		k.byDistance[t.distance] = append(k.byDistance[t.distance], t)
		k.members[t] = true
		k.size++
		return
	}
	i := slices.Index(k.byDistance[t.distance], t)
	k.byDistance[t.distance] = slices.Delete(k.byDistance[t.distance], i, i+1)
	delete(k.members, t)
	k.dropDemand(t)
	k.size--
	if k.size == 0 {
		k.EmptySince = now
	}
}

// Pick returns at most n targets, the nearest first.
func (k *Class) Pick(rnd *rand.Rand, n int) []*Target {
	var out []*Target
	for _, ts := range k.byDistance {
		if len(ts) == 0 {
			continue
		}
		from := rnd.IntN(len(ts))
		for i := range min(n-len(out), len(ts)) {
			out = append(out, ts[(from+i)%len(ts)])
		}
	}
	return out
}

// Size returns the number of targets.
func (k *Class) Size() int { return k.size }

// Has reports whether t may take the work.
func (k *Class) Has(t *Target) bool { return k.members[t] }

// Share returns the name of the class's share, which is that of its rule.
func (k *Class) Share() string { return k.key.share }
