package route

import (
	"time"

	"cyclamenrelay.example/label"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/place"
	"cyclamenrelay.example/rules"
	"cyclamenrelay.example/wire"
)

// agentLease is how long an agent counts as there after its last announcement.
const agentLease = 2 * time.Second

// agentMemory is how long a silent agent is remembered: longer than the
// placement core may still send something to it.
const agentMemory = 2 * time.Minute

// newer reports whether a replaces the earlier announcement b of the same agent.
func newer(a, b wire.Announce) bool {
	if a.Self.Incarnation != b.Self.Incarnation {
		return a.Self.Incarnation > b.Self.Incarnation
	}
	return a.Seq > b.Seq
}

// forget drops what is kept of agents that have been silent for long.
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

// Candidates returns agents whose targets may take the task, at most n, the
// same ones for one task while the agents stay.
func (r *Router) Candidates(t model.Task, n int) []wire.Node {
	sel, err := label.Parse(t.Selector)
	if err != nil {
		return nil
	}
	set, _ := rules.Compile(r.opts.View.Config())
	rule := set.Classify(t.Labels)
	var fit []wire.Node
	for _, a := range r.Agents() {
		if a.Target == nil || a.Self.Leaving {
			continue
		}
		to, drained := set.Target(*a.Target)
		if !drained && rule.Allows(to.Labels) && sel.Matches(to.Labels) {
			fit = append(fit, a.Self)
		}
	}
	fit = model.Rendezvous(t.ID, fit, func(n wire.Node) string { return n.Name })
	return fit[:min(n, len(fit))]
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
