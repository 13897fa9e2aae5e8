package disk

import (
	"maps"
	"slices"

	"cyclamenrelay.example/files"

	"github.com/gravitational/trace"
)

// relogShare is the part of a segment that may be filled with entries moved
// from old segments.
const relogShare = 4

// rotate begins a new segment. Its first frame holds the state of all groups
// and the entries of groups with few old ones, so that old segments can go.
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

// carry returns the records that begin the segment next.
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

// removeSegments removes the segments before the oldest that a group needs.
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
		// The next removal must not become durable before this one.
		if err := s.fs.SyncDir(); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}
