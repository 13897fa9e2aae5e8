package disk

import (
	"maps"
	"slices"

	"cyclamenrelay.example/files"

	"github.com/gravitational/trace"
)

// pendingWrite is a write that waits for its sync. done gets its outcome.
type pendingWrite struct {
	records []record
	bytes   int
	done    chan error
}

// Write returns once the batch is durable. The error is a trace.BadParameter when
// the batch does not continue the groups' state, a trace.LimitExceeded when it is
// too large, and a trace.ConnectionProblem when the store has failed or is closed.
func (s *Store) Write(b Batch) error {
	p := &pendingWrite{done: make(chan error, 1)}
	count := 0
	for _, id := range slices.Sorted(maps.Keys(b)) {
		u := b[id]
		for _, e := range u.Entries {
			p.bytes += len(e.Data) + entryOverhead
		}
		count += len(u.Entries)
		p.records = append(p.records, record{Group: id, Truncate: u.Truncate, Entries: u.Entries, Hard: u.Hard})
	}
	if p.bytes > MaxBatch || count > maxBatchEntries || len(b) > maxBatchGroups {
		return trace.LimitExceeded("the batch has %d bytes, %d entries and %d groups, at most %d, %d and %d are allowed",
			p.bytes, count, len(b), MaxBatch, maxBatchEntries, maxBatchGroups)
	}
	for i, r := range p.records {
		if snap := b[r.Group].Snapshot; snap != nil {
			ref, err := s.saveSnapshot(r.Group, *snap)
			if err != nil {
				return trace.Wrap(err)
			}
			p.records[i].Snapshot = &ref
		}
	}
	return s.enqueue(p)
}

// Compact removes the entries of the group up to index. The error is a
// trace.BadParameter when index is after the newest snapshot, and a
// trace.ConnectionProblem when the store has failed or is closed.
func (s *Store) Compact(group uint32, index uint64) error {
	s.mu.Lock()
	g, ok := s.groups[group]
	if !ok || g.snap == nil || index > g.snap.Position.Index {
		s.mu.Unlock()
		return trace.BadParameter("group %d has no snapshot at or after %d", group, index)
	}
	at, ok := g.position(index)
	s.mu.Unlock()
	if !ok {
		return nil
	}
	return s.enqueue(&pendingWrite{done: make(chan error, 1), records: []record{{Group: group, Compact: &at}}})
}

// Close waits for the writes in progress, then closes and unlocks the folder.
func (s *Store) Close() error {
	s.mu.Lock()
	first := !s.closed
	s.closed = true
	s.cond.Signal()
	s.mu.Unlock()
	<-s.stopped
	if !first {
		return nil
	}
	s.snapshotWrites.Wait()
	var err error
	if s.failure == nil {
		// An empty last frame proves that the one before was synced, so that
		// damage to that is not taken for an unfinished write.
		err = s.commit(nil)
	}
	return trace.NewAggregate(err, s.closeSegment(), s.unlock())
}

func (s *Store) closeSegment() error {
	if s.segmentFile == nil {
		return nil
	}
	return trace.Wrap(s.segmentFile.Close())
}

// enqueue hands a write to commitLoop and waits for its outcome.
func (s *Store) enqueue(p *pendingWrite) error {
	s.mu.Lock()
	if err := s.checkUsable(); err != nil {
		s.mu.Unlock()
		return err
	}
	s.queue = append(s.queue, p)
	s.cond.Signal()
	s.mu.Unlock()
	return <-p.done
}

// saveSnapshot makes a snapshot durable in a file of its own.
func (s *Store) saveSnapshot(group uint32, snap Snapshot) (snapRef, error) {
	s.mu.Lock()
	if err := s.checkUsable(); err != nil {
		s.mu.Unlock()
		return snapRef{}, err
	}
	s.snapshotWrites.Add(1)
	defer s.snapshotWrites.Done()
	s.lastSnapshot++
	ref := snapRef{Position: position{snap.Index, snap.Term}, File: s.lastSnapshot}
	s.mu.Unlock()
	if err := writeSnapshot(s.fs, files.Salt{Incarnation: s.identity.Incarnation, File: ref.File}, group, snap); err != nil {
		return snapRef{}, s.fail(err)
	}
	return ref, nil
}

// fail makes the store refuse all later calls, and returns their error.
func (s *Store) fail(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure == nil {
		s.failure = err
	}
	return s.checkUsable()
}

// commitLoop commits the queued writes until the store is closed.
func (s *Store) commitLoop() {
	defer close(s.stopped)
	for {
		group, records := s.takeWrites()
		if group == nil {
			return
		}
		var err error
		if len(records) > 0 {
			if err = s.commit(records); err != nil {
				err = s.fail(err)
			}
		}
		for _, p := range group {
			p.done <- err
		}
	}
}

// takeWrites waits for writes and removes as many from the queue as may share a
// sync. It answers those that do not continue their groups' state, and returns the
// others, applied, with their records. It returns nil when the store is closed and
// the queue is empty.
func (s *Store) takeWrites() (group []*pendingWrite, records []record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.queue) == 0 && !s.closed {
		s.cond.Wait()
	}
	bytes, n := 0, 0
	group = make([]*pendingWrite, 0, len(s.queue))
	for ; n < len(s.queue) && n < maxSyncBatches; n++ {
		p := s.queue[n]
		if n > 0 && (bytes+p.bytes > maxSyncBytes || len(records)+len(p.records) > maxSyncRecords) {
			break
		}
		if err := s.admit(p); err != nil {
			p.done <- err
			continue
		}
		bytes += p.bytes
		group = append(group, p)
		records = append(records, p.records...)
	}
	s.queue = slices.Delete(s.queue, 0, n)
	if n == 0 {
		return nil, nil
	}
	return group, records
}

// admit applies p to the state of its groups if the store is usable and p
// continues that state.
func (s *Store) admit(p *pendingWrite) error {
	if s.failure != nil {
		return s.checkUsable()
	}
	for i := range p.records {
		r := &p.records[i]
		if err := s.lookup(r.Group).checkRecord(r); err != nil {
			s.discardSnapshots(p)
			return err
		}
	}
	for _, r := range p.records {
		g := s.groupFor(r.Group)
		if r.Snapshot != nil && g.snap != nil {
			s.obsoleteSnapshots = append(s.obsoleteSnapshots, g.snap.File)
		}
		g.apply(r, s.segment)
	}
	return nil
}

// discardSnapshots marks the snapshot files of a refused write for removal.
func (s *Store) discardSnapshots(p *pendingWrite) {
	for _, r := range p.records {
		if r.Snapshot != nil {
			s.obsoleteSnapshots = append(s.obsoleteSnapshots, r.Snapshot.File)
		}
	}
}

// commit writes and syncs the records as one frame. Then it removes the snapshots
// that they replaced, or begins a new segment if this one is full.
func (s *Store) commit(records []record) error {
	b, err := appendRecords(nil, files.Salt{Incarnation: s.identity.Incarnation, File: s.segment}, s.frameSeq+1, records)
	if err != nil {
		return err
	}
	if _, err = s.segmentFile.Write(b); err == nil {
		err = s.segmentFile.Sync()
	}
	if err != nil {
		return trace.Wrap(err)
	}
	s.frameSeq++
	s.segmentBytes += len(b)
	if s.segmentBytes >= s.segmentSize {
		return s.rotate()
	}
	return s.removeSnapshots()
}

// removeSnapshots removes the obsolete snapshot files.
func (s *Store) removeSnapshots() error {
	for _, n := range s.obsoleteSnapshots {
		if err := s.fs.Remove(snapName(n)); err != nil {
			return trace.Wrap(err)
		}
	}
	s.obsoleteSnapshots = nil
	return nil
}
