package disk

import (
	"maps"
	"slices"

	"cyclamenrelay.example/files"

	"github.com/gravitational/trace"
)

// relogShare bounds the entries that are copied from old segments to a new one:
// their bytes may fill one relogShare-th of the segment size.
const relogShare = 4

// rotate begins a new segment and removes segments and snapshots that are no
// longer needed. The first frame of a segment holds the state of all groups. For
// groups with few entries in old segments it also holds the entries, so that
// these groups do not keep the old segments.
func (s *Store) rotate() error {
	s.mu.Lock()
	next := s.segment + 1
	records := s.carry(next)
	s.mu.Unlock()

	key := files.Salt{Incarnation: s.identity.Incarnation, File: next}
	b := files.AppendHeader(nil, key, s.seq+1)
	b, err := appendRecords(b, key, s.seq+1, records)
	if err != nil {
		return err
	}
	name := segmentName(next)
	if err := files.Write(s.fs, name, b); err != nil {
		return err
	}
	if err := s.closeFile(); err != nil {
		return err
	}
	if s.file, err = s.fs.Append(name); err != nil {
		return trace.Wrap(err)
	}
	s.mu.Lock()
	s.segment = next
	s.mu.Unlock()
	s.seq++
	s.written = len(b)
	if err := s.removeSnapshots(); err != nil {
		return err
	}
	return s.removeSegments()
}

// carry returns the records for the first frame of the segment next.
func (s *Store) carry(next uint64) []record {
	room := s.size / relogShare
	var records []record
	for _, id := range slices.Sorted(maps.Keys(s.groups)) {
		g := s.groups[id]
		r := g.base(id)
		if n := g.bytes(); g.oldest(next)+1 < next && n <= room && len(g.entries) <= maxBatchEntries {
			room -= n
			r.Whole, r.Entries = true, slices.Clone(g.entries)
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
		needed = min(needed, g.oldest(s.segment))
	}
	s.mu.Unlock()
	for ; s.oldest < needed; s.oldest++ {
		if err := s.fs.Remove(segmentName(s.oldest)); err != nil {
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
