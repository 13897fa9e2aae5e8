// Package model holds the immutable value types that all processes use: tasks,
// targets, outcomes and the items of the configuration.
package model

import (
	"maps"
	"time"
)

// Label names that have a meaning for the scheduling.
const (
	LabelKind = "kind" // the kind of work
	LabelTeam = "team" // the team whose quota and weight apply
)

// Limits on what one task may carry.
const (
	MaxBody       = 16 << 20         // bytes in a task's body or answer
	MaxLabels     = 32               // labels on a task or a target
	MaxLabelLen   = 128              // bytes in a label's name or value
	MaxSelector   = 1024             // bytes in a selector
	MaxKeyLen     = 200              // bytes in a submission key or claim key
	MaxJobTasks   = 890              // tasks in a job
	MaxUrgency    = 9                // the most urgent work
	MaxSlots      = 4096             // slots of a target
	MaxTimeToLive = 10 * time.Minute // from arrival to deadline
)

// Labels are the labels of work or of a target. They are immutable.
type Labels map[string]string

// With returns a copy of l in which name has the value.
func (l Labels) With(name, value string) Labels {
	c := maps.Clone(l)
	if c == nil {
		c = Labels{}
	}
	c[name] = value
	return c
}

// Without returns a copy of l without name.
func (l Labels) Without(name string) Labels {
	c := maps.Clone(l)
	delete(c, name)
	return c
}

// Task is one piece of work, from a request or from a job.
type Task struct {
	// ID identifies the task; it is unique over all tasks.
	ID string `cbor:"1,keyasint"`
	// Labels determine which of the operators' rules applies to the task.
	Labels Labels `cbor:"2,keyasint,omitempty"`
	// Selector limits the targets further, empty for no limit.
	Selector string `cbor:"3,keyasint,omitempty"`
	// Urgency orders work within its share, 0 (least) to MaxUrgency.
	Urgency int `cbor:"4,keyasint,omitempty"`
	// TimeLeft is the time to the deadline at the moment the message is sent.
	TimeLeft time.Duration `cbor:"5,keyasint,omitempty"`
	// Size is the declared size in bytes and RunTime the declared run time; both are hints.
	Size    int64         `cbor:"6,keyasint,omitempty"`
	RunTime time.Duration `cbor:"7,keyasint,omitempty"`
	// Idempotent work may be started more than once.
	Idempotent bool `cbor:"8,keyasint,omitempty"`
	// Job and Epoch identify the owner for tasks of jobs and for claims.
	Job   string `cbor:"9,keyasint,omitempty"`
	Epoch uint64 `cbor:"10,keyasint,omitempty"`
	// Body is what the target receives, and Type its content type.
	Body []byte `cbor:"11,keyasint,omitempty"`
	Type string `cbor:"12,keyasint,omitempty"`
	// Agents are the agents at which the entry may start the task, nil for any.
	Agents []string `cbor:"-"`
}

// Kind returns the kind of work.
func (t Task) Kind() string { return t.Labels[LabelKind] }

// Team returns the team whose quota and weight apply.
func (t Task) Team() string { return t.Labels[LabelTeam] }

// WithID returns a copy of t with the ID.
func (t Task) WithID(id string) Task {
	t.ID = id
	return t
}

// WithTimeLeft returns a copy of t with the time to the deadline.
func (t Task) WithTimeLeft(d time.Duration) Task {
	t.TimeLeft = d
	return t
}

// WithOwner returns a copy of t owned by the job or claim at the epoch.
func (t Task) WithOwner(job string, epoch uint64) Task {
	t.Job, t.Epoch = job, epoch
	return t
}

// Target is a target as it announces itself, or with the operators' overlays applied.
type Target struct {
	Name       string `cbor:"1,keyasint"`
	DataCentre string `cbor:"2,keyasint"`
	Labels     Labels `cbor:"3,keyasint,omitempty"`
	// Slots is the number of tasks that may run at once; MaxConns bounds the connections to the target.
	Slots    int `cbor:"4,keyasint"`
	MaxConns int `cbor:"5,keyasint"`
}

// WithLabels returns a copy of t with the labels.
func (t Target) WithLabels(l Labels) Target {
	t.Labels = l
	return t
}
