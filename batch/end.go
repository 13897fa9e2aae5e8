package batch

// End says how a run ended.
type End string

// The ends of a run.
const (
	// Done is a success.
	Done End = "done"
	// Failed is an error of the task or its target.
	Failed End = "failed"
	// Stopped is a run that was ended before it was done, and certainly runs no more.
	Stopped End = "stopped"
	// NotStarted certainly never ran.
	NotStarted End = "notStarted"
	// Unanswered is a start that its target left unanswered. It may have run, and
	// certainly runs no more; other work of the target may be well.
	Unanswered End = "unanswered"
	// Lost is a run of which nothing is known until all leases have ended.
	Lost End = "lost"
)

// Shown says what shows that a run is over. Nothing else does: a run without it
// may go on.
type Shown string

// What shows that a run is over.
const (
	// ByListing is an end that the target lists.
	ByListing Shown = "listing"
	// ByAbsence is a run whose start was left unanswered, and that the target, asked
	// after it obeyed a stop, does not list.
	ByAbsence Shown = "absence"
	// ByRefusal is a start that the target said it did not take.
	ByRefusal Shown = "refusal"
	// ByNoDelivery is a start that never arrived.
	ByNoDelivery Shown = "noDelivery"
	// BySuccessor is another life under the target's ID or at its address.
	BySuccessor Shown = "successor"
	// ByLease is the certain end of the target's lease.
	ByLease Shown = "lease"
	// ByWaiting is a run that was never ordered, whether it waited or could not.
	ByWaiting Shown = "waiting"
)
