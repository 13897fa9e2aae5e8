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
		for name, a := range r.nodes {
			if now.Sub(a.heard) > agentLease {
				delete(r.nodes, name)
				continue
			}
			out = append(out, a.said)
		}
	})
	return out
}
