package wire

import "time"

// Codes 20 to 29: Raft messages between keepers.
var _ = register(20, RaftBatch{})

// ReplicaID identifies a replica by the keeper's name and the random number that
// was generated with its data folder. A keeper that lost its disk has another ID.
type ReplicaID struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// RaftMember is a member of a Raft group.
type RaftMember struct {
	ID ReplicaID `cbor:"1,keyasint"`
	// Voter is false while the member is a learner.
	Voter bool `cbor:"2,keyasint,omitempty"`
}

// RaftEntry is one entry of a group's log.
type RaftEntry struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
	Kind  uint8  `cbor:"3,keyasint,omitempty"`
	Data  []byte `cbor:"4,keyasint,omitempty"`
}

// RaftBatch carries the messages of many groups from one keeper to another.
type RaftBatch struct {
	From     ReplicaID     `cbor:"1,keyasint"`
	To       ReplicaID     `cbor:"2,keyasint"`
	Messages []RaftMessage `cbor:"3,keyasint"`
}

// RaftMessage is a message of one group; exactly one of the pointers is set.
type RaftMessage struct {
	Group           uint64               `cbor:"1,keyasint"`
	Term            uint64               `cbor:"2,keyasint"`
	Vote            *RaftVote            `cbor:"3,keyasint,omitempty"`
	VoteAnswer      *RaftVoteAnswer      `cbor:"4,keyasint,omitempty"`
	Append          *RaftAppend          `cbor:"5,keyasint,omitempty"`
	AppendAnswer    *RaftAppendAnswer    `cbor:"6,keyasint,omitempty"`
	Heartbeat       *RaftHeartbeat       `cbor:"7,keyasint,omitempty"`
	HeartbeatAnswer *RaftHeartbeatAnswer `cbor:"8,keyasint,omitempty"`
	Snapshot        *RaftSnapshot        `cbor:"9,keyasint,omitempty"`
	SnapshotAnswer  *RaftSnapshotAnswer  `cbor:"10,keyasint,omitempty"`
	TimeoutNow      *RaftTimeoutNow      `cbor:"11,keyasint,omitempty"`
}

// RaftBody is the content of a RaftMessage.
type RaftBody interface{ raftBody() }

// RaftVote requests a vote.
type RaftVote struct {
	LastIndex uint64 `cbor:"1,keyasint"`
	LastTerm  uint64 `cbor:"2,keyasint"`
	// Pre makes this a pre-vote: it asks whether a vote would be granted.
	Pre bool `cbor:"3,keyasint,omitempty"`
	// Transfer is set when the leader itself started the election to transfer its
	// leadership.
	Transfer bool `cbor:"4,keyasint,omitempty"`
}

// RaftVoteAnswer answers a RaftVote.
type RaftVoteAnswer struct {
	Granted bool `cbor:"1,keyasint,omitempty"`
	Pre     bool `cbor:"2,keyasint,omitempty"`
}

// RaftAppend replicates the entries that follow PrevIndex.
type RaftAppend struct {
	PrevIndex uint64      `cbor:"1,keyasint"`
	PrevTerm  uint64      `cbor:"2,keyasint"`
	Commit    uint64      `cbor:"3,keyasint"`
	Entries   []RaftEntry `cbor:"4,keyasint,omitempty"`
}

// RaftAppendAnswer answers a RaftAppend.
type RaftAppendAnswer struct {
	// Index is the last index that matches and is synced to disk, or with Reject
	// the refused PrevIndex.
	Index  uint64 `cbor:"1,keyasint"`
	Reject bool   `cbor:"2,keyasint,omitempty"`
	// Hint is, with Reject, the highest index at which the logs may match.
	Hint uint64 `cbor:"3,keyasint,omitempty"`
}

// RaftHeartbeat asserts leadership, and tells the follower how fresh its log is.
type RaftHeartbeat struct {
	Seq    uint64 `cbor:"1,keyasint"`
	Commit uint64 `cbor:"2,keyasint"`
	// Fresh is set when the fields below are valid.
	Fresh bool `cbor:"3,keyasint,omitempty"`
	// FreshIndex was the newest commit index at the time Age before this message
	// was sent.
	FreshIndex uint64        `cbor:"4,keyasint,omitempty"`
	Age        time.Duration `cbor:"5,keyasint,omitempty"`
	// Epoch and Echo are Epoch and Sent of the follower's last answer, which the
	// leader received Held before it sent this message.
	Epoch uint64        `cbor:"6,keyasint,omitempty"`
	Echo  time.Duration `cbor:"7,keyasint,omitempty"`
	Held  time.Duration `cbor:"8,keyasint,omitempty"`
}

// RaftHeartbeatAnswer answers a RaftHeartbeat.
type RaftHeartbeatAnswer struct {
	Seq uint64 `cbor:"1,keyasint"`
	// Verified is the index up to which the follower's log matches the leader's.
	Verified uint64 `cbor:"2,keyasint"`
	// Epoch identifies the follower's process. Sent is the time on the follower's
	// clock at which it sent this answer.
	Epoch uint64        `cbor:"3,keyasint"`
	Sent  time.Duration `cbor:"4,keyasint"`
}

// RaftSnapshot carries a chunk of a snapshot.
type RaftSnapshot struct {
	Index   uint64       `cbor:"1,keyasint"`
	Term    uint64       `cbor:"2,keyasint"`
	Members []RaftMember `cbor:"3,keyasint"`
	// Offset of Data in the snapshot, and Total, are in bytes.
	Offset uint64 `cbor:"4,keyasint"`
	Total  uint64 `cbor:"5,keyasint"`
	Data   []byte `cbor:"6,keyasint,omitempty"`
}

// RaftSnapshotAnswer answers a RaftSnapshot.
type RaftSnapshotAnswer struct {
	Index uint64 `cbor:"1,keyasint"`
	// Offset is the number of bytes received.
	Offset uint64 `cbor:"2,keyasint"`
	// Done is set once the state up to Index is synced.
	Done bool `cbor:"3,keyasint,omitempty"`
}

// RaftTimeoutNow asks the receiver to start an election at once.
type RaftTimeoutNow struct{}

func (RaftBatch) message()            {}
func (RaftVote) raftBody()            {}
func (RaftVoteAnswer) raftBody()      {}
func (RaftAppend) raftBody()          {}
func (RaftAppendAnswer) raftBody()    {}
func (RaftHeartbeat) raftBody()       {}
func (RaftHeartbeatAnswer) raftBody() {}
func (RaftSnapshot) raftBody()        {}
func (RaftSnapshotAnswer) raftBody()  {}
func (RaftTimeoutNow) raftBody()      {}

// NewRaftMessage returns the message of a group with the body.
func NewRaftMessage(group, term uint64, body RaftBody) RaftMessage {
	m := RaftMessage{Group: group, Term: term}
	switch b := body.(type) {
	case RaftVote:
		m.Vote = &b
	case RaftVoteAnswer:
		m.VoteAnswer = &b
	case RaftAppend:
		m.Append = &b
	case RaftAppendAnswer:
		m.AppendAnswer = &b
	case RaftHeartbeat:
		m.Heartbeat = &b
	case RaftHeartbeatAnswer:
		m.HeartbeatAnswer = &b
	case RaftSnapshot:
		m.Snapshot = &b
	case RaftSnapshotAnswer:
		m.SnapshotAnswer = &b
	case RaftTimeoutNow:
		m.TimeoutNow = &b
	}
	return m
}

// Body returns the content of m, nil when there is none.
func (m RaftMessage) Body() RaftBody {
	switch {
	case m.Vote != nil:
		return *m.Vote
	case m.VoteAnswer != nil:
		return *m.VoteAnswer
	case m.Append != nil:
		return *m.Append
	case m.AppendAnswer != nil:
		return *m.AppendAnswer
	case m.Heartbeat != nil:
		return *m.Heartbeat
	case m.HeartbeatAnswer != nil:
		return *m.HeartbeatAnswer
	case m.Snapshot != nil:
		return *m.Snapshot
	case m.SnapshotAnswer != nil:
		return *m.SnapshotAnswer
	case m.TimeoutNow != nil:
		return *m.TimeoutNow
	}
	return nil
}
