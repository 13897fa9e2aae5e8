package place

import (
	"slices"
	"time"

	"cyclamenrelay.example/label"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/rules"
	"cyclamenrelay.example/wire"
)

// recentStarts is how many starts are remembered that a report may not include yet.
const recentStarts = 8

// target is what the entry knows of an agent and its target.
type target struct {
	name        string
	info        model.Target // as announced
	labels      model.Labels // with the overlays applied
	near        int
	incarnation uint64
	seq         uint64
	heard       time.Time
	usable      bool // alive, not leaving and not drained
	drained     bool
	leaving     bool

	// free is the believed number of free slots, inflight the own unanswered starts.
	free     int
	inflight int
	recent   [recentStarts]time.Time
	next     int
	health   health
}

// load orders targets for the policies that queue at the agent.
func (t *target) load() int { return t.inflight - t.free }

// report takes over the free slots that the agent reported at now, less the
// starts that had not reached it.
func (t *target) report(now time.Time, free int, roundTrip time.Duration) {
	for _, at := range t.recent {
		if now.Sub(at) < roundTrip {
			free--
		}
	}
	t.free = min(free, t.info.Slots)
}

// push notes a start that uses a believed free slot.
func (t *target) push(now time.Time) {
	t.free--
	t.recent[t.next] = now
	t.next = (t.next + 1) % recentStarts
}

// announce takes over an announcement, and returns false when it is an old one.
func (t *target) announce(now time.Time, a wire.Announce, roundTrip time.Duration) bool {
	inc := a.Self.Incarnation
	if inc < t.incarnation || inc == t.incarnation && a.Seq <= t.seq {
		return false
	}
	if inc != t.incarnation {
		t.health = health{}
	}
	t.incarnation, t.seq, t.heard = inc, a.Seq, now
	t.leaving = a.Self.Leaving || a.Target == nil
	if a.Target != nil {
		t.info = *a.Target
	}
	t.report(now, a.Free, roundTrip)
	return true
}

// classKey identifies a class: a rule's work with one selector.
type classKey struct {
	share    string
	selector string
}

// class is the work of one rule with one selector, and the targets it may run on.
type class struct {
	key    classKey
	rule   *rules.Rule
	sel    label.Selector
	near   [][]*target // by distance of the data centre
	member map[*target]bool
	size   int
	// emptySince is when the last target went.
	emptySince time.Time
	used       time.Time

	queued      int
	asked       map[*target]int
	outstanding int
	asking      time.Time
	cursor      int
}

// at returns the i-th target.
func (c *class) at(i int) *target {
	for _, ts := range c.near {
		if i < len(ts) {
			return ts[i]
		}
		i -= len(ts)
	}
	panic("place: target index out of range")
}

// update adds or removes t as it now matches.
func (c *class) update(now time.Time, t *target) {
	want := t.usable && c.rule.Allows(t.labels) && c.sel.Matches(t.labels)
	if want == c.member[t] {
		return
	}
	if want {
		for len(c.near) <= t.near {
			c.near = append(c.near, nil)
		}
		c.near[t.near] = append(c.near[t.near], t)
		c.member[t] = true
		c.size++
		return
	}
	i := slices.Index(c.near[t.near], t)
	c.near[t.near] = slices.Delete(c.near[t.near], i, i+1)
	delete(c.member, t)
	c.outstanding -= c.asked[t]
	delete(c.asked, t)
	c.size--
	if c.size == 0 {
		c.emptySince = now
	}
}

// took notes that t granted one of the slots asked for.
func (c *class) took(t *target) bool {
	if c.asked[t] == 0 {
		return false
	}
	c.asked[t]--
	c.outstanding--
	return true
}

// forget drops what was asked of t.
func (c *class) forget(t *target) {
	c.outstanding -= c.asked[t]
	delete(c.asked, t)
}
