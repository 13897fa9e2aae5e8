// Package fleet holds what an entry knows of its targets: which may take which
// work, how many slots they have free, and how far their outcomes are trusted.
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

// recentStarts is how many starts are remembered that a report may not include yet.
const recentStarts = 8

// Target is what the entry knows of an agent and its target.
type Target struct {
	// Name is the agent's.
	Name string
	// Free is the believed number of free slots, Inflight the own unanswered starts.
	Free     int
	Inflight int

	info        model.Target // as announced
	labels      model.Labels // with the overlays applied
	near        int
	incarnation uint64
	seq         uint64
	heard       time.Time
	usable      bool // alive, not leaving and not drained
	leaving     bool

	recent [recentStarts]time.Time
	next   int
	health health
}

// load orders targets for the policies that queue at the agent.
func (t *Target) load() int { return t.Inflight - t.Free }

// report takes over the free slots that the agent reported at now, less the
// starts that had not reached it.
func (t *Target) report(now time.Time, free int, roundTrip time.Duration) {
	for _, at := range t.recent {
		if now.Sub(at) < roundTrip {
			free--
		}
	}
	t.Free = min(free, t.info.Slots)
}

// Push notes a start that uses a believed free slot.
func (t *Target) Push(now time.Time) {
	t.Free--
	t.recent[t.next] = now
	t.next = (t.next + 1) % recentStarts
}

// announce takes over an announcement, and returns false when it is an old one.
func (t *Target) announce(now time.Time, a wire.Announce, roundTrip time.Duration) bool {
	inc := a.Self.Incarnation
	if inc < t.incarnation || inc == t.incarnation && a.Seq <= t.seq {
		return false
	}
	if inc != t.incarnation {
		t.health = health{}
		t.Inflight = 0
	}
	t.incarnation, t.seq, t.heard = inc, a.Seq, now
	t.leaving = a.Self.Leaving || a.Target == nil
	if a.Target != nil {
		t.info = *a.Target
	}
	t.report(now, a.Free, roundTrip)
	return true
}

// TargetName returns the target's own name.
func (t *Target) TargetName() string { return t.info.Name }

// Incarnation returns the agent's incarnation; starts at an earlier one are lost.
func (t *Target) Incarnation() uint64 { return t.incarnation }

// Allows reports whether t may get another start now. On probation it gets
// single trials, of idempotent work only.
func (t *Target) Allows(now time.Time, idempotent bool) bool {
	return t.health.allow(now, t.Inflight) && (idempotent || !t.health.probation)
}

// Pulls reports whether queued work may be started on t.
func (t *Target) Pulls(now time.Time) bool {
	return t.usable && !t.health.probation && t.health.allow(now, t.Inflight)
}

// classKey identifies a class: a rule's work with one selector, or a job's when
// it is limited to some agents.
type classKey struct {
	share    string
	selector string
	job      string
}

// Class is the work of one rule with one selector, and the targets it may run on.
type Class struct {
	Rule *rules.Rule
	// Queued is the number of queued requests.
	Queued int
	// EmptySince is when the last target went.
	EmptySince time.Time

	key    classKey
	sel    label.Selector
	agents map[string]bool // the only ones, nil for any
	near   [][]*Target     // by distance of the data centre
	member map[*Target]bool
	size   int
	used   time.Time

	asked       map[*Target]int
	outstanding int
	asking      time.Time
	cursor      int
}

// at returns the i-th target.
func (k *Class) at(i int) *Target {
	for _, ts := range k.near {
		if i < len(ts) {
			return ts[i]
		}
		i -= len(ts)
	}
	panic("fleet: target index out of range")
}

// update adds or removes t as it now matches.
func (k *Class) update(now time.Time, t *Target) {
	want := t.usable && (k.agents == nil || k.agents[t.Name]) && k.Rule.Allows(t.labels) && k.sel.Matches(t.labels)
	if want == k.member[t] {
		return
	}
	if want {
		for len(k.near) <= t.near {
			k.near = append(k.near, nil)
		}
		k.near[t.near] = append(k.near[t.near], t)
		k.member[t] = true
		k.size++
		return
	}
	i := slices.Index(k.near[t.near], t)
	k.near[t.near] = slices.Delete(k.near[t.near], i, i+1)
	delete(k.member, t)
	k.forget(t)
	k.size--
	if k.size == 0 {
		k.EmptySince = now
	}
}

// Pick returns at most n targets, the nearest first.
func (k *Class) Pick(rnd *rand.Rand, n int) []*Target {
	var out []*Target
	for _, ts := range k.near {
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
func (k *Class) Has(t *Target) bool { return k.member[t] }

// Share returns the name of the rule.
func (k *Class) Share() string { return k.key.share }
