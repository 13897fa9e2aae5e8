package ledger

import (
	"time"

	"cyclamenrelay.example/model"
	"cyclamenrelay.example/state"
)

// Command is a command of the ledger: OpenJob, TakeJob, AddAgents, FinishJob,
// OpenClaim, FinishClaim, ReleaseClaim, Expire or SetLimits.
type Command interface{ command() }

// OpenJob records a job before the first start of a task, with epoch 1.
type OpenJob struct {
	Key    string   `cbor:"1,keyasint"`
	Digest []byte   `cbor:"2,keyasint"`
	Owner  Owner    `cbor:"3,keyasint"`
	Tasks  int      `cbor:"4,keyasint"`
	Agents []string `cbor:"5,keyasint,omitempty"`
}

// TakeJob takes over an open job of the epoch: Owner becomes its owner and the
// epoch grows by one.
type TakeJob struct {
	Key   string `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
	Owner Owner  `cbor:"3,keyasint"`
}

// AddAgents records agents before the job's tasks are placed on them.
type AddAgents struct {
	Key    string   `cbor:"1,keyasint"`
	Epoch  uint64   `cbor:"2,keyasint"`
	Owner  Owner    `cbor:"3,keyasint"`
	Agents []string `cbor:"4,keyasint"`
}

// FinishJob records the end of a job. An Answer above MaxAnswer is not kept.
type FinishJob struct {
	Key   string `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
	Owner Owner  `cbor:"3,keyasint"`
	// Status is Complete or Failed.
	Status   Status `cbor:"4,keyasint"`
	Outcomes []byte `cbor:"5,keyasint,omitempty"`
	Answer   []byte `cbor:"6,keyasint,omitempty"`
}

// OpenClaim claims a key for the start of a non-idempotent request.
type OpenClaim struct {
	Key    string `cbor:"1,keyasint"`
	Digest []byte `cbor:"2,keyasint"`
	Owner  Owner  `cbor:"3,keyasint"`
	ID     string `cbor:"4,keyasint"`
}

// FinishClaim records the outcome of a request: exactly one of Complete and
// Failed. A body above MaxAnswer is not kept.
type FinishClaim struct {
	Key      string          `cbor:"1,keyasint"`
	Owner    Owner           `cbor:"2,keyasint"`
	ID       string          `cbor:"3,keyasint"`
	Complete *model.Complete `cbor:"4,keyasint,omitempty"`
	Failed   *model.Failed   `cbor:"5,keyasint,omitempty"`
}

// ReleaseClaim deletes a claim whose request certainly did not run.
type ReleaseClaim struct {
	Key   string `cbor:"1,keyasint"`
	Owner Owner  `cbor:"2,keyasint"`
	ID    string `cbor:"3,keyasint"`
}

// Expire drops records that are past their retention; the answer is Expired.
type Expire struct{}

// SetLimits replaces the limits; the answer is Usage. The limits are part of
// the replicated state, so that all replicas have the same.
type SetLimits struct {
	Limits Limits `cbor:"1,keyasint"`
}

// Limits bound the records of the ledger. A full ledger refuses new ones.
type Limits struct {
	// Finished and Open are the retention of finished and of open records after
	// their last change of owner or status.
	Finished time.Duration `cbor:"1,keyasint"`
	Open     time.Duration `cbor:"2,keyasint"`
	// Records bounds the number of jobs and claims together, Bytes their memory.
	Records int `cbor:"3,keyasint"`
	Bytes   int `cbor:"4,keyasint"`
}

// DefaultLimits are the limits of a new ledger.
var DefaultLimits = Limits{Finished: 24 * time.Hour, Open: 7 * 24 * time.Hour, Records: 100_000, Bytes: 128 << 20}

// Query is a query of the ledger: GetJob, GetClaim or GetUsage.
type Query interface{ query() }

// GetJob requests a job; the answer is JobResult.
type GetJob struct {
	Key string `cbor:"1,keyasint"`
}

// GetClaim requests a claim; the answer is ClaimResult.
type GetClaim struct {
	Key string `cbor:"1,keyasint"`
}

// GetUsage requests the number and size of the records; the answer is Usage.
type GetUsage struct{}

// Verdict is the result code of a command.
type Verdict string

// The verdicts.
const (
	Done     Verdict = "done"     // the command took effect
	Exists   Verdict = "exists"   // the key has a record already, with the same digest
	Conflict Verdict = "conflict" // the key has a record with another digest
	Finished Verdict = "finished" // the record was finished already
	Fenced   Verdict = "fenced"   // the sender is not the current owner
	Missing  Verdict = "missing"  // there is no such record
	Full     Verdict = "full"     // the ledger, or the record's list of agents, is full
)

// Result is an answer of the ledger: JobResult, ClaimResult, Expired, Usage or
// Invalid.
type Result interface{ result() }

// JobResult answers job commands and queries.
type JobResult struct {
	Verdict Verdict `cbor:"1,keyasint"`
	// Job is the record after the command, nil when there is none.
	Job *Job `cbor:"2,keyasint,omitempty"`
}

// ClaimResult answers claim commands and queries.
type ClaimResult struct {
	Verdict Verdict `cbor:"1,keyasint"`
	// Claim is the record after the command, nil when there is none.
	Claim *Claim `cbor:"2,keyasint,omitempty"`
}

// Expired answers Expire with the number of records that it dropped.
type Expired struct {
	Records int `cbor:"1,keyasint"`
}

// Usage answers SetLimits and GetUsage.
type Usage struct {
	Limits Limits `cbor:"1,keyasint"`
	Jobs   int    `cbor:"2,keyasint"`
	Claims int    `cbor:"3,keyasint"`
	Bytes  int    `cbor:"4,keyasint"`
}

// Invalid answers an invalid command or query, which had no effect.
type Invalid struct {
	Reason string `cbor:"1,keyasint"`
}

func (OpenJob) command()      {}
func (TakeJob) command()      {}
func (AddAgents) command()    {}
func (FinishJob) command()    {}
func (OpenClaim) command()    {}
func (FinishClaim) command()  {}
func (ReleaseClaim) command() {}
func (Expire) command()       {}
func (SetLimits) command()    {}
func (GetJob) query()         {}
func (GetClaim) query()       {}
func (GetUsage) query()       {}
func (JobResult) result()     {}
func (ClaimResult) result()   {}
func (Expired) result()       {}
func (Usage) result()         {}
func (Invalid) result()       {}

// The codecs of the ledger.
var (
	Commands = state.NewCodec[Command](OpenJob{}, TakeJob{}, AddAgents{}, FinishJob{},
		OpenClaim{}, FinishClaim{}, ReleaseClaim{}, Expire{}, SetLimits{})
	Queries = state.NewCodec[Query](GetJob{}, GetClaim{}, GetUsage{})
	Results = state.NewCodec[Result](JobResult{}, ClaimResult{}, Expired{}, Usage{}, Invalid{})
)
