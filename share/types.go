// Package share is the slot scheduler of an agent, a state machine without I/O: it
// grants the target's slots to the entries, by weighted fair queueing between
// shares. A share is the work that one rule selects.
package share

import (
	"time"

	"cyclamenrelay.example/model"
	"cyclamenrelay.example/rules"
	"cyclamenrelay.example/wire"
)

// Settings are the settings of a Core.
type Settings struct {
	// Slots is the number of tasks that may run at once.
	Slots int
	// GrantTime is how long a slot stays reserved for an entry.
	GrantTime time.Duration
	// Buffer bounds the starts that wait for a slot when none is free; with 0 such
	// a start is refused at once. BufferTime bounds how long each waits, 0 for no bound.
	Buffer     int
	BufferTime time.Duration
	// Strict grants slots by urgency alone and ignores weights.
	Strict bool
}

// DefaultSettings returns the settings that a deployment starts from.
func DefaultSettings(slots int) Settings {
	return Settings{Slots: slots, GrantTime: 50 * time.Millisecond}
}

// Input is an event for Core.Step.
type Input interface{ input() }

// Start is an entry's wire.Start; the caller of Core.Step has dropped duplicates.
type Start struct {
	Entry string
	Start wire.Start
}

// Finished reports that a task has ended and its slot is free.
type Finished struct{ ID string }

// Demanded is an entry's demand for slots, by share. It replaces earlier demand for
// the same shares.
type Demanded struct {
	Entry  string
	Demand wire.Demand
}

// Returned is an unused grant that an entry returns.
type Returned struct {
	Entry  string
	Return wire.ReturnGrant
}

// Cancelled is an entry's wire.Cancel. It removes a start that waits in the
// buffer; stopping a running task is left to the caller of Core.Step.
type Cancelled struct {
	Entry string
	ID    string
}

// EntryLost reports that the link to an entry was lost.
type EntryLost struct{ Entry string }

// Configured is a new configuration; one that is not newer than the current one is ignored.
type Configured struct{ Rules *rules.Set }

// Resized is a new number of slots. Running tasks keep theirs.
type Resized struct{ Slots int }

// Drain makes the agent refuse new work.
type Drain struct{}

// Withdraw refuses the starts that wait for a slot, because the target's data centre is
// evacuated. Running tasks keep their slots.
type Withdraw struct{}

// Tick reports that the time of Core.NextTick has been reached.
type Tick struct{}

func (Start) input()      {}
func (Finished) input()   {}
func (Demanded) input()   {}
func (Returned) input()   {}
func (Cancelled) input()  {}
func (EntryLost) input()  {}
func (Configured) input() {}
func (Resized) input()    {}
func (Drain) input()      {}
func (Withdraw) input()   {}
func (Tick) input()       {}

// Effect is an action that Core.Step asks its caller to carry out.
type Effect interface{ effect() }

// Run starts the task at the target. Each is followed by one Finished.
type Run struct {
	Entry string
	Task  model.Task
}

// Refuse answers a start whose task was not run.
type Refuse struct {
	Entry  string
	ID     string
	NotRun model.NotRun
}

// Grant tells an entry that a slot is reserved for it.
type Grant struct {
	Entry string
	Grant wire.Grant
}

func (Run) effect()    {}
func (Refuse) effect() {}
func (Grant) effect()  {}
