package peers_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/peers"
	"cyclamenrelay.example/wire"
)

const lease = 494 * time.Millisecond

func entries(n, dataCentres int) []wire.Node {
	var out []wire.Node
	for i := range n {
		out = append(out, wire.Node{Name: fmt.Sprint("e", i), DataCentre: fmt.Sprint("dc", i%dataCentres)})
	}
	return out
}

// Pattern: a deployment grows. However many entries there are, an agent has a bounded
// number of links, its reports come before they are too old, and a lease outlasts one
// lost report.
func TestReportsFitTheLeaseFromOneTo2000Entries(t *testing.T) {
	timing := peers.NewTiming(lease)
	assert.NilError(t, timing.Validate())
	for n := 1; n <= 2000; n++ {
		links := len(peers.Choose("a", "dc1", entries(n, 5), peers.HomeEntries))
		assert.Equal(t, links, min(n, peers.HomeEntries))
		for l := links; l <= peers.MaxLinks; l++ {
			pause := timing.Pause(l)
			assert.Assert(t, pause <= timing.BusyInterval, "%d entries: two reports are %v apart", n, pause)
			assert.Assert(t, pause+timing.IdleInterval < timing.MaxReportAge, "%d entries: a target looks silent between two reports", n)
			assert.Assert(t, pause+timing.BusyInterval+timing.ReportTimeout <= timing.Lease, "%d entries: a lost report ends the lease", n)
		}
	}
}

func TestContradictingIntervalsAreRefused(t *testing.T) {
	for name, change := range map[string]func(*peers.Timing){
		"reports rarer than their greatest age": func(t *peers.Timing) { t.IdleInterval = t.MaxReportAge },
		"work after the lease":                  func(t *peers.Timing) { t.MaxReportAge = t.Lease + 1 },
		"one lost report ends the lease":        func(t *peers.Timing) { t.ReportTimeout = t.Lease },
		"no lease":                              func(t *peers.Timing) { t.Lease = 0 },
	} {
		timing := peers.NewTiming(lease)
		change(&timing)
		assert.ErrorContains(t, timing.Validate(), "", name)
	}
}

// Pattern: a fleet of hundreds. Agents use the entries evenly, half of them in their own
// data centre, and an entry that goes moves only its own agents.
func TestAgentsSpreadOverEntries(t *testing.T) {
	const agents, dataCentres = 240, 5
	all := entries(55, dataCentres)
	used := map[string]int{}
	moved := 0
	for a := range agents {
		name, dc := fmt.Sprint("a", a), fmt.Sprint("dc", a%dataCentres)
		chosen := peers.Choose(name, dc, all, peers.HomeEntries)
		near := 0
		for _, e := range chosen {
			used[e.Name]++
			if e.DataCentre == dc {
				near++
			}
		}
		assert.Equal(t, near, peers.HomeEntries/2)
		after := peers.Choose(name, dc, all[1:], peers.HomeEntries)
		same := map[string]bool{}
		for _, e := range chosen {
			same[e.Name] = true
		}
		changed := 0
		for _, e := range after {
			if !same[e.Name] {
				changed++
			}
		}
		if !same[all[0].Name] {
			assert.Equal(t, changed, 0, "an agent changed its entries though it did not use the one that left")
			continue
		}
		moved++
		assert.Equal(t, changed, 1)
	}
	assert.Equal(t, moved, used[all[0].Name])
	mean := agents * peers.HomeEntries / len(all)
	for _, e := range all {
		assert.Assert(t, used[e.Name] > mean/3 && used[e.Name] < mean*2, "%s has %d agents, the mean is %d", e.Name, used[e.Name], mean)
	}
}

// Pattern: a data centre with fewer entries than an agent wants there, and one without any.
func TestDataCentreWithFewEntries(t *testing.T) {
	all := append(entries(8, 1), wire.Node{Name: "x", DataCentre: "far"})
	for _, dc := range []string{"dc0", "far", "none"} {
		chosen := peers.Choose("a", dc, all, peers.HomeEntries)
		assert.Equal(t, len(chosen), peers.HomeEntries, dc)
		seen := map[string]bool{}
		for _, e := range chosen {
			assert.Assert(t, !seen[e.Name], "%s is chosen twice", e.Name)
			seen[e.Name] = true
		}
	}
}

// uses returns how many of the agents use each entry.
func uses(entries []wire.Node, agents int) map[string]int {
	out := map[string]int{}
	for a := range agents {
		for _, e := range peers.Choose(fmt.Sprint("a", a), fmt.Sprint("dc", a%3), entries, peers.HomeEntries) {
			out[e.Name]++
		}
	}
	return out
}

// Pattern: an entry has three times the processors of the others, and smaller ones ran out of
// theirs with as many agents.
func TestLargerEntriesServeMoreAgents(t *testing.T) {
	const agents = 3000
	all := entries(30, 3)
	for i := range all {
		all[i].Size = 0.15
	}
	all[4].Size, all[5].Size = 0.45, 0
	used := uses(all, agents)
	mean := float64(agents*peers.HomeEntries) / float64(len(all))
	assert.Assert(t, float64(used["e4"]) > 2.2*mean && float64(used["e4"]) < 3.2*mean, "%d, the mean is %v", used["e4"], mean)
	assert.Assert(t, float64(used["e5"]) > 0.8*mean && float64(used["e5"]) < 1.3*mean, "an entry that does not state its size has %d agents, the mean is %v", used["e5"], mean)
}

// Entries of equal or unknown sizes are chosen as before, or an upgrade would move all agents.
func TestEqualSizesKeepTheChoice(t *testing.T) {
	plain := entries(30, 3)
	for _, size := range []float64{0.19, -1, math.NaN(), math.Inf(1)} {
		sized := entries(30, 3)
		for i := range sized {
			sized[i].Size = size
		}
		sized[3].Size = 0
		for a := range 1000 {
			agent, dc := fmt.Sprint("a", a), fmt.Sprint("dc", a%3)
			for i, e := range peers.Choose(agent, dc, sized, peers.HomeEntries) {
				assert.Equal(t, e.Name, peers.Choose(agent, dc, plain, peers.HomeEntries)[i].Name)
			}
		}
	}
}

// A size that is wrong by a factor of a hundred must not send all agents to one entry.
func TestWrongSizeIsBounded(t *testing.T) {
	const agents = 900
	all := entries(30, 3)
	for i := range all {
		all[i].Size = 0.2
	}
	all[0].Size = 20
	used := uses(all, agents)
	for _, e := range all {
		assert.Assert(t, used[e.Name] > 0, "%s has no agents", e.Name)
	}
}
