package wire

import (
	"github.com/cespare/xxhash/v2"

	"cyclamenrelay.example/model"
)

// Codes 60 to 79: messages between entries and agents; 60 to 62: single tasks.
var (
	_ = register(60, Start{})
	_ = register(61, Result{})
	_ = register(62, Cancel{})
)

// Start asks an agent to run a task now; the answer is a Result.
type Start struct {
	Task model.Task `cbor:"1,keyasint"`
	// Trace is the W3C trace context of the sender's span.
	Trace string `cbor:"3,keyasint,omitempty"`
	// Grant is the ID of the Grant that this start uses, 0 for none.
	Grant uint64 `cbor:"4,keyasint,omitempty"`
	// Incarnation is that of the agent that the task is meant for, 0 for any. An
	// agent with another one, since it has restarted, refuses the start.
	Incarnation uint64 `cbor:"5,keyasint,omitempty"`
}

// Result answers a Start. Exactly one of the outcomes is set.
type Result struct {
	Complete *model.Complete `cbor:"1,keyasint,omitempty"`
	Failed   *model.Failed   `cbor:"2,keyasint,omitempty"`
	NotRun   *model.NotRun   `cbor:"3,keyasint,omitempty"`
	// Digest is the xxhash of the body of Complete, to detect damage.
	Digest uint64 `cbor:"4,keyasint,omitempty"`
	// Free is the number of the target's free slots now.
	Free int `cbor:"5,keyasint,omitempty"`
	// ID is the ID of the task.
	ID string `cbor:"6,keyasint"`
}

// Cancel asks an agent to stop a task; the answer is Done.
type Cancel struct {
	ID string `cbor:"1,keyasint"`
}

func (Start) message()  {}
func (Result) message() {}
func (Cancel) message() {}

// ResultOf returns the result of a task with the outcome.
func ResultOf(id string, o model.Outcome) Result {
	r := Result{ID: id}
	switch o := o.(type) {
	case model.Complete:
		r.Complete, r.Digest = &o, xxhash.Sum64(o.Body)
	case model.Failed:
		r.Failed = &o
	case model.NotRun:
		r.NotRun = &o
	}
	return r
}

// Outcome returns the outcome in r. It is a Failed when r has none or the body does
// not match the digest.
func (r Result) Outcome() model.Outcome {
	switch {
	case r.Complete != nil && xxhash.Sum64(r.Complete.Body) != r.Digest:
		return model.Failed{Reason: "the answer's body does not match its digest", MayHaveRun: true}
	case r.Complete != nil:
		return *r.Complete
	case r.Failed != nil:
		return *r.Failed
	case r.NotRun != nil:
		return *r.NotRun
	}
	return model.Failed{Reason: "the answer has no outcome", MayHaveRun: true}
}
