package broker

import "time"

// Outcome is how a job ended for its caller: Complete, Fail, Refuse or Broken.
type Outcome interface{ outcome() }

// Complete is a job whose tasks are all done.
type Complete struct{}

// Fail is a job that cannot be done: a task failed as often as it may.
type Fail struct{ Reason string }

// Refuse is a job of which nothing ran and nothing will.
type Refuse struct {
	Reason string
	// Overload is set when the job could be done at another time.
	Overload bool
	// After is when to try again.
	After time.Duration
}

// Broken is a job that was given up while a part of it ran or may have run.
type Broken struct{ Reason string }

func (Complete) outcome() {}
func (Fail) outcome()     {}
func (Refuse) outcome()   {}
func (Broken) outcome()   {}

// word returns the outcome as it stands in logs and metrics.
func word(o Outcome) (name, reason string) {
	switch o := o.(type) {
	case Complete:
		return "complete", ""
	case Fail:
		return "failed", o.Reason
	case Refuse:
		return "refused", o.Reason
	case Broken:
		return "broken", o.Reason
	}
	return "unknown", ""
}
