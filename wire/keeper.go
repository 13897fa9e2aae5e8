package wire

// Codes 30 to 39: keepers.
var (
	_ = register(30, GetKeeperState{})
	_ = register(31, KeeperState{})
)

// GetKeeperState asks a keeper for the state of its replicas; the answer is KeeperState.
type GetKeeperState struct{}

// KeeperState answers GetKeeperState.
type KeeperState struct {
	Self   ReplicaID    `cbor:"1,keyasint"`
	Groups []GroupState `cbor:"2,keyasint"`
	// Evacuations is set by keepers whose state machine knows evacuations of data centres.
	Evacuations bool `cbor:"3,keyasint,omitempty"`
}

// GroupState is the state of a keeper's replica of one group.
type GroupState struct {
	Group uint64 `cbor:"1,keyasint"`
	// Members is empty while the replica has not joined the group.
	Members  []RaftMember `cbor:"2,keyasint,omitempty"`
	IsLeader bool         `cbor:"3,keyasint,omitempty"`
	Term     uint64       `cbor:"4,keyasint"`
	// Commit and Last are the commit index and the last index of the log.
	Commit uint64 `cbor:"5,keyasint"`
	Last   uint64 `cbor:"6,keyasint"`
	// Leader is the name of the keeper that leads the group, empty when unknown.
	Leader string `cbor:"7,keyasint,omitempty"`
	// Changing is set while the replica does not know that Members is committed.
	Changing bool `cbor:"8,keyasint,omitempty"`
}

func (GetKeeperState) message() {}
func (KeeperState) message()    {}
