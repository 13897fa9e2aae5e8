// Package agree is a replicated log in the manner of Raft: a deterministic core
// without I/O. A Node is one replica of one group; a Host steps many groups and
// batches their messages and disk writes.
package agree

import (
	"fmt"
	"math/rand/v2"
	"time"

	"cyclamenrelay.example/wire"
)

// ID identifies a replica across all groups.
type ID = wire.AgreeID

// Member is a replica that belongs to a group.
type Member = wire.AgreeMember

// Entry is one entry of the log.
type Entry = wire.AgreeEntry

// The kinds of entries.
const (
	KindCommand uint8 = iota // a proposal of the state machine
	KindNoop                 // the first entry of a leader
	KindMembers              // a Membership
)

// Role is the role of a replica in its group.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// HardState is the state besides the log that must be synced before it is acted on.
type HardState struct {
	Term uint64 `cbor:"1,keyasint"`
	// Vote is the candidate voted for in Term, the zero ID for none.
	Vote ID `cbor:"2,keyasint"`
	// Commit is a lower bound of the commit index.
	Commit uint64 `cbor:"3,keyasint"`
}

// Snapshot is the state machine after the entry at Index.
type Snapshot struct {
	Index   uint64     `cbor:"1,keyasint"`
	Term    uint64     `cbor:"2,keyasint"`
	Members Membership `cbor:"3,keyasint"`
	Data    []byte     `cbor:"4,keyasint,omitempty"`
}

// Stored is what was read back from the disk. Entries up to the snapshot's
// index are ignored.
type Stored struct {
	Hard     HardState
	Snapshot Snapshot
	Entries  []Entry
}

// Bootstrap returns what each first member of a new group stores. The data is
// the state machine's initial state.
func Bootstrap(members Membership, data []byte) Stored {
	return Stored{
		Hard:     HardState{Term: 1, Commit: 1},
		Snapshot: Snapshot{Index: 1, Term: 1, Members: members, Data: data},
	}
}

// Config configures a Node. Zero limits take their defaults.
type Config struct {
	ID     ID
	Stored Stored
	Rand   *rand.Rand
	// Heartbeat is the time between heartbeats, Election the minimum election timeout.
	Heartbeat, Election time.Duration
	// Resend is the time after which an unanswered append or chunk is sent again.
	Resend time.Duration
	// MaxBytes bounds the entries or the chunk of one message, in bytes.
	MaxBytes int
	// MaxInflight bounds the unanswered appends to one follower.
	MaxInflight int
	// MaxUncommitted bounds the uncommitted proposals at the leader, in bytes.
	MaxUncommitted int
	// MaxSnapshot bounds a received snapshot, in bytes.
	MaxSnapshot uint64
	// SnapshotEntries and SnapshotBytes are how much is applied between snapshots.
	SnapshotEntries uint64
	SnapshotBytes   int
	// KeepEntries is how many entries stay in memory behind a snapshot, for slow followers.
	KeepEntries uint64
}

func orDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

func (c Config) withDefaults() Config {
	orDefault(&c.Heartbeat, 50*time.Millisecond)
	orDefault(&c.Election, 20*c.Heartbeat)
	orDefault(&c.Resend, 4*c.Heartbeat)
	orDefault(&c.MaxBytes, 256<<10)
	orDefault(&c.MaxInflight, 64)
	orDefault(&c.MaxUncommitted, 16<<20)
	orDefault(&c.MaxSnapshot, 1<<30)
	orDefault(&c.SnapshotEntries, 16<<10)
	orDefault(&c.SnapshotBytes, 16<<20)
	orDefault(&c.KeepEntries, 1<<10)
	return c
}

// Status describes a Node for logs and metrics.
type Status struct {
	Role    Role
	Term    uint64
	Leader  ID
	Commit  uint64
	Last    uint64
	Members Membership
	// Match is the synced index of each other member, at the leader.
	Match map[ID]uint64
}

// invariant panics when ok is false: going on would lose or fork state.
func invariant(ok bool, format string, args ...any) {
	if !ok {
		panic("agree: broken invariant: " + fmt.Sprintf(format, args...))
	}
}
