package batch

// End is how a run of a task ended.
type End string

// The ends of a run.
const (
	// Done means that the run succeeded.
	Done End = "done"
	// Failed means that the task or its target returned an error.
	Failed End = "failed"
	// Stopped means that the run was ended before it was done. It is certainly not
	// running any more.
	Stopped End = "stopped"
	// NotStarted means that the run certainly never started.
	NotStarted End = "notStarted"
	// Unanswered means that the target did not answer the start order. The run may have
	// started, and is certainly not running any more. Other runs on the target may be
	// unaffected.
	Unanswered End = "unanswered"
	// Lost means that the state of the run is unknown: it may go on until all leases
	// have ended.
	Lost End = "lost"
)

// Proof is the proof that a run has ended. A run without a proof may still be running.
type Proof string

// The proofs that a run has ended.
const (
	// ProofListing means that the target lists the run as ended.
	ProofListing Proof = "listing"
	// ProofAbsence means that the start order was not answered, and the target, asked after
	// it had accepted a stop order, does not list the run.
	ProofAbsence Proof = "absence"
	// ProofRefusal means that the start was refused.
	ProofRefusal Proof = "refusal"
	// ProofNoDelivery means that the start was certainly not delivered.
	ProofNoDelivery Proof = "noDelivery"
	// ProofSuccessor means that another target instance has answered at the address of the
	// run's target, which has therefore exited. An announcement is no such answer.
	ProofSuccessor Proof = "successor"
	// ProofLease means that the target's lease has certainly ended.
	ProofLease Proof = "lease"
	// ProofNotSent means that the agent never sent a start order for the run.
	ProofNotSent Proof = "waiting"
)
