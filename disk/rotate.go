package disk

import (
	"maps"
	"slices"

	"cyclamenrelay.example/files"

	"github.com/gravitational/trace"
)

// copyDivisor bounds the entries that are copied from old segments to a new one:
// their bytes may fill one copyDivisor-th of the segment size.
const copyDivisor = 4

// rotate begins a new segment and removes segments and snapshots that are no
// longer needed. The first frame of a segment holds the state of all groups. For
// groups with few entries in old segments it also holds the entries, so that
// these groups do not keep the old segments.
func (s *Store) rotate() error {
	s.mu.Lock()
	next := s.segment + 1
	records := s.firstRecords(next)
	s.mu.Unlock()

	salt := files.Salt{Incarnation: s.identity.Incarnation, File: next}
	b := files.AppendHeader(nil, salt, s.frameSeq+1)
	b, err := appendRecords(b, salt, s.frameSeq+1, records)
	if err != nil {
		return err
	}
	name := segmentName(next)
	if err := files.WriteAtomic(s.fs, name, b); err != nil {
		return err
	}
	if err := s.closeSegment(); err != nil {
		return err
	}
	if s.segmentFile, err = s.fs.Append(name); err != nil {
		return trace.Wrap(err)
	}
	s.mu.Lock()
	s.segment = next
	s.mu.Unlock()
	s.frameSeq++
	s.segmentBytes = len(b)
	if err := s.removeSnapshots(); err != nil {
		return err
	}
	return s.removeSegments()
}

// firstRecords returns the records for the first frame of the segment next.
func (s *Store) firstRecords(next uint64) []record {
	room := s.segmentSize / copyDivisor
	var records []record
	for _, id := range slices.Sorted(maps.Keys(s.groups)) {
		g := s.groups[id]
		r := g.baseRecord(id)
		if n := g.entryBytes(); g.oldestSegment(next)+1 < next && n <= room && len(g.entries) <= maxBatchEntries {
			room -= n
			r.ReplacesLog, r.Entries = true, slices.Clone(g.entries)
			g.apply(r, next)
		}
		records = append(records, r)
	}
	return records
}

// removeSegments removes the segments before the oldest one that holds a group's
// entries.
func (s *Store) removeSegments() error {
	s.mu.Lock()
	needed := s.segment
	for _, g := range s.groups {
		needed = min(needed, g.oldestSegment(s.segment))
	}
	s.mu.Unlock()
	for ; s.oldestSegment < needed; s.oldestSegment++ {
		if err := s.fs.Remove(segmentName(s.oldestSegment)); err != nil {
			return trace.Wrap(err)
		}
		// Removals must become durable in order: a missing segment between others
		// counts as damage at Open.
		if err := s.fs.SyncDir(); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}
