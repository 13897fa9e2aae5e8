// Package place is the scheduler of an entry, a state machine without I/O: it
// admits and queues tasks, chooses their targets, and retries, hedges and times
// out the starts that it has sent.
package place

import (
	"time"

	"cyclamenrelay.example/fleet"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/rules"
	"cyclamenrelay.example/wire"
)

// Settings are the settings of a Core.
type Settings struct {
	// Policy chooses targets; nil is fleet.IdleFirst.
	Policy fleet.Policy
	// DataCentres lists the data centres by distance, the entry's own first. Those that
	// are not listed count as equally far, beyond the last one.
	DataCentres []string
	// NoTargetWait is how long queued work waits for a matching target to appear.
	NoTargetWait time.Duration
	// HeartbeatTimeout is the time without a heartbeat after which a target counts as dead.
	HeartbeatTimeout time.Duration
	// MinTimeout is the shortest time after which an unanswered start is given up.
	MinTimeout time.Duration
	// MaxTimeout is the longest such time, and the time for kinds of work whose
	// run times are not known yet.
	MaxTimeout time.Duration
	// RoundTrip is the longest usual round trip to an agent. Free slots that an
	// agent reports may not count starts that were sent more recently.
	RoundTrip time.Duration
	// Fanout bounds the agents that are asked for slots at once for one class of work.
	Fanout int
}

// DefaultSettings returns the settings that a deployment starts from.
func DefaultSettings() Settings {
	return Settings{
		Policy:           fleet.IdleFirst{},
		NoTargetWait:     2 * time.Second,
		HeartbeatTimeout: 2 * time.Second,
		MinTimeout:       2 * time.Second,
		MaxTimeout:       30 * time.Second,
		RoundTrip:        4 * time.Millisecond,
		Fanout:           32,
	}
}

// Input is an event for Core.Step.
type Input interface{ input() }

// Arrive is a new request. The task's ID must not be in use, and its TimeLeft counts from now.
type Arrive struct{ Task model.Task }

// Answer is an agent's answer to a Start.
type Answer struct {
	Agent  string
	Result wire.Result
}

// Unanswered reports that a Start will not be answered. Unsent is set only when the
// start certainly did not leave this process.
type Unanswered struct {
	Agent  string
	ID     string
	Unsent bool
}

// Announced is an agent's announcement, which it repeats as its heartbeat.
type Announced struct{ Announce wire.Announce }

// Granted is a slot that an agent has reserved for this entry.
type Granted struct {
	Agent string
	Grant wire.Grant
}

// Cancelled is the cancellation of a request by its caller.
type Cancelled struct{ ID string }

// Configured is a new configuration; one that is not newer than the current one is ignored.
type Configured struct{ Rules *rules.Set }

// PeerUse is the use of team quotas that another entry reports.
type PeerUse struct{ Use wire.TeamUse }

// Tick reports that the time of Core.NextTick has been reached.
type Tick struct{}

func (Arrive) input()     {}
func (Answer) input()     {}
func (Unanswered) input() {}
func (Announced) input()  {}
func (Granted) input()    {}
func (Cancelled) input()  {}
func (Configured) input() {}
func (PeerUse) input()    {}
func (Tick) input()       {}

// Effect is an action that Core.Step asks its caller to carry out.
type Effect interface{ effect() }

// Start sends a wire.Start to the agent. Each is followed by one Answer or Unanswered.
type Start struct {
	Agent string
	Task  model.Task
	Grant uint64
	// Cause is the reason for the start.
	Cause Cause
}

// Cancel sends a wire.Cancel to the agent. No Answer needs to follow.
type Cancel struct {
	Agent string
	ID    string
}

// SendDemand sends the agent a wire.Demand, which asks it for slots.
type SendDemand struct {
	Agent  string
	Demand wire.Demand
}

// ReturnGrant sends the agent a wire.ReturnGrant, which returns an unused grant.
type ReturnGrant struct {
	Agent  string
	Return wire.ReturnGrant
}

// Resolve gives a request its one outcome.
type Resolve struct {
	ID      string
	Outcome model.Outcome
}

func (Start) effect()       {}
func (Cancel) effect()      {}
func (SendDemand) effect()  {}
func (ReturnGrant) effect() {}
func (Resolve) effect()     {}

// Cause is the reason for a start.
type Cause int

// The causes of a start.
const (
	First   Cause = iota // the first start of the task
	Refused              // an agent refused the last start, so the task did not run there
	Retry                // an earlier start failed or got no answer
	Hedge                // another start has been unanswered for long
)
