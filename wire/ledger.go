package wire

// Codes 40 to 49: commands and queries of the replicated state machines.
var (
	_ = register(40, Propose{})
	_ = register(41, Proposed{})
	_ = register(42, Query{})
	_ = register(43, Queried{})
)

// Propose asks the leader of a group to replicate and apply a command. The answer
// is Proposed, once the command is durable on a majority and applied, or Refused.
type Propose struct {
	Group   uint32 `cbor:"1,keyasint"`
	Command []byte `cbor:"2,keyasint"`
	// Trace is the W3C trace context of the sender's span.
	Trace string `cbor:"3,keyasint,omitempty"`
}

// Proposed answers Propose with the state machine's answer.
type Proposed struct {
	Result []byte `cbor:"1,keyasint"`
}

// Query asks the leader of a group for a linearizable read; the answer is
// Queried or Refused.
type Query struct {
	Group uint32 `cbor:"1,keyasint"`
	Query []byte `cbor:"2,keyasint"`
}

// Queried answers Query with the state machine's answer.
type Queried struct {
	Result []byte `cbor:"1,keyasint"`
}

func (Propose) message()  {}
func (Proposed) message() {}
func (Query) message()    {}
func (Queried) message()  {}
