// Package runner runs tasks on the single target of an agent: it queues them
// until the target has capacity, sends start and stop orders, renews the target's
// lease, and reports the results and the free capacity to entries.
package runner

import (
	"context"
	"time"

	"cyclamenrelay.example/batch"
)

// Target is one instance of a target, from its start to its exit, as it announces
// itself.
type Target struct {
	// ID identifies the instance.
	ID string
	// StartedAt is the start time of the instance in milliseconds since the Unix epoch,
	// 0 when unknown. It orders the instances on one worker.
	StartedAt int64
	// Seq orders the announcements of one instance.
	Seq        int64
	Pool       string
	Address    string
	DataCentre string
	// Open is false once the target is shutting down.
	Open     bool
	Capacity batch.Resources
	Labels   []string
	// Cold is how long the target will still be slow, as it says.
	Cold time.Duration
	// Clock is the reading of the target's monotonic clock at the announcement.
	Clock time.Duration
}

// Order asks a target to start or stop one run of a task.
type Order struct {
	Task string
	Run  uint64
	Spec string
	// LeaseEnd is the end of the target's lease by the target's clock. The target kills
	// all its runs then.
	LeaseEnd time.Duration
	// Fence is the sender's fencing token. A target rejects orders with a token
	// below the highest that it has seen.
	Fence uint64
}

// Verdict is a target's answer to an order.
type Verdict int

// The verdicts on an order. Every verdict but Accepted says that the order was
// certainly not carried out; a driver returns an error for an answer that does not
// tell.
const (
	// Accepted means that the order is carried out.
	Accepted Verdict = iota
	// Full means that the target lacks the capacity for the task.
	Full
	// Outdated means that this run of the task, or a later one, has already ended.
	Outdated
	// Expired means that LeaseEnd had passed when the order arrived.
	Expired
	// Fenced means that the target has seen a higher fencing token.
	Fenced
	// Unhealthy means that the target accepts no orders at present.
	Unhealthy
	// Replaced means that the target has exited and another instance answers at its
	// address.
	Replaced
	// Invalid means that the target never accepts such an order.
	Invalid
)

// String returns the verdict as a reason for logs and answers.
func (v Verdict) String() string {
	names := map[Verdict]string{
		Accepted: "accepted", Full: "the target is full", Outdated: "this run or a later one has already ended", Expired: "the order arrived after the lease that it grants had ended",
		Fenced: "another agent controls the target", Unhealthy: "the target is unhealthy", Replaced: "the target was replaced",
		Invalid: "the target rejected the order as invalid",
	}
	return names[v]
}

// Reply is a target's answer to an order.
type Reply struct {
	Verdict Verdict
	// Clock is the target's clock, 0 when the answer does not contain it.
	Clock time.Duration
}

// Renewal renews the lease that covers all runs on a target, and asks for the runs
// that have ended since.
type Renewal struct {
	// LeaseEnd is the new end of the lease by the target's clock, 0 to leave the lease
	// as it is.
	LeaseEnd time.Duration
	// Fence is the sender's fencing token.
	Fence uint64
	// LastEnded is the number of the last ended run that was processed. It acknowledges
	// the ended runs up to there.
	LastEnded int64
	// Wait is how long the target may delay its answer until a run ends (long poll).
	Wait time.Duration
}

// EndedRun is a run that a target lists as ended.
type EndedRun struct {
	// Number numbers the ended runs of one target instance, from 1.
	Number int64
	Task   string
	Run    uint64
	End    batch.End
}

// RunKey identifies a run. A target lists its current runs so.
type RunKey struct {
	Task string
	Run  uint64
}

// RunProgress is the progress of a run.
type RunProgress struct {
	RunKey
	// Percent is the completed part of the run, 0 to 100.
	Percent int
}

// Listing is the answer to a Renew: the runs in progress, and those that have ended
// after Renewal.LastEnded.
type Listing struct {
	Reply
	// StartedAt is Target.StartedAt of the answering instance, 0 when the answer does not
	// contain it.
	StartedAt int64
	Running   []RunProgress
	Ended     []EndedRun
}

// Driver sends orders to targets. A NotDelivered error says that the order
// certainly did not arrive. After any other error it may still be carried out.
type Driver interface {
	Start(ctx context.Context, t Target, o Order) (Reply, error)
	Stop(ctx context.Context, t Target, o Order) (Reply, error)
	Renew(ctx context.Context, t Target, h Renewal) (Listing, error)
}

// NotDelivered is the error for an order that certainly did not arrive. The target
// may still be running.
type NotDelivered struct{ Reason string }

// Error implements error.
func (e NotDelivered) Error() string { return "order not delivered: " + e.Reason }
