package wire

import "time"

var (
	_ = register(78, WithdrawRun{})
	_ = register(79, CancelJobs{})
)

// WithdrawRun takes back a run whose start order has not been sent to the target. The answer
// is Done, after which the run never starts and the StartRun is answered as not started, or
// Refused when the run may have started or is unknown.
type WithdrawRun struct {
	Task string `cbor:"1,keyasint"`
	Run  uint64 `cbor:"2,keyasint"`
	// Query is set when the sender only asks whether the run could be withdrawn.
	Query bool `cbor:"3,keyasint,omitempty"`
}

// CancelJobs asks an entry to cancel jobs, to start none of them later, and to pass this on to
// other entries. The answer is a CancelJobs too, for the receiver and those it was to reach.
type CancelJobs struct {
	// Jobs has the IDs of jobs; in an answer, of those that were in progress and have ended.
	Jobs []string `cbor:"1,keyasint,omitempty"`
	// Relay has the names and addresses of the entries to pass the message on to.
	Relay []Node `cbor:"2,keyasint,omitempty"`
	// Timeout is how long the receiver may take.
	Timeout time.Duration `cbor:"3,keyasint,omitempty"`
	// Missed is, in an answer, the number of entries that have not confirmed it.
	Missed int `cbor:"4,keyasint,omitempty"`
}

func (WithdrawRun) message() {}
func (CancelJobs) message()  {}
