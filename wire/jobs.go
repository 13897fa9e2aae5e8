package wire

import "time"

// Codes 50 to 59: jobs.
var (
	_ = register(50, Fence{})
	_ = register(51, Fenced{})
	_ = register(52, AskJob{})
	_ = register(53, JobState{})
)

// Fence tells an agent that a job has a new owner with a higher epoch, which is the
// fencing token: the agent refuses starts of earlier epochs from now on. The answer
// is Fenced.
type Fence struct {
	Job   string `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
}

// Fenced answers Fence with all tasks of the job that the agent has started.
type Fenced struct {
	// Incarnation is that of the agent, which does not know the starts before its
	// own restart.
	Incarnation uint64       `cbor:"1,keyasint"`
	Tasks       []FencedTask `cbor:"2,keyasint,omitempty"`
	// Refused is set when the agent knows a newer owner: the fence had no effect.
	Refused bool `cbor:"3,keyasint,omitempty"`
}

// FencedTask is a task that the agent has started.
type FencedTask struct {
	ID string `cbor:"1,keyasint"`
	// Result is set once the task has ended. If the agent did not keep the body of
	// a complete result, this is a failed one.
	Result *Result `cbor:"2,keyasint,omitempty"`
}

// JobAction is the action of an AskJob.
type JobAction byte

// The actions.
const (
	JobStatus JobAction = 1 // return the state without results
	JobAnswer JobAction = 2 // return the state with the results
	JobCancel JobAction = 3 // cancel the job and return the state
)

// The states of a job.
const (
	JobOpen     = "open"
	JobComplete = "complete"
	JobFailed   = "failed"
	JobNotRun   = "notRun" // none of its tasks has run
)

// AskJob asks the entry that owns a job for its state, or to cancel it; the answer
// is JobState.
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
	// Results are the results of the tasks, when requested and available.
	Results []Result `cbor:"8,keyasint,omitempty"`
	// Failed is the number of ended tasks that are not complete. Only the owner of
	// the job sets it.
	Failed int `cbor:"9,keyasint,omitempty"`
}

func (Fence) message()    {}
func (Fenced) message()   {}
func (AskJob) message()   {}
func (JobState) message() {}
