// Package disk keeps the durable state of many replicated-log groups under one
// folder: their hard state, entries and snapshots.
//
// Concurrent writes share one sync. A store whose write or sync has failed
// refuses everything after; what was not acknowledged may or may not be there
// at the next Open.
package disk

import (
	"crypto/rand"
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
	// shareBytes and shareBatches bound what joins one sync.
	shareBytes   = 4 << 20
	shareBatches = 1024
	maxGroups    = 1 << 10 // groups in one batch
	shareRecords = 1 << 16
)

// Options says whose folder is opened and how.
type Options struct {
	// Cluster and Node must be those the folder was first opened with.
	Cluster string
	Node    string
	// SegmentSize is the size in bytes after which a new segment is begun, 0 for the default.
	SegmentSize int
	// Random gives the incarnation of a new folder, nil for crypto/rand.
	Random io.Reader
	// FS replaces the file system of the folder.
	FS files.FS
}

// Update is what one batch changes in one group, applied in the order of the fields.
type Update struct {
	// Snapshot becomes the newest. When the log does not hold its position, it
	// replaces the whole log.
	Snapshot *Snapshot
	// Truncate removes the entries from this index on, 0 for none.
	Truncate uint64
	// Entries are consecutive; they replace those from the first one's index on.
	Entries []Entry
	// Hard replaces the hard state.
	Hard *Hard
}

// Batch holds the updates of groups. It is written as a whole or not at all. Its snapshots are durable first.
type Batch map[uint32]Update

// Loaded is the durable state of a group.
type Loaded struct {
	Hard Hard
	// PrevIndex and PrevTerm are the position before the first entry.
	PrevIndex, PrevTerm uint64
	Entries             []Entry
	Snapshot            *Snapshot
}

// Store is an open folder. Its methods may be called concurrently.
type Store struct {
	fs       files.FS
	identity files.Identity
	created  bool
	size     int
	unlock   func() error

	mu       sync.Mutex
	cond     *sync.Cond
	queue    []*pending
	groups   map[uint32]*groupLog
	lastSnap uint64
	failure  error
	closed   bool
	stopped  chan struct{}

	// The committer's own.
	seq      uint64
	segment  uint64
	oldest   uint64
	file     files.File
	written  int
	obsolete []uint64
}

// Open opens the folder and makes it when missing. The errors are a
// trace.AlreadyExists when another process has it open, a trace.CompareFailed
// when it belongs to another cluster or node, and a Damage.
func Open(folder string, o Options) (*Store, error) {
	if o.SegmentSize == 0 {
		o.SegmentSize = DefaultSegmentSize
	}
	if o.Random == nil {
		o.Random = rand.Reader
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
		fs: o.FS, size: o.SegmentSize, unlock: unlock,
		groups: map[uint32]*groupLog{}, stopped: make(chan struct{}),
	}
	s.cond = sync.NewCond(&s.mu)
	if err := s.load(o); err != nil {
		_, _ = s.closeFile(), unlock()
		return nil, err
	}
	go s.commitLoop()
	return s, nil
}

func (s *Store) load(o Options) error {
	l, err := list(s.fs)
	if err != nil {
		return trace.Wrap(err)
	}
	for _, name := range l.temps {
		if err := s.fs.Remove(name); err != nil {
			return trace.Wrap(err)
		}
	}
	if err := s.identify(l, o); err != nil {
		return trace.Wrap(err)
	}
	if err := s.replay(l.segments); err != nil {
		return err
	}
	if err := s.checkSnapshots(l.snapshots); err != nil {
		return err
	}
	s.oldest, s.segment = 1, 0
	if len(l.segments) > 0 {
		s.oldest, s.segment = l.segments[0], l.segments[len(l.segments)-1]
	}
	return trace.Wrap(s.rotate())
}

// identify reads the identity of the folder. A folder without segments has
// lost whatever it may have held, so that it gets a new incarnation.
func (s *Store) identify(l listing, o Options) (err error) {
	if len(l.segments) == 0 {
		if len(l.snapshots) > 0 {
			return trace.Wrap(files.Damage{File: segmentName(1), Reason: "there are snapshots but no segments"})
		}
		s.created = true
		s.identity, err = files.MakeIdentity(s.fs, o.Cluster, o.Node, o.Random)
		return trace.Wrap(err)
	}
	if !l.identity {
		return trace.Wrap(files.Damage{File: files.IdentityFile, Reason: "the file is missing"})
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

// checkSnapshots reads the snapshots that groups refer to and removes all others.
func (s *Store) checkSnapshots(files []uint64) error {
	used := map[uint64]bool{}
	for id, g := range s.groups {
		if g.snap == nil {
			continue
		}
		used[g.snap.File] = true
		s.lastSnap = max(s.lastSnap, g.snap.File)
		if _, err := s.readSnapshot(id, *g.snap); err != nil {
			return trace.Wrap(err)
		}
	}
	for _, n := range files {
		s.lastSnap = max(s.lastSnap, n)
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

// Identity returns whose folder it is, and whether this Open made it.
func (s *Store) Identity() (id files.Identity, created bool) { return s.identity, s.created }

// Groups returns the groups that were ever written, in order.
func (s *Store) Groups() []uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.groups))
}

// Load returns the state of a group as last written; it is empty for a new
// group. It is meant for the time after Open.
func (s *Store) Load(group uint32) (Loaded, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.usable(); err != nil {
		return Loaded{}, err
	}
	g, ok := s.groups[group]
	if !ok {
		return Loaded{}, nil
	}
	l := Loaded{Hard: g.hard, PrevIndex: g.prev.Index, PrevTerm: g.prev.Term, Entries: append([]Entry(nil), g.entries...)}
	if g.snap == nil {
		return l, nil
	}
	snap, err := s.readSnapshot(group, *g.snap)
	l.Snapshot = &snap
	return l, trace.Wrap(err)
}

func (s *Store) group(id uint32) *groupLog {
	g, ok := s.groups[id]
	if !ok {
		g = &groupLog{}
		s.groups[id] = g
	}
	return g
}

// lookup returns the group's state without making it.
func (s *Store) lookup(id uint32) *groupLog {
	if g, ok := s.groups[id]; ok {
		return g
	}
	return &groupLog{}
}

func (s *Store) usable() error {
	if s.failure != nil {
		return trace.ConnectionProblem(s.failure, "the store has failed: %v", s.failure)
	}
	if s.closed {
		return trace.ConnectionProblem(nil, "the store is closed")
	}
	return nil
}
