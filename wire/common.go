package wire

import (
	"time"

	"cyclamenrelay.example/model"
)

// Codes 1 to 19: common messages, configuration and membership.
var (
	_ = register(1, Refused{})
	_ = register(2, Done{})
	_ = register(3, WatchConfig{})
	_ = register(4, ConfigUpdate{})
	_ = register(7, FindNodes{})
	_ = register(8, Nodes{})
	_ = register(9, Announce{})
	_ = register(10, Announced{})
	_ = register(11, GetPendingCalls{})
	_ = register(12, PendingCalls{})
)

// Refused answers a message that the receiver cannot serve.
type Refused struct {
	Reason string `cbor:"1,keyasint"`
	// Leader is the name of the keeper that leads the group, empty when unknown.
	Leader string `cbor:"2,keyasint,omitempty"`
	// MayHaveApplied is set when the message may have taken effect anyway.
	MayHaveApplied bool `cbor:"3,keyasint,omitempty"`
}

// Done acknowledges a message that needs no other answer.
type Done struct {
	// Evacuation says whether the agent's data centre is evacuated, nil in answers to
	// other messages than an agent's, and from older builds.
	Evacuation *EvacuationState `cbor:"1,keyasint,omitempty"`
}

// WatchConfig asks a keeper for the configuration changes since Version. It is a
// long poll: the answer, a ConfigUpdate, comes after a short wait when there are
// none.
type WatchConfig struct {
	Version uint64 `cbor:"1,keyasint"`
	// AllowUnconfirmed asks for the keeper's configuration even if no quorum has confirmed
	// it; the freshness has a negative age then.
	AllowUnconfirmed bool `cbor:"2,keyasint,omitempty"`
}

// ConfigUpdate carries the changes since a version of the configuration, and how
// long ago a quorum confirmed the sender's version as the newest.
type ConfigUpdate struct {
	Delta model.Delta     `cbor:"1,keyasint"`
	Fresh model.Freshness `cbor:"2,keyasint"`
	// Held is how long the sender has had its newest version, 0 from older builds.
	Held time.Duration `cbor:"3,keyasint,omitempty"`
}

// Node is a process of the system, as it announces itself.
type Node struct {
	Name       string   `cbor:"1,keyasint"`
	Address    string   `cbor:"2,keyasint"`
	DataCentre string   `cbor:"3,keyasint"`
	Roles      []string `cbor:"4,keyasint"`
	// Incarnation increases at each start of the process.
	Incarnation uint64 `cbor:"5,keyasint"`
	// Leaving is set once the process has begun to shut down.
	Leaving bool `cbor:"6,keyasint,omitempty"`
	// Replica is the random number of a keeper's data folder, 0 for no keeper.
	Replica uint64 `cbor:"7,keyasint,omitempty"`
	// Size is the process's share of processors in cores, 0 when it does not state it.
	Size float64 `cbor:"8,keyasint,omitempty"`
}

// FindNodes asks for the live entries and keepers; it also announces the sender.
type FindNodes struct {
	Self Node `cbor:"1,keyasint"`
	// Known is the Digest of the last answer from the receiver, 0 for none.
	Known uint64 `cbor:"2,keyasint,omitempty"`
}

// Nodes answers FindNodes. The list is left out when Digest equals Known.
type Nodes struct {
	Nodes  []Node `cbor:"1,keyasint,omitempty"`
	Digest uint64 `cbor:"2,keyasint"`
}

// Announce is sent by an agent to an entry when it starts, when its target
// changes, and as a heartbeat. The answer is Announced.
type Announce struct {
	Self   Node          `cbor:"1,keyasint"`
	Target *model.Target `cbor:"2,keyasint,omitempty"`
	// Free is the number of the target's free slots.
	Free int `cbor:"3,keyasint"`
	// Version is the version of the agent's configuration.
	Version uint64 `cbor:"4,keyasint"`
	// Seq orders the announcements of one incarnation.
	Seq uint64 `cbor:"5,keyasint"`
}

// Announced answers an Announce.
type Announced struct {
	Config ConfigUpdate `cbor:"1,keyasint"`
	Nodes  []Node       `cbor:"2,keyasint,omitempty"`
}

func (Refused) message()         {}
func (Done) message()            {}
func (WatchConfig) message()     {}
func (ConfigUpdate) message()    {}
func (FindNodes) message()       {}
func (Nodes) message()           {}
func (Announce) message()        {}
func (GetPendingCalls) message() {}
func (PendingCalls) message()    {}
func (Announced) message()       {}

// GetPendingCalls asks the peer for the number of its calls on this connection that
// are still unanswered. The answer is PendingCalls.
type GetPendingCalls struct{}

// PendingCalls answers GetPendingCalls with the number of unanswered calls.
type PendingCalls struct {
	Calls int `cbor:"1,keyasint"`
}
