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

// Shown says what an end is concluded from.
type Shown string

// What ends are concluded from.
const (
	// ByListing is an end that the target lists.
	ByListing Shown = "listing"
	// ByAbsence is a run that the target, asked after it obeyed a stop, does not list.
	ByAbsence Shown = "absence"
	// ByStop is a stop that was answered, and the time that a stop takes.
	ByStop Shown = "stop"
	// ByRefusal is a start that the target said it did not take.
	ByRefusal Shown = "refusal"
	// ByNoListener is a target's address that refuses connections.
	ByNoListener Shown = "noListener"
	// BySuccessor is another life that took the target's place.
	BySuccessor Shown = "successor"
	// ByLeave is the target's word that it ends.
	ByLeave Shown = "leave"
	// ByLease is the end of the target's lease.
	ByLease Shown = "lease"
	// ByWaiting is a run that was never ordered.
	ByWaiting Shown = "waiting"
)
