package disk

import (
	"slices"

	"github.com/gravitational/trace"
)

// entryOverhead is the size in bytes of an entry besides its data, at most.
const entryOverhead = 32

// groupLog is what the store knows of one group.
type groupLog struct {
	hard Hard
	// prev is the position before the first entry.
	prev    position
	entries []Entry
	// segments holds the segment of each entry.
	segments []uint64
	snap     *snapRef
	// gap is set while a replay has met entries that do not follow the earlier ones.
	gap bool
}

func (g *groupLog) last() uint64 { return g.prev.Index + uint64(len(g.entries)) }

func (g *groupLog) bytes() int {
	n := 0
	for _, e := range g.entries {
		n += len(e.Data) + entryOverhead
	}
	return n
}

// oldest returns the oldest segment that holds an entry of the group, or none.
func (g *groupLog) oldest(none uint64) uint64 {
	if len(g.segments) == 0 {
		return none
	}
	return slices.Min(g.segments)
}

// position returns the position of index, which is at prev or among the entries.
func (g *groupLog) position(index uint64) (position, bool) {
	if index == g.prev.Index {
		return g.prev, true
	}
	if index < g.prev.Index || index > g.last() {
		return position{}, false
	}
	return position{index, g.entries[index-g.prev.Index-1].Term}, true
}

// check says whether r follows the state of the group, and completes it: a
// snapshot that does not match the log replaces all entries.
func (g *groupLog) check(r *record) error {
	if err := g.checkHard(*r); err != nil {
		return err
	}
	if c := r.Compact; c != nil && c.Index > g.prev.Index {
		if p, ok := g.position(c.Index); !ok || p != *c {
			return trace.BadParameter("group %d: compaction to %d does not match the log", r.Group, c.Index)
		}
	}
	prev, last := g.prev.Index, g.last()
	if r.Snapshot != nil {
		at := r.Snapshot.At
		if g.snap != nil && at.Index < g.snap.At.Index {
			return trace.BadParameter("group %d: snapshot %d is before %d", r.Group, at.Index, g.snap.At.Index)
		}
		if p, ok := g.position(at.Index); !ok || p.Term != at.Term {
			r.Whole, r.Compact = true, &at
			prev, last = at.Index, at.Index
		}
	}
	return checkEntries(*r, prev, last)
}

func (g *groupLog) checkHard(r record) error {
	h := r.Hard
	if h == nil {
		return nil
	}
	if h.Term < g.hard.Term {
		return trace.BadParameter("group %d: term %d is before %d", r.Group, h.Term, g.hard.Term)
	}
	if h.Term == g.hard.Term && g.hard.Vote != "" && h.Vote != g.hard.Vote {
		return trace.BadParameter("group %d: vote of term %d is %s already", r.Group, h.Term, g.hard.Vote)
	}
	return nil
}

// checkEntries says whether r follows a log of the entries after prev to last.
func checkEntries(r record, prev, last uint64) error {
	if r.Truncate != 0 {
		if r.Truncate <= prev {
			return trace.BadParameter("group %d: truncation at %d is not after %d", r.Group, r.Truncate, prev)
		}
		last = min(last, r.Truncate-1)
	}
	for i, e := range r.Entries {
		first := r.Entries[0].Index
		if first <= prev || first > last+1 || e.Index != first+uint64(i) {
			return trace.BadParameter("group %d: entry %d does not follow %d to %d", r.Group, e.Index, prev, last)
		}
	}
	return nil
}

// apply brings the group to the state after r, which is in the segment.
func (g *groupLog) apply(r record, segment uint64) {
	if r.Snapshot != nil {
		g.snap = r.Snapshot
	}
	if r.Compact != nil {
		if r.Whole {
			g.entries, g.segments, g.gap = nil, nil, false
			g.prev = *r.Compact
		} else {
			g.compact(*r.Compact)
		}
	}
	if r.Truncate != 0 {
		g.truncate(r.Truncate)
	}
	if len(r.Entries) > 0 {
		g.append(r.Entries, segment)
	}
	if r.Hard != nil {
		g.hard = *r.Hard
	}
}

func (g *groupLog) truncate(from uint64) {
	if from <= g.prev.Index {
		g.entries, g.segments = nil, nil
		return
	}
	if n := from - g.prev.Index - 1; n < uint64(len(g.entries)) {
		g.entries, g.segments = slices.Clip(g.entries[:n]), slices.Clip(g.segments[:n])
	}
}

func (g *groupLog) compact(to position) {
	if to.Index < g.prev.Index {
		return
	}
	n := min(to.Index-g.prev.Index, uint64(len(g.entries)))
	g.entries, g.segments = slices.Clone(g.entries[n:]), slices.Clone(g.segments[n:])
	g.prev, g.gap = to, false
}

func (g *groupLog) append(entries []Entry, segment uint64) {
	first := entries[0].Index
	if first > g.last()+1 || first <= g.prev.Index {
		// Only a replay gets here: what came before stood in a deleted segment.
		g.entries, g.segments, g.gap = nil, nil, true
		g.prev = position{Index: first - 1}
	}
	g.truncate(first)
	for _, e := range entries {
		g.entries = append(g.entries, e)
		g.segments = append(g.segments, segment)
	}
}

// base returns the group's state without entries.
func (g *groupLog) base(group uint32) record {
	hard, prev := g.hard, g.prev
	return record{Group: group, Snapshot: g.snap, Compact: &prev, Hard: &hard}
}
