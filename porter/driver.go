// Package porter runs tasks on the one target of an agent: it grants them room,
// orders their starts and stops, keeps their leases, and tells entries how they
// ended and what room is left.
package porter

import (
	"context"
	"time"

	"cyclamenrelay.example/batch"
)

// Target is one life of a target as it announces itself.
type Target struct {
	// ID names this life.
	ID string
	// Born orders the lives on one worker, in milliseconds since the Unix epoch.
	Born int64
	// Seq orders the announcements of one life.
	Seq        int64
	Pool       string
	Address    string
	DataCentre string
	// Open is false once the target is leaving.
	Open     bool
	Capacity batch.Resources
	Labels   []string
	// Clock is the target's own steady clock when it announced itself.
	Clock time.Duration
}

// Order names a run of a task to a target.
type Order struct {
	Task string
	Run  uint64
	Spec string
	// Until is when all that runs on the target is killed, by the target's clock.
	Until time.Duration
	// Fence is the number of who gives the order; a target obeys none below the
	// highest that it has seen.
	Fence uint64
}

// Verdict is a target's answer to an order.
type Verdict int

// The verdicts on an order. All but Accepted say that nothing was done; an
// answer that leaves this open is an error.
const (
	// Accepted orders are carried out.
	Accepted Verdict = iota
	// Full targets have no room for the task.
	Full
	// Outdated orders name a run that ended, or a smaller one.
	Outdated
	// Expired orders have an Until that has passed.
	Expired
	// Fenced orders have a fence below the highest seen.
	Fenced
	// Unhealthy targets take nothing now.
	Unhealthy
	// Replaced targets have ended; another life answers at the address.
	Replaced
	// Invalid orders are never taken.
	Invalid
)

// String returns the verdict as a reason in logs and answers.
func (v Verdict) String() string {
	names := map[Verdict]string{
		Accepted: "accepted", Full: "the target is full", Outdated: "a later run was there", Expired: "the order came late",
		Fenced: "another agent gives the orders", Unhealthy: "the target is unhealthy", Replaced: "the target was replaced",
		Invalid: "the target does not take the order",
	}
	return names[v]
}

// Reply is a target's answer and its clock, 0 when it did not say.
type Reply struct {
	Verdict Verdict
	Clock   time.Duration
}

// Hold renews the lease of all that runs on a target, and asks for what ended.
type Hold struct {
	// Until is the new end of the lease by the target's clock, 0 to leave it.
	Until time.Duration
	Fence uint64
	// Seen is the number of the last end that was taken note of.
	Seen int64
	// Wait is how long the target may wait for an end before it answers.
	Wait time.Duration
}

// Ended is a run that a target lists as ended.
type Ended struct {
	// N numbers the ends of one life of the target, from 1.
	N    int64
	Task string
	Run  uint64
	End  batch.End
}

// Running is a run that a target lists as running.
type Running struct {
	Task string
	Run  uint64
}

// Standing is how far a run is.
type Standing struct {
	Running
	// Percent is how much of the run is done, 0 to 100.
	Percent int
}

// Listing answers a Hold.
type Listing struct {
	Reply
	// Born is that of the answering life, 0 when it did not say.
	Born    int64
	Running []Standing
	Ended   []Ended
}

// Driver gives orders to targets. An error that satisfies NotDelivered says that
// the order certainly did not arrive; after any other, it may still be carried out.
type Driver interface {
	Start(ctx context.Context, t Target, o Order) (Reply, error)
	Stop(ctx context.Context, t Target, o Order) (Reply, error)
	Hold(ctx context.Context, t Target, h Hold) (Listing, error)
}

// NotDelivered is the error of an order that certainly did not arrive. It does
// not say that the target has ended.
type NotDelivered struct{ Reason string }

// Error implements error.
func (e NotDelivered) Error() string { return "not delivered: " + e.Reason }
