package route

import (
	"time"

	"cyclamenrelay.example/model"
	"cyclamenrelay.example/place"
	"cyclamenrelay.example/wire"
)

// agentLease is how long an agent counts as alive after its last announcement.
const agentLease = 2 * time.Second

// agentMemory is how long a silent agent is kept: longer than the core may still
// send messages to it.
const agentMemory = 2 * time.Minute

// newer reports whether a replaces the earlier announcement b of the same agent.
func newer(a, b wire.Announce) bool {
	if a.Self.Incarnation != b.Self.Incarnation {
		return a.Self.Incarnation > b.Self.Incarnation
	}
	return a.Seq > b.Seq
}

// forget removes the agents that have been silent for longer than agentMemory.
func (r *Router) forget(now time.Time) {
	for name, a := range r.nodes {
		if now.Sub(a.heard) <= agentMemory {
			continue
		}
		delete(r.nodes, name)
		if c := r.asked[name]; c != nil {
			close(c)
			delete(r.asked, name)
		}
	}
}

// Candidates returns at most n agents whose targets may take the task, the nearest first.
func (r *Router) Candidates(t model.Task, n int) []wire.Node {
	var out []wire.Node
	r.Look(func(c *place.Core) {
		for _, name := range c.Candidates(t, n) {
			out = append(out, r.nodes[name].said.Self)
		}
	})
	return out
}

// Agents returns the newest announcement of each live agent.
func (r *Router) Agents() []wire.Announce {
	var out []wire.Announce
	r.Look(func(*place.Core) {
		now := r.opts.Clock.Now()
		for _, a := range r.nodes {
			if now.Sub(a.heard) <= agentLease {
				out = append(out, a.said)
			}
		}
	})
	return out
}

// Pending returns the number of tasks without an outcome, and how many of them
// are queued here.
func (r *Router) Pending() (all, queued int) {
	r.Look(func(c *place.Core) { all, queued = c.Pending() })
	return all, queued
}
