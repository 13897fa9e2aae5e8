// Package peers decides which entries an agent reports to, how often, and how long an
// entry may rely on a report. It does no I/O.
package peers

import (
	"math"

	"cyclamenrelay.example/model"
	"cyclamenrelay.example/wire"
)

// Choose returns at most n of the entries for an agent of the data centre, by rendezvous
// hashing: an agent keeps its entries while the list stays the same, and all agents
// together use the entries evenly. Half of them are in the agent's data centre as far as
// there are enough, so that the entries of each data centre reach targets in others too.
// Where entries state their sizes, a larger one serves more agents.
func Choose(agent, dataCentre string, entries []wire.Node, n int) []wire.Node {
	if len(entries) <= n {
		return entries
	}
	ranked := model.WeightedRendezvous(agent, entries, func(e wire.Node) string { return e.Name }, weights(entries))
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

// maxSizeRatio bounds the size of an entry as a multiple of the mean size, and its inverse: a
// size that is wrong by much must not send all agents to one entry, or none.
const maxSizeRatio = 4

// weights returns the weight of each entry: its size within the bounds of maxSizeRatio. An
// entry that does not state its size counts as the mean of those that do.
func weights(entries []wire.Node) func(wire.Node) float64 {
	sum, n := 0.0, 0
	for _, e := range entries {
		if hasSize(e) {
			sum, n = sum+e.Size, n+1
		}
	}
	if n == 0 {
		return func(wire.Node) float64 { return 1 }
	}
	mean := sum / float64(n)
	return func(e wire.Node) float64 {
		if !hasSize(e) {
			return mean
		}
		return min(max(e.Size, mean/maxSizeRatio), mean*maxSizeRatio)
	}
}

// hasSize reports whether the entry states a size that can be.
func hasSize(e wire.Node) bool { return e.Size > 0 && !math.IsInf(e.Size, 0) }

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
