// Package ledger holds the state machine of jobs and claims: who owns a
// submission or a non-idempotent request, and how it ended. It exists so that
// no task of a submission starts twice and no claimed request runs twice.
package ledger

import (
	"slices"
	"time"

	"cyclamenrelay.example/model"
	"cyclamenrelay.example/state"
)

// Limits on one record.
const (
	MaxAgents = 64       // agents that a job may be placed on
	MaxAnswer = 64 << 10 // bytes of a kept answer
	MaxDigest = 64       // bytes of a digest
	MaxName   = 128      // bytes of the name of an entry, agent or claim
)

// Owner is one process of an entry.
type Owner struct {
	Entry string `cbor:"1,keyasint"`
	// Incarnation grows at each start of the process.
	Incarnation uint64 `cbor:"2,keyasint"`
}

// Status says how far the work is.
type Status byte

// The statuses of jobs and claims; NotRun is one of a finished job's tasks only.
const (
	Open     Status = 1
	Complete Status = 2
	Failed   Status = 3
	NotRun   Status = 4
)

// Job is the record of a submission. It is not changed after construction.
type Job struct {
	// Key is the caller's submission key, Digest that of the job's tasks.
	Key    string `cbor:"1,keyasint"`
	Digest []byte `cbor:"2,keyasint"`
	Owner  Owner  `cbor:"3,keyasint"`
	// Epoch is the fence number: it grows with each new owner, from 1.
	Epoch uint64 `cbor:"4,keyasint"`
	// Agents are those that the job may have been placed on, sorted.
	Agents []string `cbor:"5,keyasint,omitempty"`
	Tasks  int      `cbor:"6,keyasint"`
	Status Status   `cbor:"7,keyasint"`
	// Outcomes holds the Status of each task once the job is finished.
	Outcomes []byte `cbor:"8,keyasint,omitempty"`
	// Answer is the whole answer if it was kept.
	Answer     []byte `cbor:"9,keyasint,omitempty"`
	AnswerKept bool   `cbor:"10,keyasint,omitempty"`
	// Opened and Finished are logged times since the Unix epoch.
	Opened   time.Duration `cbor:"11,keyasint"`
	Finished time.Duration `cbor:"12,keyasint,omitempty"`
	// Touch orders the records by their last change of owner or status.
	Touch   uint64        `cbor:"13,keyasint"`
	Touched time.Duration `cbor:"14,keyasint"`
}

func (j Job) withOwner(o Owner) Job {
	j.Owner = o
	j.Epoch++
	return j
}

func (j Job) withAgents(names []string) Job {
	j.Agents = mergeNames(j.Agents, names)
	return j
}

func (j Job) withTouch(n uint64, at time.Duration) Job {
	j.Touch, j.Touched = n, at
	return j
}

func (j Job) ownedBy(o Owner, epoch uint64) bool { return j.Owner == o && j.Epoch == epoch }

func (j Job) size() int {
	n := recordOverhead + len(j.Key) + len(j.Digest) + len(j.Owner.Entry) + len(j.Outcomes) + len(j.Answer)
	for _, a := range j.Agents {
		n += nameOverhead + len(a)
	}
	return n
}

// checkSuccessor panics unless next may follow j.
func (j Job) checkSuccessor(next Job) {
	state.Invariant(next.Epoch >= j.Epoch, "a job's epoch went back")
	state.Invariant(next.Epoch > j.Epoch || next.Owner == j.Owner, "a job has two owners at one epoch")
	state.Invariant(j.Status == Open, "a finished job was changed")
	state.Invariant(slices.Equal(j.Digest, next.Digest) && j.Tasks == next.Tasks, "a job's tasks were changed")
}

// Claim is the record of a non-idempotent request. It is not changed after construction.
type Claim struct {
	// Key is the caller's key, Digest that of the task.
	Key    string `cbor:"1,keyasint"`
	Digest []byte `cbor:"2,keyasint"`
	// ID identifies the claim of Owner; only they may finish or release it.
	ID     string `cbor:"3,keyasint"`
	Owner  Owner  `cbor:"4,keyasint"`
	Status Status `cbor:"5,keyasint"`
	// Complete is set if the work is complete. Its body is there if BodyKept.
	Complete *model.Complete `cbor:"6,keyasint,omitempty"`
	BodyKept bool            `cbor:"7,keyasint,omitempty"`
	Failed   *model.Failed   `cbor:"8,keyasint,omitempty"`
	// Opened and Finished are logged times since the Unix epoch.
	Opened   time.Duration `cbor:"9,keyasint"`
	Finished time.Duration `cbor:"10,keyasint,omitempty"`
	// Touch orders the records by their last change of status.
	Touch   uint64        `cbor:"11,keyasint"`
	Touched time.Duration `cbor:"12,keyasint"`
}

func (c Claim) withTouch(n uint64, at time.Duration) Claim {
	c.Touch, c.Touched = n, at
	return c
}

func (c Claim) heldBy(o Owner, id string) bool { return c.Owner == o && c.ID == id }

func (c Claim) size() int {
	n := recordOverhead + len(c.Key) + len(c.Digest) + len(c.ID) + len(c.Owner.Entry)
	if c.Complete != nil {
		n += len(c.Complete.Body) + len(c.Complete.Target) + len(c.Complete.Type)
	}
	if c.Failed != nil {
		n += len(c.Failed.Reason) + len(c.Failed.Target)
	}
	return n
}

// checkSuccessor panics unless next may follow c.
func (c Claim) checkSuccessor(next Claim) {
	state.Invariant(c.Status == Open, "a finished claim was changed")
	state.Invariant(c.heldBy(next.Owner, next.ID), "a claim changed its holder")
}

// Sizes in bytes that are charged for a record and a name besides their text.
const (
	recordOverhead = 512
	nameOverhead   = 16
)

// mergeNames returns the sorted union.
func mergeNames(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Clip(slices.Compact(all))
}
