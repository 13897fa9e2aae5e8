// Package peers decides which entries an agent reports to, how often, and how long an
// entry may rely on a report. It does no I/O.
package peers

import (
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/wire"
)

// Choose returns at most n of the entries for an agent of the data centre, by rendezvous
// hashing: an agent keeps its entries while the list stays the same, and all agents
// together use the entries evenly. Half of them are in the agent's data centre as far as
// there are enough, so that the entries of each data centre reach targets in others too.
func Choose(agent, dataCentre string, entries []wire.Node, n int) []wire.Node {
	if len(entries) <= n {
		return entries
	}
	ranked := model.Rendezvous(agent, entries, func(e wire.Node) string { return e.Name })
	near := func(e wire.Node) bool { return e.DataCentre == dataCentre }
	chosen := take(ranked, (n+1)/2, near)
	chosen = append(chosen, take(ranked, n-len(chosen), func(e wire.Node) bool { return !near(e) })...)
	for _, e := range take(ranked, len(ranked), near) {
		if len(chosen) < n && !contains(chosen, e) {
			chosen = append(chosen, e)
		}
	}
	return chosen
}

// take returns the first n entries that satisfy ok.
func take(entries []wire.Node, n int, ok func(wire.Node) bool) []wire.Node {
	var out []wire.Node
	for _, e := range entries {
		if len(out) < n && ok(e) {
			out = append(out, e)
		}
	}
	return out
}

func contains(entries []wire.Node, e wire.Node) bool {
	for _, x := range entries {
		if x.Name == e.Name {
			return true
		}
	}
	return false
}
