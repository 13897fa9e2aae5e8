// Package ledger is the replicated state machine that records who owns each job
// (a submission of many tasks) and each claim (of a non-idempotent request), and
// how it ended. With these records no task of a job starts twice and no claimed
// request runs twice.
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

// Status is the state of a job, a claim or a task.
type Status byte

// The statuses. NotRun is used for the tasks of a finished job only.
const (
	Open     Status = 1
	Complete Status = 2
	Failed   Status = 3
	NotRun   Status = 4
)

// Job is the record of a job. It is immutable.
type Job struct {
	// Key is the caller's key for the submission, Digest identifies its content.
	Key    string `cbor:"1,keyasint"`
	Digest []byte `cbor:"2,keyasint"`
	Owner  Owner  `cbor:"3,keyasint"`
	// Epoch is the fencing token: it starts at 1 and grows with each new owner.
	Epoch uint64 `cbor:"4,keyasint"`
	// Agents lists the agents that tasks may have been placed on, sorted.
	Agents []string `cbor:"5,keyasint,omitempty"`
	Tasks  int      `cbor:"6,keyasint"`
	Status Status   `cbor:"7,keyasint"`
	// Outcomes holds the Status of each task once the job is finished.
	Outcomes []byte `cbor:"8,keyasint,omitempty"`
	// Answer is the encoded results, if they were small enough to be kept.
	Answer     []byte `cbor:"9,keyasint,omitempty"`
	AnswerKept bool   `cbor:"10,keyasint,omitempty"`
	// Opened and Finished are times since the Unix epoch, as logged by the leader.
	Opened   time.Duration `cbor:"11,keyasint"`
	Finished time.Duration `cbor:"12,keyasint,omitempty"`
	// ChangeSeq and ChangedAt are the number, over the whole ledger, and the time of
	// the last change of owner or status. The retention counts from that.
	ChangeSeq uint64        `cbor:"13,keyasint"`
	ChangedAt time.Duration `cbor:"14,keyasint"`
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

func (j Job) withChange(n uint64, at time.Duration) Job {
	j.ChangeSeq, j.ChangedAt = n, at
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

// checkSuccessor panics unless next is a valid update of j.
func (j Job) checkSuccessor(next Job) {
	state.Invariant(next.Epoch >= j.Epoch, "a job's epoch decreased")
	state.Invariant(next.Epoch > j.Epoch || next.Owner == j.Owner, "a job has two owners in one epoch")
	state.Invariant(j.Status == Open, "a finished job was changed")
	state.Invariant(slices.Equal(j.Digest, next.Digest) && j.Tasks == next.Tasks, "a job's tasks were changed")
}

// Claim is the record of a non-idempotent request. It is immutable.
type Claim struct {
	// Key is the caller's key for the request, Digest identifies its content.
	Key    string `cbor:"1,keyasint"`
	Digest []byte `cbor:"2,keyasint"`
	// ID and Owner identify the holder: only it may finish or release the claim.
	ID     string `cbor:"3,keyasint"`
	Owner  Owner  `cbor:"4,keyasint"`
	Status Status `cbor:"5,keyasint"`
	// Complete is set if the request completed. Its body is kept if BodyKept.
	Complete *model.Complete `cbor:"6,keyasint,omitempty"`
	BodyKept bool            `cbor:"7,keyasint,omitempty"`
	Failed   *model.Failed   `cbor:"8,keyasint,omitempty"`
	// Opened and Finished are times since the Unix epoch, as logged by the leader.
	Opened   time.Duration `cbor:"9,keyasint"`
	Finished time.Duration `cbor:"10,keyasint,omitempty"`
	// ChangeSeq and ChangedAt are the number, over the whole ledger, and the time of
	// the last change of status. The retention counts from that.
	ChangeSeq uint64        `cbor:"11,keyasint"`
	ChangedAt time.Duration `cbor:"12,keyasint"`
}

func (c Claim) withChange(n uint64, at time.Duration) Claim {
	c.ChangeSeq, c.ChangedAt = n, at
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

// checkSuccessor panics unless next is a valid update of c.
func (c Claim) checkSuccessor(next Claim) {
	state.Invariant(c.Status == Open, "a finished claim was changed")
	state.Invariant(c.heldBy(next.Owner, next.ID), "a claim changed its holder")
}

// Bytes that are charged for a record and for an agent's name, in addition to
// their contents.
const (
	recordOverhead = 512
	nameOverhead   = 16
)

// mergeNames returns the sorted union of two lists of names.
func mergeNames(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Clip(slices.Compact(all))
}
