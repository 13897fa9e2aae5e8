// Package rlog holds the data types of a Raft replica: entries, memberships and
// snapshots, the inputs and effects of the consensus core, the log in memory, and
// the collection of its changes into disk writes.
package rlog

import (
	"fmt"

	"cyclamenrelay.example/wire"
)

// ID identifies a host across all groups. A host that lost its disk has another ID.
type ID = wire.ReplicaID

// Member is a replica that belongs to a group.
type Member = wire.RaftMember

// Entry is one entry of the log.
type Entry = wire.RaftEntry

// The kinds of entries.
const (
	KindCommand uint8 = iota // a command for the state machine
	KindNoop                 // the first entry of a leader's term, without data
	KindMembers              // an encoded Membership
)

// HardState is the state besides the log that must be synced before messages that
// depend on it are sent.
type HardState struct {
	Term uint64 `cbor:"1,keyasint"`
	// Vote is the candidate that got this replica's vote in Term, the zero ID for
	// none.
	Vote ID `cbor:"2,keyasint"`
	// Commit is a lower bound of the group's commit index.
	Commit uint64 `cbor:"3,keyasint"`
}

// Snapshot is the state machine's state after the entry at Index, which is of
// Term, with the membership at that point.
type Snapshot struct {
	Index   uint64     `cbor:"1,keyasint"`
	Term    uint64     `cbor:"2,keyasint"`
	Members Membership `cbor:"3,keyasint"`
	Data    []byte     `cbor:"4,keyasint,omitempty"`
}

// StoredState is the state of a replica as read back from the disk. Entries up to the
// snapshot's index are ignored.
type StoredState struct {
	Hard     HardState
	Snapshot Snapshot
	Entries  []Entry
}

// Bootstrap returns the state with which each initial member of a new group
// starts: a snapshot at index 1. data is the state machine's initial state.
func Bootstrap(members Membership, data []byte) StoredState {
	return StoredState{
		Hard:     HardState{Term: 1, Commit: 1},
		Snapshot: Snapshot{Index: 1, Term: 1, Members: members, Data: data},
	}
}

// Invariant panics when ok is false, because continuing could lose committed
// entries or let replicas diverge.
func Invariant(ok bool, format string, args ...any) {
	if !ok {
		InvariantBroken(format, args...)
	}
}

// InvariantBroken panics with the message of a broken invariant. Hot paths call it behind
// a plain condition instead of calling Invariant, whose arguments are allocated
// even if the invariant holds.
func InvariantBroken(format string, args ...any) {
	panic("raft: broken invariant: " + fmt.Sprintf(format, args...))
}
