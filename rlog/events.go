package rlog

import "cyclamenrelay.example/wire"

// Input is what a Node is stepped with.
type Input interface{ input() }

// Tick lets time pass; it is due several times in a heartbeat interval.
type Tick struct{}

// Receive is a message from another replica.
type Receive struct {
	From ID
	Term uint64
	Body wire.AgreeBody
}

// Persisted reports that the Persist with Seq, and all before it, are synced.
type Persisted struct{ Seq uint64 }

// Propose asks for a command to be appended to the log.
type Propose struct {
	// ID is returned with the outcome; it is unique in the process and not 0.
	ID   uint64
	Data []byte
}

// Read asks for an index at which a read is linearizable.
type Read struct{ ID uint64 }

// ChangeMember asks for one change of the membership: a new learner, the
// promotion of a learner to voter, or the removal of a member.
type ChangeMember struct {
	ID     uint64
	Member Member
	Remove bool
}

// Transfer asks the leader to hand leadership to the most advanced voter.
type Transfer struct{}

// Compacted gives a snapshot of the state machine after the entry at Index.
type Compacted struct {
	Index uint64
	Data  []byte
}

func (Tick) input()         {}
func (Receive) input()      {}
func (Persisted) input()    {}
func (Propose) input()      {}
func (Read) input()         {}
func (ChangeMember) input() {}
func (Transfer) input()     {}
func (Compacted) input()    {}

// Effect is what a Node asks its runtime to do.
type Effect interface{ effect() }

// Persist is a write. The runtime applies the parts in the order of the fields,
// syncs, and then reports Persisted. Writes of a group are done in order.
// After a snapshot the entries may begin anywhere up to its index + 1, or leave
// a gap below it; what is read back up to its index is ignored.
type Persist struct {
	Seq  uint64
	Hard HardState
	// Snapshot replaces the stored one; the entries up to its index may go.
	Snapshot *Snapshot
	// Truncate is the index from which entries are dropped, 0 for none.
	Truncate uint64
	// Entries are appended.
	Entries []Entry
}

// Send is a message to another replica; it may be lost.
type Send struct {
	To   ID
	Term uint64
	Body wire.AgreeBody
}

// Apply gives committed entries to the state machine, in order and once.
type Apply struct {
	Entries []Entry
	// Proposals are the IDs of the proposals that made Entries, 0 for those
	// of others; empty when none was made here. Valid until the next step.
	Proposals []uint64
}

// Install replaces the state machine's state.
type Install struct{ Snapshot Snapshot }

// ReadReady answers reads: the state after Index is linearizable for them. It
// follows the Apply that reaches Index.
type ReadReady struct {
	IDs   []uint64
	Index uint64
}

// Reason says why a proposal, a read or a change of membership was dropped.
type Reason uint8

// The reasons.
const (
	ReasonNotLeader Reason = iota + 1 // not appended; ask the leader
	ReasonBusy                        // not appended; too much is uncommitted
	ReasonUnknown                     // leadership was lost; it may still be committed
	ReasonChanging                    // not appended; another change is not committed yet
	ReasonLagging                     // not appended; the learner has not caught up
	ReasonInvalid                     // not appended; the change is not allowed
)

// Dropped reports that the outcome will not come from this replica.
type Dropped struct {
	ID     uint64
	Reason Reason
	// Leader is the leader to ask, the zero ID when unknown.
	Leader ID
}

// SnapshotWanted asks for a Compacted input.
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

func (Persist) effect()        {}
func (Send) effect()           {}
func (Apply) effect()          {}
func (Install) effect()        {}
func (ReadReady) effect()      {}
func (Dropped) effect()        {}
func (SnapshotWanted) effect() {}
func (RoleChanged) effect()    {}

// Status describes a replica for logs and metrics.
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
