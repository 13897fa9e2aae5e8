package wire

import (
	"time"

	"cyclamenrelay.example/batch"
	"cyclamenrelay.example/sched"
)

// Codes 67 to 79: tasks that are placed by their resource requirements.
var (
	_ = register(67, LoadReport{})
	_ = register(68, StartRun{})
	_ = register(69, RunEnded{})
	_ = register(70, ConfirmRun{})
	_ = register(71, FindTargets{})
	_ = register(72, LentTargets{})
)

// TargetLoad is the load of an agent's target at one moment.
type TargetLoad struct {
	// Incarnation increases at each start of the agent. The agent reports only once
	// no run that an earlier incarnation started is still running.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Seq orders the values of TargetLoad within an incarnation.
	Seq uint64 `cbor:"3,keyasint"`
	// Used are the resources of running tasks, Backlog those of waiting tasks, in bands
	// by how soon they count as due.
	Used    batch.Resources `cbor:"9,keyasint"`
	Backlog sched.Backlog   `cbor:"10,keyasint"`
	// ReceiverUsed is the part of Used and Backlog that belongs to the receiving entry.
	ReceiverUsed batch.Resources `cbor:"11,keyasint"`
	// CompletionInterval is the mean time between the ends of runs while the target is full.
	CompletionInterval time.Duration `cbor:"12,keyasint"`
	// Slowdown is the ratio of actual to estimated run time at the target now, 0 while
	// the target is not clearly slow.
	Slowdown float64 `cbor:"14,keyasint,omitempty"`
	// RunRatio is the usual ratio of actual to estimated run time at the target, over the runs
	// of all entries, 0 while it is not known.
	RunRatio float64 `cbor:"16,keyasint,omitempty"`
	// Forecast is the capacity that the running tasks will probably release, empty when
	// nothing runs and from agents that do not forecast.
	Forecast sched.Forecast `cbor:"15,keyasint,omitempty"`
}

// LoadReport reports the capacity and load of an agent's target to an entry. The
// answer, Done, also renews the entry's lease on its runs.
type LoadReport struct {
	Agent string `cbor:"1,keyasint"`
	TargetLoad
	Target     string `cbor:"4,keyasint"`
	Pool       string `cbor:"5,keyasint"`
	DataCentre string `cbor:"6,keyasint"`
	// Open is false when the target accepts no new tasks.
	Open     bool            `cbor:"7,keyasint,omitempty"`
	Capacity batch.Resources `cbor:"8,keyasint"`
	Labels   []string        `cbor:"13,keyasint,omitempty"`
}

// StartRun asks an agent to run a task; the answer is RunEnded.
type StartRun struct {
	Job  string `cbor:"1,keyasint"`
	Task string `cbor:"2,keyasint"`
	// Run is the number of this start of the task, from 1.
	Run      uint64          `cbor:"3,keyasint"`
	Spec     string          `cbor:"4,keyasint"`
	Need     batch.Resources `cbor:"5,keyasint"`
	Estimate time.Duration   `cbor:"6,keyasint"`
	// Priority orders waiting tasks: 0 goes first.
	Priority int `cbor:"7,keyasint,omitempty"`
	// Slack is how long the start may be delayed so that the task still ends in time.
	Slack time.Duration `cbor:"8,keyasint"`
	// MaxStartDelay is how long the task may wait before it must not start any more.
	MaxStartDelay time.Duration `cbor:"9,keyasint"`
	// MaxRunTime is the run time after which the run is stopped, so that the task can
	// run elsewhere, unless its progress shows that another run would take as long; 0 for
	// no limit.
	MaxRunTime time.Duration `cbor:"10,keyasint,omitempty"`
	// Movable is set when the run may be stopped because it would end sooner on
	// another target.
	Movable bool `cbor:"11,keyasint,omitempty"`
	// Returnable is set when the task may be returned at once if it cannot start at once.
	Returnable bool `cbor:"12,keyasint,omitempty"`
	// Relative is the usual run time on the target as a multiple of that on the other targets
	// that the entry knows, 0 when it is not known.
	Relative float64 `cbor:"14,keyasint,omitempty"`
}

// RunEnded answers a StartRun.
type RunEnded struct {
	End    batch.End `cbor:"1,keyasint"`
	Reason string    `cbor:"2,keyasint,omitempty"`
	// Proof is the evidence from which the agent concluded that the run has ended.
	Proof batch.Proof `cbor:"6,keyasint,omitempty"`
	// Waited is the time before the start, Ran the time from the start to the end.
	Waited time.Duration `cbor:"3,keyasint,omitempty"`
	Ran    time.Duration `cbor:"4,keyasint,omitempty"`
	// Load is the target's load after the end, nil when the agent does not report it.
	Load *TargetLoad `cbor:"5,keyasint,omitempty"`
	// Returned is set for a task that was not started because it was returnable and the
	// target had no free capacity.
	Returned bool `cbor:"7,keyasint,omitempty"`
}

// ConfirmRun asks an entry whether it still wants a run that it has asked an agent to
// start. The answer is Done, which also renews the entry's lease on its runs, or Refused.
type ConfirmRun struct {
	Task string `cbor:"1,keyasint"`
	Run  uint64 `cbor:"2,keyasint"`
}

// FindTargets asks another entry for targets with free capacity; the answer is
// LentTargets.
type FindTargets struct {
	Pool  string          `cbor:"1,keyasint"`
	Need  batch.Resources `cbor:"2,keyasint"`
	Label string          `cbor:"3,keyasint,omitempty"`
}

// LentTargets answers FindTargets.
type LentTargets struct {
	Targets []LentTarget `cbor:"1,keyasint,omitempty"`
}

// LentTarget is a target that another entry may use.
type LentTarget struct {
	Report LoadReport `cbor:"1,keyasint"`
	// Address is the link address of the target's agent.
	Address string `cbor:"2,keyasint"`
	// Age is the time since the report came to the entry that lends the target.
	Age time.Duration `cbor:"3,keyasint"`
}

func (LoadReport) message()  {}
func (StartRun) message()    {}
func (RunEnded) message()    {}
func (ConfirmRun) message()  {}
func (FindTargets) message() {}
func (LentTargets) message() {}
