package rlog

import (
	"time"

	"cyclamenrelay.example/wire"
)

// Input is an input of the consensus core's Step.
type Input interface{ input() }

// Tick makes the core check its timeouts. It must come several times in each
// heartbeat interval.
type Tick struct{}

// Receive is a message from another replica.
type Receive struct {
	From ID
	Term uint64
	Body wire.RaftBody
}

// Persisted reports that the Persist with the number Seq, and all before it, are
// synced.
type Persisted struct{ Seq uint64 }

// Propose asks for a command to be appended to the log.
type Propose struct {
	// ID is returned with the outcome, in Apply or Dropped. It is unique in the
	// process and not 0.
	ID   uint64
	Data []byte
}

// Read asks for an index from which on a read of the state machine is
// linearizable. ReadReady or Dropped answers it.
type Read struct{ ID uint64 }

// ChangeMember asks for one change of the membership: a new learner, the
// promotion of a learner to voter, or the removal of a member.
type ChangeMember struct {
	ID     uint64
	Member Member
	Remove bool
}

// TransferLeadership asks the leader to transfer its leadership to the most advanced voter.
type TransferLeadership struct{}

// SnapshotTaken delivers a snapshot of the local state machine after the entry at
// Index, as asked for by SnapshotWanted.
type SnapshotTaken struct {
	Index uint64
	Data  []byte
}

func (Tick) input()               {}
func (Receive) input()            {}
func (Persisted) input()          {}
func (Propose) input()            {}
func (Read) input()               {}
func (ChangeMember) input()       {}
func (TransferLeadership) input() {}
func (SnapshotTaken) input()      {}

// Effect is an action that the consensus core asks its caller to take.
type Effect interface{ effect() }

// Persist is a disk write. The caller applies its parts in the order of the
// fields, syncs, and then reports Persisted. Writes of a group are done in order
// of Seq. With a snapshot, the stored entries may begin at any index up to its
// index + 1, and may have gaps up to its index: entries up to that index are
// ignored when read back.
type Persist struct {
	Seq  uint64
	Hard HardState
	// Snapshot replaces the stored one. The entries up to its index may be removed.
	Snapshot *Snapshot
	// Truncate is the index from which on stored entries are removed, 0 for none.
	Truncate uint64
	// Entries are appended.
	Entries []Entry
}

// Send is a message to another replica. It may be lost.
type Send struct {
	To   ID
	Term uint64
	Body wire.RaftBody
}

// Apply delivers committed entries to the state machine, in order and each once.
type Apply struct {
	Entries []Entry
	// Proposals are the IDs of the requests for Entries, 0 for entries that were
	// not requested at this replica. It may be empty when all are such. Valid
	// until the next step.
	Proposals []uint64
}

// InstallSnapshot replaces the state machine's state by a snapshot of the leader.
type InstallSnapshot struct{ Snapshot Snapshot }

// ReadReady answers reads: the state after Index is linearizable for them. It is
// emitted after the Apply that reaches Index.
type ReadReady struct {
	IDs   []uint64
	Index uint64
}

// Reason says why a proposal, a read or a membership change was dropped.
type Reason uint8

// The reasons.
const (
	ReasonNotLeader Reason = iota + 1 // not appended or served; this replica does not lead, or hands over
	ReasonBusy                        // not appended; the leader has too many uncommitted bytes
	ReasonUnknown                     // leadership was lost; the entry may still be committed
	ReasonChanging                    // not appended; an earlier change, or the term's first entry, is uncommitted
	ReasonLagging                     // not appended; the learner has not caught up
	ReasonInvalid                     // not appended; the change is not allowed
)

// Dropped reports that this replica will not deliver the outcome of a request.
type Dropped struct {
	ID     uint64
	Reason Reason
	// Leader is the leader to ask instead, the zero ID when it is not known.
	Leader ID
}

// SnapshotWanted asks for a snapshot of the state machine, as a SnapshotTaken input.
type SnapshotWanted struct{}

// Role is the role of a replica in its group.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// RoleChanged reports a new role, term or leader.
type RoleChanged struct {
	Role   Role
	Term   uint64
	Leader ID
}

func (Persist) effect()         {}
func (Send) effect()            {}
func (Apply) effect()           {}
func (InstallSnapshot) effect() {}
func (ReadReady) effect()       {}
func (Dropped) effect()         {}
func (SnapshotWanted) effect()  {}
func (RoleChanged) effect()     {}

// Status describes a replica for logs and metrics.
type Status struct {
	Role    Role
	Term    uint64
	Leader  ID
	Commit  uint64
	Last    uint64
	Members Membership
	// Changing is set while this replica does not know that Members is committed.
	Changing bool
	// Match is the index up to which each other member is known to have synced
	// the log. It is set only at the leader.
	Match map[ID]uint64
	// Silence is the time since the leader last heard each other member, without the
	// time in which the leader's own process paused. It is set only at the leader.
	Silence map[ID]time.Duration
}
