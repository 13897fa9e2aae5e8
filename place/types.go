// Package place is the decision core of an entry: it admits and queues work,
// chooses targets, and retries, hedges and times out what it has started.
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
	// Near lists the data centres, the entry's own first. Others count as equally far.
	Near []string
	// NoTargetWait is how long work waits for a matching target to appear.
	NoTargetWait time.Duration
	// Silence is the time without a heartbeat after which a target counts as dead.
	Silence time.Duration
	// MinTimeout is the least time before an unanswered start is given up.
	MinTimeout time.Duration
	// MaxTimeout is that time for kinds whose run times are not known yet.
	MaxTimeout time.Duration
	// RoundTrip is the longest usual time from a start to the agent and back.
	RoundTrip time.Duration
	// Fanout bounds the agents that are asked for slots for one share.
	Fanout int
}

// DefaultSettings returns the settings that a deployment starts from.
func DefaultSettings() Settings {
	return Settings{
		Policy:       fleet.IdleFirst{},
		NoTargetWait: 2 * time.Second,
		Silence:      2 * time.Second,
		MinTimeout:   2 * time.Second,
		MaxTimeout:   30 * time.Second,
		RoundTrip:    4 * time.Millisecond,
		Fanout:       32,
	}
}

// Input is an event that the shell passes to Core.Step.
type Input interface{ input() }

// Arrive is a new request. The task's ID must not be in use, and its TimeLeft counts from now.
type Arrive struct{ Task model.Task }

// Answer is an agent's answer to a Start.
type Answer struct {
	Agent  string
	Result wire.Result
}

// Lost says that a Start will not be answered. Unsent is set only when it
// certainly did not leave this process.
type Lost struct {
	Agent  string
	ID     string
	Unsent bool
}

// Heard is an agent's announcement or heartbeat.
type Heard struct{ Announce wire.Announce }

// Granted is a slot that an agent reserves for this entry.
type Granted struct {
	Agent string
	Grant wire.Grant
}

// Cancelled is a caller's cancellation.
type Cancelled struct{ ID string }

// Configured is a new configuration; an older one than the current is ignored.
type Configured struct{ Rules *rules.Set }

// PeerUse is the team use that another entry reports.
type PeerUse struct{ Use wire.TeamUse }

// Tick is sent when the time of Core.Wake is reached.
type Tick struct{}

func (Arrive) input()     {}
func (Answer) input()     {}
func (Lost) input()       {}
func (Heard) input()      {}
func (Granted) input()    {}
func (Cancelled) input()  {}
func (Configured) input() {}
func (PeerUse) input()    {}
func (Tick) input()       {}

// Effect is what the shell does after Core.Step.
type Effect interface{ effect() }

// Start sends a wire.Start to the agent; the shell answers it with Answer or Lost.
type Start struct {
	Agent string
	Task  model.Task
	Grant uint64
	// Cause says why the task is started once more; it is First on the first start.
	Cause Cause
}

// Cancel sends a wire.Cancel to the agent. No Answer is needed.
type Cancel struct {
	Agent string
	ID    string
}

// Ask sends a wire.Demand to the agent.
type Ask struct {
	Agent  string
	Demand wire.Demand
}

// GiveBack sends a wire.Return to the agent.
type GiveBack struct {
	Agent  string
	Return wire.Return
}

// Resolve is the one outcome of a request.
type Resolve struct {
	ID      string
	Outcome model.Outcome
}

func (Start) effect()    {}
func (Cancel) effect()   {}
func (Ask) effect()      {}
func (GiveBack) effect() {}
func (Resolve) effect()  {}

// Cause says why a start was sent.
type Cause int

// The causes of a start.
const (
	First Cause = iota
	Bounced
	Retry
	Hedge
)
