package wire

import "time"

// Codes 50 to 59: jobs.
var (
	_ = register(50, Fence{})
	_ = register(51, Fenced{})
	_ = register(52, AskJob{})
	_ = register(53, JobState{})
)

// Fence tells an agent that a job has a new owner: starts of earlier epochs
// are refused from now on. The answer is Fenced.
type Fence struct {
	Job   string `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
}

// Fenced answers Fence with all tasks of the job that the agent has started.
type Fenced struct {
	// Incarnation is the agent's: one that restarted has forgotten earlier starts.
	Incarnation uint64       `cbor:"1,keyasint"`
	Tasks       []FencedTask `cbor:"2,keyasint,omitempty"`
	// Refused is set when the agent knows a newer owner than Epoch.
	Refused bool `cbor:"3,keyasint,omitempty"`
}

// FencedTask is a task that the agent has started.
type FencedTask struct {
	ID string `cbor:"1,keyasint"`
	// Result is set once the task has ended. A body that was not kept is
	// missing, and the result then is a failed one.
	Result *Result `cbor:"2,keyasint,omitempty"`
}

// JobAction is what an AskJob asks for.
type JobAction byte

// The actions.
const (
	JobStatus JobAction = 1
	JobAnswer JobAction = 2
	JobCancel JobAction = 3
)

// The states of a job.
const (
	JobOpen     = "open"
	JobComplete = "complete"
	JobFailed   = "failed"
	JobNotRun   = "notRun" // none of its tasks has run
)

// AskJob asks the entry that owns a job; the answer is JobState.
type AskJob struct {
	Key    string    `cbor:"1,keyasint"`
	Action JobAction `cbor:"2,keyasint"`
}

// JobState answers AskJob.
type JobState struct {
	Key string `cbor:"1,keyasint"`
	// State is open, complete, failed or notRun, empty when the entry does not have the job.
	State string `cbor:"2,keyasint"`
	Tasks int    `cbor:"3,keyasint"`
	Ended int    `cbor:"4,keyasint"`
	// Reason says why the job failed or was not run.
	Reason string        `cbor:"5,keyasint,omitempty"`
	Owner  string        `cbor:"6,keyasint,omitempty"`
	Age    time.Duration `cbor:"7,keyasint,omitempty"`
	// Results is the answer, when asked for and there.
	Results []Result `cbor:"8,keyasint,omitempty"`
	// Failed counts the ended tasks that are not complete; it is known at the owner only.
	Failed int `cbor:"9,keyasint,omitempty"`
}

func (Fence) message()    {}
func (Fenced) message()   {}
func (AskJob) message()   {}
func (JobState) message() {}
