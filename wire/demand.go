package wire

import "time"

// Codes 63 to 66: fair sharing of slots between entries.
var (
	_ = register(63, Demand{})
	_ = register(64, Grant{})
	_ = register(65, ReturnGrant{})
	_ = register(66, TeamUse{})
)

// ShareDemand is an entry's demand for slots in one share.
type ShareDemand struct {
	Share string `cbor:"1,keyasint"`
	// Count is the number of slots that the entry can use at this agent, 0 for none.
	Count int `cbor:"2,keyasint"`
	// Urgency is that of the entry's most urgent queued work in the share.
	Urgency int `cbor:"3,keyasint,omitempty"`
}

// Demand tells an agent how many slots an entry wants. Each ShareDemand replaces the
// earlier one of the same share. The answer is Done.
type Demand struct {
	Wants []ShareDemand `cbor:"1,keyasint"`
}

// Grant reserves one free slot for an entry. The answer is Done.
type Grant struct {
	// ID is unique within the agent's incarnation and never 0.
	ID    uint64 `cbor:"1,keyasint"`
	Share string `cbor:"2,keyasint"`
	// TimeLeft is how long the slot stays reserved.
	TimeLeft time.Duration `cbor:"3,keyasint"`
}

// ReturnGrant gives back a grant that the entry cannot use. The answer is Done.
type ReturnGrant struct {
	ID uint64 `cbor:"1,keyasint"`
}

// TeamUse reports how many slots each team uses and waits for at the sender, to
// the entry that sums this up over all entries. With the sums the entries divide
// the teams' quotas by demand. The answer is a TeamUse with the sums of all other
// entries.
type TeamUse struct {
	Entry string         `cbor:"1,keyasint"`
	Teams map[string]int `cbor:"2,keyasint"`
}

func (Demand) message()      {}
func (Grant) message()       {}
func (ReturnGrant) message() {}
func (TeamUse) message()     {}
