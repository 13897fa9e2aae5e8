package wire

import (
	"github.com/cespare/xxhash/v2"

	"cyclamenrelay.example/model"
)

// Codes 60 to 79: work between entries and agents.
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
	// Grant is the grant that this start uses, 0 for none.
	Grant uint64 `cbor:"4,keyasint,omitempty"`
	// Incarnation is that of the agent that the task is meant for, 0 for any: one
	// that restarted refuses.
	Incarnation uint64 `cbor:"5,keyasint,omitempty"`
}

// Result answers a Start. Exactly one of the outcomes is set.
type Result struct {
	Complete *model.Complete `cbor:"1,keyasint,omitempty"`
	Failed   *model.Failed   `cbor:"2,keyasint,omitempty"`
	NotRun   *model.NotRun   `cbor:"3,keyasint,omitempty"`
	// Digest is the xxhash of the body of Complete.
	Digest uint64 `cbor:"4,keyasint,omitempty"`
	// Free is how many slots the target has free now.
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

// ResultOf returns the result that carries an outcome.
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

// Outcome returns the outcome that r carries, a Failed when it is empty or damaged.
func (r Result) Outcome() model.Outcome {
	switch {
	case r.Complete != nil && xxhash.Sum64(r.Complete.Body) != r.Digest:
		return model.Failed{Reason: "the answer is damaged", MayHaveRun: true}
	case r.Complete != nil:
		return *r.Complete
	case r.Failed != nil:
		return *r.Failed
	case r.NotRun != nil:
		return *r.NotRun
	}
	return model.Failed{Reason: "the answer is empty", MayHaveRun: true}
}
