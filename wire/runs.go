package wire

import (
	"time"

	"cyclamenrelay.example/batch"
	"cyclamenrelay.example/room"
)

// Codes 67 to 79: runs of tasks by resources.
var (
	_ = register(67, RoomReport{})
	_ = register(68, StartRun{})
	_ = register(69, RunEnded{})
)

// Room is what an agent's target has room for at a moment.
type Room struct {
	// Incarnation grows at each start of the agent. An agent reports only when
	// nothing runs that an earlier incarnation started.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Seq orders what is said of the room in one incarnation.
	Seq uint64 `cbor:"3,keyasint"`
	// Used is taken by runs, Backlog by tasks that wait, by how soon each counts as due.
	Used    batch.Resources `cbor:"9,keyasint"`
	Backlog room.Backlog    `cbor:"10,keyasint"`
	// Yours is the receiver's part of Used and Backlog.
	Yours batch.Resources `cbor:"11,keyasint"`
	// Turn is the mean time between the ends of runs while the target is full.
	Turn time.Duration `cbor:"12,keyasint"`
	// Slow is how much longer than estimated the target's runs take now, as a
	// factor, 0 while it is not clearly slow.
	Slow float64 `cbor:"14,keyasint,omitempty"`
}

// RoomReport tells an entry what an agent's target has room for. It is also how
// the entry's lease on its runs is renewed; the answer is Done.
type RoomReport struct {
	Agent string `cbor:"1,keyasint"`
	Room
	Target     string `cbor:"4,keyasint"`
	Pool       string `cbor:"5,keyasint"`
	DataCentre string `cbor:"6,keyasint"`
	// Open is false when the target takes no new work.
	Open     bool            `cbor:"7,keyasint,omitempty"`
	Capacity batch.Resources `cbor:"8,keyasint"`
	Labels   []string        `cbor:"13,keyasint,omitempty"`
}

// StartRun asks an agent to run a task; the answer is RunEnded.
type StartRun struct {
	Job  string `cbor:"1,keyasint"`
	Task string `cbor:"2,keyasint"`
	// Run numbers the starts of the task, from 1.
	Run      uint64          `cbor:"3,keyasint"`
	Spec     string          `cbor:"4,keyasint"`
	Need     batch.Resources `cbor:"5,keyasint"`
	Estimate time.Duration   `cbor:"6,keyasint"`
	// Priority orders tasks that wait: 0 goes first.
	Priority int `cbor:"7,keyasint,omitempty"`
	// Slack is how much later than now the task may start and be in time.
	Slack time.Duration `cbor:"8,keyasint"`
	// Patience is how much later than now it may start at all.
	Patience time.Duration `cbor:"9,keyasint"`
	// Overdue is how long the run may take before it is stopped so that the task
	// can go elsewhere, 0 for as long as it needs.
	Overdue time.Duration `cbor:"10,keyasint,omitempty"`
	// Movable runs are stopped when they would end sooner on another target.
	Movable bool `cbor:"11,keyasint,omitempty"`
}

// RunEnded answers a StartRun.
type RunEnded struct {
	End    batch.End `cbor:"1,keyasint"`
	Reason string    `cbor:"2,keyasint,omitempty"`
	// Shown says what the agent concluded the end from.
	Shown batch.Shown `cbor:"6,keyasint,omitempty"`
	// Waited is the time before the start, Ran that from the start to the end.
	Waited time.Duration `cbor:"3,keyasint,omitempty"`
	Ran    time.Duration `cbor:"4,keyasint,omitempty"`
	// Room is that of the target after the end, nil when the agent does not say.
	Room *Room `cbor:"5,keyasint,omitempty"`
}

func (RoomReport) message() {}
func (StartRun) message()   {}
func (RunEnded) message()   {}
