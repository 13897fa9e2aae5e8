// Package rlog holds the values of a replicated log: entries, memberships,
// snapshots, the inputs and effects of a replica, and the log with its writes.
package rlog

import (
	"fmt"

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

// Invariant panics when ok is false: going on would lose or fork state.
func Invariant(ok bool, format string, args ...any) {
	if !ok {
		Broken(format, args...)
	}
}

// Broken panics with a broken invariant. On hot paths it stands behind a plain
// condition, so that no arguments are allocated while all is well.
func Broken(format string, args ...any) {
	panic("agree: broken invariant: " + fmt.Sprintf(format, args...))
}
