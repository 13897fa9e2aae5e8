// Package room decides which tasks a target runs: it holds the target's
// capacity, what is taken of it, and the tasks that wait. It does no I/O.
package room

import (
	"slices"
	"time"

	"cyclamenrelay.example/batch"
)

// Ticket is a task's claim on room.
type Ticket struct {
	// ID identifies the ticket; no two that are held have the same.
	ID uint64
	// Owner is the entry that sent the task.
	Owner string
	Need  batch.Resources
	// Estimate is how long the task probably runs.
	Estimate time.Duration
	// Priority orders tickets of like urgency: 0 goes first.
	Priority int
	// Due is the latest start that is in time.
	Due time.Time
	// Until is the latest start at all.
	Until time.Time
}

// Room is the room of one target. The zero value has none. Its methods must not
// be called concurrently.
type Room struct {
	capacity batch.Resources
	closed   bool
	waiting  []Ticket
	running  map[uint64]Ticket
	used     batch.Resources
}

// New returns a room without capacity.
func New() *Room { return &Room{running: map[uint64]Ticket{}} }

// Resize sets the capacity. What runs stays, also beyond it.
func (r *Room) Resize(c batch.Resources) { r.capacity = c }

// SetOpen says whether waiting tasks may start.
func (r *Room) SetOpen(open bool) { r.closed = !open }

// Enter adds a ticket to those that wait, ordered by what it may still wait.
func (r *Room) Enter(t Ticket) {
	i, _ := slices.BinarySearchFunc(r.waiting, t, compare)
	for i < len(r.waiting) && compare(r.waiting[i], t) == 0 {
		i++
	}
	r.waiting = slices.Insert(r.waiting, i, t)
}

// priorityLead is how much earlier than its due time a task counts as due for
// each level of priority above another one, by the floods of package assign.
const priorityLead = 40 * time.Millisecond

// Lead returns how much later than it is due a task of the priority counts as due.
func Lead(priority int) time.Duration { return time.Duration(priority) * priorityLead }

func (t Ticket) turn() time.Time { return t.Due.Add(Lead(t.Priority)) }

func compare(a, b Ticket) int { return a.turn().Compare(b.turn()) }

// Next takes room for the first waiting ticket that fits and returns it, or
// false when there is none. A ticket that is too large for what is free holds
// up those behind it, unless it can never fit.
func (r *Room) Next() (Ticket, bool) {
	if r.closed {
		return Ticket{}, false
	}
	free := r.capacity.Minus(r.used)
	for i, t := range r.waiting {
		if t.Need.Fits(free) {
			r.waiting = slices.Delete(r.waiting, i, i+1)
			r.running[t.ID] = t
			r.used = r.used.Plus(t.Need)
			return t, true
		}
		if t.Need.Fits(r.capacity) {
			return Ticket{}, false
		}
	}
	return Ticket{}, false
}

// Expired removes and returns the tickets whose latest start has passed.
func (r *Room) Expired(now time.Time) []Ticket {
	var out []Ticket
	r.waiting = slices.DeleteFunc(r.waiting, func(t Ticket) bool {
		late := now.After(t.Until)
		if late {
			out = append(out, t)
		}
		return late
	})
	return out
}

// Leave gives up a ticket, and its room when it has some.
func (r *Room) Leave(id uint64) {
	if t, ok := r.running[id]; ok {
		delete(r.running, id)
		r.used = r.used.Minus(t.Need)
		return
	}
	r.waiting = slices.DeleteFunc(r.waiting, func(t Ticket) bool { return t.ID == id })
}

// Capacity returns the capacity.
func (r *Room) Capacity() batch.Resources { return r.capacity }

// Used returns what runs take.
func (r *Room) Used() batch.Resources { return r.used }

// bands are the upper bounds of the bands of Backlog: the slack of the users'
// shortest tasks, and steps of twice as much.
var bands = [...]time.Duration{50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond}

// Backlog is what waits, by how soon it counts as due: a band for each bound in
// bands, and one for what counts as due later.
type Backlog [len(bands) + 1]batch.Resources

// Backlog returns what waits.
func (r *Room) Backlog(now time.Time) Backlog {
	var b Backlog
	for _, t := range r.waiting {
		i := band(t.turn().Sub(now))
		b[i] = b[i].Plus(t.Need)
	}
	return b
}

func band(left time.Duration) int {
	i, _ := slices.BinarySearch(bands[:], left)
	return i
}

// Ahead returns what waits before a task that counts as due in the given time:
// all of the bands that end before, and half of its own.
func (b Backlog) Ahead(left time.Duration) batch.Resources {
	own := band(left)
	var sum batch.Resources
	for _, x := range b[:own] {
		sum = sum.Plus(x)
	}
	return sum.Plus(b[own].Half())
}

// All returns all that waits.
func (b Backlog) All() batch.Resources {
	var sum batch.Resources
	for _, x := range b {
		sum = sum.Plus(x)
	}
	return sum
}

// Of returns what an owner's tasks take, waiting or running.
func (r *Room) Of(owner string) batch.Resources {
	var sum batch.Resources
	for _, t := range r.waiting {
		if t.Owner == owner {
			sum = sum.Plus(t.Need)
		}
	}
	for _, t := range r.running {
		if t.Owner == owner {
			sum = sum.Plus(t.Need)
		}
	}
	return sum
}

// Turn returns the mean time between the ends of runs by their estimates, 0
// when nothing runs.
func (r *Room) Turn() time.Duration {
	n := time.Duration(len(r.running))
	if n == 0 {
		return 0
	}
	var sum time.Duration
	for _, t := range r.running {
		sum += t.Estimate
	}
	return sum / n / n
}
