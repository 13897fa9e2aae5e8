package evac

import (
	"time"

	"github.com/gravitational/trace"
)

// Timing holds the intervals that make an evacuation take effect at agents in time.
type Timing struct {
	// Limit is the time after the acknowledgement of an evacuation from which no task may
	// start in the data centre. 0 stands for an agent that does not ask keepers and never
	// waits for information; it still obeys what it is told.
	Limit time.Duration
	// RefreshAge is the age of its information above which an agent asks keepers. It is
	// also the time for which an agent without information starts nothing after its own
	// start.
	RefreshAge time.Duration
	// CheckInterval is the interval between checks of the age.
	CheckInterval time.Duration
	// AskTimeout bounds the wait for keepers' answers. Between two unsuccessful
	// questions, an agent waits for AskPause to twice as long.
	AskTimeout, AskPause time.Duration
	// MaxAge is the age of the information above which nothing starts before the agent
	// has asked keepers.
	MaxAge time.Duration
	// UnansweredFor is how long an agent may start tasks by outdated information after the
	// last but one question to keepers that had no recent answer. A single lost question
	// permits nothing.
	UnansweredFor time.Duration
}

// NewTiming returns the intervals for a limit. An agent learns of an evacuation in time
// from keepers alone, even when the first of its questions is lost.
func NewTiming(limit time.Duration) Timing {
	return Timing{
		Limit: limit, RefreshAge: limit * 2 / 5, CheckInterval: limit / 50, AskTimeout: limit * 2 / 25, AskPause: limit * 3 / 50,
		MaxAge: limit * 7 / 10, UnansweredFor: limit * 7 / 10,
	}
}

// Validate checks that the intervals fit each other. The error is a trace.BadParameter.
func (t Timing) Validate() error {
	if t.Limit == 0 {
		return nil
	}
	if t.RefreshAge <= 0 || t.CheckInterval <= 0 || t.AskTimeout <= 0 || t.AskPause <= 0 {
		return trace.BadParameter("the intervals of evacuations must be positive: %+v", t)
	}
	round := t.AskTimeout + 2*t.AskPause + t.CheckInterval
	switch {
	case t.RefreshAge+t.CheckInterval+round+t.AskTimeout > t.Limit:
		return trace.BadParameter("one lost question would delay an evacuation by more than %v", t.Limit)
	case t.MaxAge > t.Limit || t.UnansweredFor > t.Limit:
		return trace.BadParameter("tasks would start by information older than %v", t.Limit)
	case 2*round+t.AskTimeout > t.UnansweredFor:
		return trace.BadParameter("an agent that no keeper answers would start nothing between two of its questions")
	}
	return nil
}
