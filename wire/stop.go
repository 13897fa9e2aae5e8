package wire

var _ = register(78, WithdrawRun{})

// WithdrawRun takes back a run whose start order has not been sent to the target. The answer
// is Done, after which the run never starts and the StartRun is answered as not started, or
// Refused when the run may have started or is unknown.
type WithdrawRun struct {
	Task string `cbor:"1,keyasint"`
	Run  uint64 `cbor:"2,keyasint"`
	// Query is set when the sender only asks whether the run could be withdrawn.
	Query bool `cbor:"3,keyasint,omitempty"`
}

func (WithdrawRun) message() {}
