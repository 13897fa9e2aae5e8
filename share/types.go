// Package share is the decision core of an agent: it hands out the target's
// slots to the entries, by weighted fair queueing between shares.
package share

import (
	"time"

	"cyclamenrelay.example/model"
	"cyclamenrelay.example/rules"
	"cyclamenrelay.example/wire"
)

// Settings are the settings of a Core.
type Settings struct {
	// Slots is how many tasks run at once.
	Slots int
	// GrantTime is how long a slot stays reserved for an entry.
	GrantTime time.Duration
	// Buffer bounds the starts that wait for a slot when none is free, and
	// BufferTime how long each waits. With 0 such a start is refused at once.
	Buffer     int
	BufferTime time.Duration
	// Strict grants slots by urgency alone.
	Strict bool
}

// DefaultSettings returns the settings that a deployment starts from.
func DefaultSettings(slots int) Settings {
	return Settings{Slots: slots, GrantTime: 50 * time.Millisecond}
}

// Input is an event that the shell passes to Core.Step.
type Input interface{ input() }

// Start is an entry's wire.Start that was not seen before.
type Start struct {
	Entry string
	Start wire.Start
}

// Finished says that a task's slot is free again.
type Finished struct{ ID string }

// Demanded is an entry's backlog.
type Demanded struct {
	Entry  string
	Demand wire.Demand
}

// Returned is a grant that an entry gives back.
type Returned struct {
	Entry  string
	Return wire.Return
}

// Cancelled is an entry's wire.Cancel. It takes a start out of the buffer; the
// shell stops a running task itself.
type Cancelled struct {
	Entry string
	ID    string
}

// Gone says that the link to an entry was lost.
type Gone struct{ Entry string }

// Configured is a new configuration; an older one than the current is ignored.
type Configured struct{ Rules *rules.Set }

// Resized is a new number of slots. Running tasks keep theirs.
type Resized struct{ Slots int }

// Leave makes the agent refuse new work.
type Leave struct{}

// Tick is sent when the time of Core.Wake is reached.
type Tick struct{}

func (Start) input()      {}
func (Finished) input()   {}
func (Demanded) input()   {}
func (Returned) input()   {}
func (Cancelled) input()  {}
func (Gone) input()       {}
func (Configured) input() {}
func (Resized) input()    {}
func (Leave) input()      {}
func (Tick) input()       {}

// Effect is what the shell does after Core.Step.
type Effect interface{ effect() }

// Run starts the task at the target; the shell answers it with Finished.
type Run struct {
	Entry string
	Task  model.Task
}

// Refuse answers a start that was not run.
type Refuse struct {
	Entry  string
	ID     string
	NotRun model.NotRun
}

// Grant sends a reserved slot to an entry.
type Grant struct {
	Entry string
	Grant wire.Grant
}

func (Run) effect()    {}
func (Refuse) effect() {}
func (Grant) effect()  {}
