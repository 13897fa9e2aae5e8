package model

import "time"

// Outcome is the one answer to a request or to a task of a job: Complete,
// Failed or NotRun.
type Outcome interface{ outcome() }

// Complete is the outcome of work that ran and whose answer was received in full.
type Complete struct {
	// Status is the target's HTTP status code.
	Status int `cbor:"1,keyasint"`
	// Body is the whole answer, in bytes.
	Body []byte `cbor:"2,keyasint,omitempty"`
	// Target names the target that answered.
	Target string `cbor:"3,keyasint,omitempty"`
	// Type is the content type of Body.
	Type string `cbor:"4,keyasint,omitempty"`
}

// Failed is the outcome of work that ran, or may have run, without a usable answer.
type Failed struct {
	// Reason is a text for people.
	Reason string `cbor:"1,keyasint"`
	// MayHaveRun is set when it is not known whether the work ran.
	MayHaveRun bool `cbor:"2,keyasint,omitempty"`
	// Status is the target's HTTP status code, 0 when there was none.
	Status int `cbor:"3,keyasint,omitempty"`
	// Target names the target that failed, empty when unknown.
	Target string `cbor:"4,keyasint,omitempty"`
}

// NotRun is the outcome of work that certainly did not run.
type NotRun struct {
	// Reason is a text for people.
	Reason string `cbor:"1,keyasint"`
	// RetryAfter is the time after which a retry may succeed, 0 when unknown.
	RetryAfter time.Duration `cbor:"2,keyasint,omitempty"`
	// Code is the reason for programs, one of the codes below.
	Code Code `cbor:"3,keyasint,omitempty"`
}

func (Complete) outcome() {}
func (Failed) outcome()   {}
func (NotRun) outcome()   {}

// Code is the reason why work was not run.
type Code string

// The codes of NotRun.
const (
	CodeBusy      Code = "busy"      // the target had no free slot
	CodeQueueFull Code = "queueFull" // the kind's queue bound or the team's quota is reached
	CodeDeadline  Code = "deadline"  // the work cannot finish before its deadline
	CodeNoTarget  Code = "noTarget"  // no target matches the selectors
	CodeStale     Code = "stale"     // the process has no fresh configuration
	CodeLeaving   Code = "leaving"   // the process or the target is leaving
	CodeCancelled Code = "cancelled" // the caller cancelled
	CodeFenced    Code = "fenced"    // the sender is no longer the owner
	CodeSeen      Code = "seen"      // the start was seen before
	CodeInvalid   Code = "invalid"   // the work itself is not acceptable
	CodeNoQuorum  Code = "noQuorum"  // the keepers could not record the work
	CodeConflict  Code = "conflict"  // the submission or claim key was used for other work
)

// OutcomeName returns the name of o as callers see it: complete, failed or notRun.
func OutcomeName(o Outcome) string {
	switch o.(type) {
	case Complete:
		return "complete"
	case Failed:
		return "failed"
	case NotRun:
		return "notRun"
	}
	return "unknown"
}
