package route

import (
	"time"

	"cyclamenrelay.example/model"
	"cyclamenrelay.example/place"
	"cyclamenrelay.example/wire"
)

// agentLease is how long an agent counts as alive after its last announcement.
const agentLease = 2 * time.Second

// agentRetention is how long a silent agent is kept: longer than the core may still
// send messages to it.
const agentRetention = 2 * time.Minute

// newer reports whether a replaces the earlier announcement b of the same agent.
func newer(a, b wire.Announce) bool {
	if a.Self.Incarnation != b.Self.Incarnation {
		return a.Self.Incarnation > b.Self.Incarnation
	}
	return a.Seq > b.Seq
}

// forgetSilent removes the agents that have been silent for longer than agentRetention.
func (r *Router) forgetSilent(now time.Time) {
	for name, a := range r.agents {
		if now.Sub(a.lastHeard) <= agentRetention {
			continue
		}
		delete(r.agents, name)
		if c := r.demand[name]; c != nil {
			close(c)
			delete(r.demand, name)
		}
	}
}

// Candidates returns at most n agents whose targets may take the task, the nearest first.
func (r *Router) Candidates(t model.Task, n int) []wire.Node {
	var out []wire.Node
	r.WithCore(func(c *place.Core) {
		for _, name := range c.Candidates(t, n) {
			out = append(out, r.agents[name].announce.Self)
		}
	})
	return out
}

// Agents returns the newest announcement of each live agent.
func (r *Router) Agents() []wire.Announce {
	var out []wire.Announce
	r.WithCore(func(*place.Core) {
		now := r.opts.Clock.Now()
		for _, a := range r.agents {
			if now.Sub(a.lastHeard) <= agentLease {
				out = append(out, a.announce)
			}
		}
	})
	return out
}

// Pending returns the number of tasks without an outcome, and how many of them
// are queued here.
func (r *Router) Pending() (all, queued int) {
	r.WithCore(func(c *place.Core) { all, queued = c.Pending() })
	return all, queued
}
