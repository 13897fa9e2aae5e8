// Package disk is the durable store of a process's Raft groups: their hard state,
// entries and snapshots, in one folder. All groups share a write-ahead log of
// numbered segments; each snapshot is a file.
//
// Concurrent writes share one sync (group commit). A store whose write or sync
// has failed refuses all later calls. Writes that were not acknowledged may or may
// not be there at the next Open.
package disk

import (
	"io"
	"maps"
	"slices"
	"sync"

	"cyclamenrelay.example/files"

	"github.com/gravitational/trace"
)

// Limits and defaults.
const (
	DefaultSegmentSize = 32 << 20 // bytes
	MaxBatch           = 32 << 20 // bytes of entries in one batch
	maxBatchEntries    = 1 << 16
	// maxSyncBytes, maxSyncBatches and maxSyncRecords bound the batches that share
	// one sync. A batch that is larger is synced on its own.
	maxSyncBytes   = 4 << 20
	maxSyncBatches = 1024
	maxBatchGroups = 1 << 10 // groups in one batch
	maxSyncRecords = 1 << 16
)

// Options configures a Store.
type Options struct {
	// Cluster and Node must be those that the folder was first opened with.
	Cluster string
	Node    string
	// SegmentSize is the size in bytes at which a segment is full, 0 for the default.
	SegmentSize int
	// Random is the source of the incarnation of a new folder, nil for crypto/rand.
	Random io.Reader
	// FS replaces the file system of the folder, nil for the operating system's.
	FS files.FS
}

// Update holds the changes of one group in a batch, applied in the order of the
// fields.
type Update struct {
	// Snapshot becomes the group's newest. It replaces the whole log when the log
	// does not hold an entry of its index and term.
	Snapshot *Snapshot
	// Truncate removes the entries from this index on, 0 for none.
	Truncate uint64
	// Entries are consecutive. They replace the log's entries from the first one's
	// index on.
	Entries []Entry
	// Hard replaces the hard state.
	Hard *HardState
}

// Batch holds updates by group. It is written as a whole or not at all. Its
// snapshots are made durable before its other changes.
type Batch map[uint32]Update

// GroupState is the durable state of a group.
type GroupState struct {
	Hard HardState
	// PrevIndex and PrevTerm are the index and term of the entry before the first
	// of Entries.
	PrevIndex, PrevTerm uint64
	Entries             []Entry
	Snapshot            *Snapshot
}

// Store is an open folder. Its methods may be called concurrently.
type Store struct {
	fs          files.FS
	identity    files.Identity
	created     bool
	segmentSize int
	unlock      func() error

	mu           sync.Mutex
	cond         *sync.Cond
	queue        []*pendingWrite // writes that wait for a sync
	groups       map[uint32]*groupLog
	lastSnapshot uint64 // number of the newest snapshot file
	failure      error  // the first failed write or sync
	closed       bool
	stopped      chan struct{} // closed when commitLoop has returned
	// snapshotWrites counts the snapshots being written.
	snapshotWrites sync.WaitGroup

	// Used by commitLoop, and before and after it runs.
	frameSeq          uint64     // number of the last frame
	segment           uint64     // number of the current segment
	oldestSegment     uint64     // number of the oldest segment
	segmentFile       files.File // the current segment
	segmentBytes      int        // size of the current segment in bytes
	obsoleteSnapshots []uint64   // snapshot files to remove after the next commit
}

// Open opens the folder, which it makes if missing. The errors are a
// trace.AlreadyExists when another process has the folder open, a
// trace.CompareFailed when it belongs to another cluster or node, and a
// files.Damage when files are damaged or missing.
func Open(folder string, o Options) (*Store, error) {
	if o.SegmentSize == 0 {
		o.SegmentSize = DefaultSegmentSize
	}
	if o.FS == nil {
		fs, err := files.Folder(folder)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		o.FS = fs
	}
	unlock, err := o.FS.Lock()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s := &Store{
		fs: o.FS, segmentSize: o.SegmentSize, unlock: unlock,
		groups: map[uint32]*groupLog{}, stopped: make(chan struct{}),
	}
	s.cond = sync.NewCond(&s.mu)
	if err := s.load(o); err != nil {
		_, _ = s.closeSegment(), unlock()
		return nil, err
	}
	go s.commitLoop()
	return s, nil
}

// load reads the folder and begins a new segment.
func (s *Store) load(o Options) error {
	l, err := listFiles(s.fs)
	if err != nil {
		return trace.Wrap(err)
	}
	for _, name := range l.tempFiles {
		if err := s.fs.Remove(name); err != nil {
			return trace.Wrap(err)
		}
	}
	if err := s.loadIdentity(l, o); err != nil {
		return trace.Wrap(err)
	}
	if err := s.replay(l.segments); err != nil {
		return err
	}
	if err := s.checkSnapshots(l.snapshots); err != nil {
		return err
	}
	s.oldestSegment = 1
	if n := len(l.segments); n > 0 {
		s.oldestSegment, s.segment = l.segments[0], l.segments[n-1]
	}
	return trace.Wrap(s.rotate())
}

// loadIdentity reads the identity of the folder. A folder without segments is new, or
// has lost its contents; it gets a new incarnation.
func (s *Store) loadIdentity(l folderFiles, o Options) (err error) {
	if len(l.segments) == 0 {
		if len(l.snapshots) > 0 {
			return trace.Wrap(files.DamageError{File: segmentName(1), Reason: "the folder has snapshots but no log segments"})
		}
		s.created = true
		s.identity, err = files.MakeIdentity(s.fs, o.Cluster, o.Node, o.Random)
		return trace.Wrap(err)
	}
	if !l.hasIdentity {
		return trace.Wrap(files.DamageError{File: files.IdentityFile, Reason: "the file is missing"})
	}
	if s.identity, err = files.ReadIdentity(s.fs); err != nil {
		return trace.Wrap(err)
	}
	if s.identity.Cluster != o.Cluster || s.identity.Node != o.Node {
		return trace.CompareFailed("the folder belongs to node %q of cluster %q, not to %q of %q",
			s.identity.Node, s.identity.Cluster, o.Node, o.Cluster)
	}
	return nil
}

// checkSnapshots verifies the snapshot files that groups refer to and removes all
// others.
func (s *Store) checkSnapshots(files []uint64) error {
	used := map[uint64]bool{}
	for id, g := range s.groups {
		if g.snap == nil {
			continue
		}
		used[g.snap.File] = true
		s.lastSnapshot = max(s.lastSnapshot, g.snap.File)
		if _, err := s.readSnapshot(id, *g.snap); err != nil {
			return trace.Wrap(err)
		}
	}
	for _, n := range files {
		s.lastSnapshot = max(s.lastSnapshot, n)
		if used[n] {
			continue
		}
		if err := s.fs.Remove(snapName(n)); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func (s *Store) readSnapshot(group uint32, ref snapRef) (Snapshot, error) {
	return readSnapshot(s.fs, files.Salt{Incarnation: s.identity.Incarnation, File: ref.File}, group, ref)
}

// Identity returns the identity of the folder, and whether this Open created it.
func (s *Store) Identity() (id files.Identity, created bool) { return s.identity, s.created }

// Groups returns all groups that were ever written, in ascending order.
func (s *Store) Groups() []uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.groups))
}

// Load returns the state of a group as last written, the zero value for a new
// group. It copies the entries and reads the snapshot's file, and is meant for
// the time after Open. The error is a trace.ConnectionProblem when the store has
// failed or is closed, and a files.Damage when the snapshot cannot be read.
func (s *Store) Load(group uint32) (GroupState, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkUsable(); err != nil {
		return GroupState{}, err
	}
	g, ok := s.groups[group]
	if !ok {
		return GroupState{}, nil
	}
	l := GroupState{Hard: g.hard, PrevIndex: g.prev.Index, PrevTerm: g.prev.Term, Entries: append([]Entry(nil), g.entries...)}
	if g.snap == nil {
		return l, nil
	}
	snap, err := s.readSnapshot(group, *g.snap)
	l.Snapshot = &snap
	return l, trace.Wrap(err)
}

// groupFor returns the state of a group, which it adds if new.
func (s *Store) groupFor(id uint32) *groupLog {
	g, ok := s.groups[id]
	if !ok {
		g = &groupLog{}
		s.groups[id] = g
	}
	return g
}

// lookup returns the state of a group, an empty one if it is new.
func (s *Store) lookup(id uint32) *groupLog {
	if g, ok := s.groups[id]; ok {
		return g
	}
	return &groupLog{}
}

// checkUsable returns an error when the store has failed or is closed.
func (s *Store) checkUsable() error {
	if s.failure != nil {
		return trace.ConnectionProblem(s.failure, "the disk store has failed: %v", s.failure)
	}
	if s.closed {
		return trace.ConnectionProblem(nil, "the disk store is closed")
	}
	return nil
}
