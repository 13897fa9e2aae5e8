package broker

import "time"

// Outcome is the result of a job for its callers: Complete, Failed, Refused or Interrupted.
type Outcome interface{ outcome() }

// Complete is the outcome of a job whose tasks are all done.
type Complete struct{}

// Failed is the outcome of a job of which a task failed as often as its queue permits.
type Failed struct{ Reason string }

// Refused is the outcome of a job of which no task ran or will run.
type Refused struct {
	Reason string
	// Overload is set when the job could be accepted at another time.
	Overload bool
	// After is the time after which the caller may try again.
	After time.Duration
}

// Interrupted is the outcome of a job that was given up after a part of it ran or may have
// run.
type Interrupted struct{ Reason string }

func (Complete) outcome()    {}
func (Failed) outcome()      {}
func (Refused) outcome()     {}
func (Interrupted) outcome() {}

// outcomeName returns the name of the outcome in logs and metrics, and its reason.
func outcomeName(o Outcome) (name, reason string) {
	switch o := o.(type) {
	case Complete:
		return "complete", ""
	case Failed:
		return "failed", o.Reason
	case Refused:
		return "refused", o.Reason
	case Interrupted:
		return "broken", o.Reason
	}
	return "unknown", ""
}
