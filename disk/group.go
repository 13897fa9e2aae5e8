package disk

import (
	"slices"

	"github.com/gravitational/trace"
)

// entryOverhead is the largest encoded size of an entry without its data, in bytes.
const entryOverhead = 32

// groupLog is the state of one group in memory.
type groupLog struct {
	hard HardState
	// prev is the position before the first entry.
	prev    position
	entries []Entry
	// segments holds the number of the segment that holds each entry.
	segments []uint64
	snap     *snapRef
	// gap is set while a replay has found entries that do not continue the earlier
	// ones. A later record that compacts or replaces the log clears it.
	gap bool
}

func (g *groupLog) last() uint64 { return g.prev.Index + uint64(len(g.entries)) }

// entryBytes returns the size of the entries, as counted against the limits.
func (g *groupLog) entryBytes() int {
	n := 0
	for _, e := range g.entries {
		n += len(e.Data) + entryOverhead
	}
	return n
}

// oldestSegment returns the number of the oldest segment that holds an entry of the
// group. It returns the argument none when the group has no entries.
func (g *groupLog) oldestSegment(none uint64) uint64 {
	if len(g.segments) == 0 {
		return none
	}
	return slices.Min(g.segments)
}

// position returns the position at index, false when that is neither at prev nor
// among the entries.
func (g *groupLog) position(index uint64) (position, bool) {
	if index == g.prev.Index {
		return g.prev, true
	}
	if index < g.prev.Index || index > g.last() {
		return position{}, false
	}
	return position{index, g.entries[index-g.prev.Index-1].Term}, true
}

// checkRecord returns an error unless r continues the state of the group. When the
// log does not hold the position of r's snapshot, it completes r so that it
// replaces the whole log.
func (g *groupLog) checkRecord(r *record) error {
	if err := g.checkHard(*r); err != nil {
		return err
	}
	if c := r.Compact; c != nil && c.Index > g.prev.Index {
		if p, ok := g.position(c.Index); !ok || p != *c {
			return trace.BadParameter("group %d: compaction up to entry %d does not match the log", r.Group, c.Index)
		}
	}
	prev, last := g.prev.Index, g.last()
	if r.Snapshot != nil {
		at := r.Snapshot.Position
		if g.snap != nil && at.Index < g.snap.Position.Index {
			return trace.BadParameter("group %d: snapshot at index %d is older than the newest one at %d", r.Group, at.Index, g.snap.Position.Index)
		}
		if p, ok := g.position(at.Index); !ok || p.Term != at.Term {
			r.ReplacesLog, r.Compact = true, &at
			prev, last = at.Index, at.Index
		}
	}
	return checkEntries(*r, prev, last)
}

// checkHard returns an error when r goes back to an older term, or changes the
// vote within a term.
func (g *groupLog) checkHard(r record) error {
	h := r.Hard
	if h == nil {
		return nil
	}
	if h.Term < g.hard.Term {
		return trace.BadParameter("group %d: term %d is older than the stored term %d", r.Group, h.Term, g.hard.Term)
	}
	if h.Term == g.hard.Term && g.hard.Vote != "" && h.Vote != g.hard.Vote {
		return trace.BadParameter("group %d: the vote of term %d was given to %s already", r.Group, h.Term, g.hard.Vote)
	}
	return nil
}

// checkEntries returns an error unless the truncation and the entries of r fit a
// log that holds the entries after prev up to last.
func checkEntries(r record, prev, last uint64) error {
	if r.Truncate != 0 {
		if r.Truncate <= prev {
			return trace.BadParameter("group %d: truncation from index %d reaches into the compacted entries up to %d", r.Group, r.Truncate, prev)
		}
		last = min(last, r.Truncate-1)
	}
	for i, e := range r.Entries {
		first := r.Entries[0].Index
		if first <= prev || first > last+1 || e.Index != first+uint64(i) {
			return trace.BadParameter("group %d: entry %d does not continue a log after %d and up to %d", r.Group, e.Index, prev, last)
		}
	}
	return nil
}

// apply applies the record r, which is stored in the segment, to the group.
func (g *groupLog) apply(r record, segment uint64) {
	if r.Snapshot != nil {
		g.snap = r.Snapshot
	}
	if r.Compact != nil {
		if r.ReplacesLog {
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
		g.appendEntries(r.Entries, segment)
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

// appendEntries adds consecutive entries, which replace those from their first
// index on.
func (g *groupLog) appendEntries(entries []Entry, segment uint64) {
	first := entries[0].Index
	if first > g.last()+1 || first <= g.prev.Index {
		// Happens only in a replay, when the entries before were in a segment that
		// has been removed.
		g.entries, g.segments, g.gap = nil, nil, true
		g.prev = position{Index: first - 1}
	}
	g.truncate(first)
	for _, e := range entries {
		g.entries = append(g.entries, e)
		g.segments = append(g.segments, segment)
	}
}

// baseRecord returns the group's state without its entries, as a record.
func (g *groupLog) baseRecord(group uint32) record {
	hard, prev := g.hard, g.prev
	return record{Group: group, Snapshot: g.snap, Compact: &prev, Hard: &hard}
}
