package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cyclamenrelay.example/fleet"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/rules"
	"cyclamenrelay.example/wire"

	"gotest.tools/v3/assert"
)

var now = time.Unix(1000, 0)

func announce(i, free int, dc string, seq uint64) wire.Announce {
	return wire.Announce{
		Self: wire.Node{Name: fmt.Sprint(i), Incarnation: 1}, Free: free, Seq: seq,
		Target: &model.Target{Name: fmt.Sprint(i), DataCentre: dc, Slots: 8},
	}
}

func newFleet(t *testing.T, dcs ...string) (*fleet.Fleet, *fleet.Class) {
	set, _ := rules.Compile(model.Config{})
	f := fleet.New(fleet.Settings{DataCentres: []string{"a", "b"}, HeartbeatTimeout: 2 * time.Second}, set)
	for i, dc := range dcs {
		f.Announce(now, announce(i, 8, dc, 1))
	}
	k, err := f.Class(now, set.Classify(nil), &model.Task{})
	assert.NilError(t, err)
	return f, k
}

// TestAtMostHalfOnProbation checks that at most half of the targets are on
// probation at once, also when all of them fail.
func TestAtMostHalfOnProbation(t *testing.T) {
	f, _ := newFleet(t, "a", "a", "a", "a", "a")
	for range 20 {
		for _, x := range f.Targets() {
			f.RecordOutcome(now, x, true, 1)
		}
	}
	ok := 0
	for _, x := range f.Targets() {
		if x.AcceptsQueued(now) {
			ok++
		}
	}
	assert.Equal(t, ok, 3)
}

// TestProbationEndsGradually checks that after a successful trial one, two and four
// starts are allowed at once, and then any number.
func TestProbationEndsGradually(t *testing.T) {
	f, _ := newFleet(t, "a", "a")
	x := f.Target("0")
	for range 4 {
		f.RecordOutcome(now, x, true, 1)
	}
	assert.Assert(t, !x.Allows(now, true))
	later := now.Add(time.Second)
	assert.Assert(t, x.Allows(later, true) && !x.Allows(later, false))
	done := 0
	for _, step := range []struct{ successes, allowed int }{{1, 1}, {2, 2}, {4, 4}, {8, 8}} {
		for ; done < step.successes; done++ {
			f.RecordOutcome(later, x, false, 0)
		}
		x.Inflight = step.allowed - 1
		assert.Assert(t, x.Allows(later, false), "after %d successes", done)
		x.Inflight = step.allowed
		assert.Equal(t, x.Allows(later, false), step.allowed == 8, "after %d successes", done)
	}
}

func TestNearestFirst(t *testing.T) {
	f, k := newFleet(t, "b", "a", "c")
	rnd := rand.New(rand.NewPCG(1, 1))
	all := func(*fleet.Target) bool { return true }
	assert.Equal(t, fleet.Choose(fleet.IdleFirst{}, k, rnd, all).Name, "1")
	f.Announce(now, announce(1, 0, "a", 2))
	assert.Equal(t, fleet.Choose(fleet.IdleFirst{}, k, rnd, all).Name, "0")
	f.Announce(now, announce(1, 8, "a", 1)) // outdated
	assert.Equal(t, fleet.Choose(fleet.IdleFirst{}, k, rnd, all).Name, "0")
	f.Sweep(now.Add(3 * time.Second))
	assert.Equal(t, k.Size(), 0)
}

// TestDemandOfSmallClass checks that little queued work asks one agent for slots, and
// several when it is a small part of all the queued work: no slot then stays free
// for other answers to report.
func TestDemandOfSmallClass(t *testing.T) {
	for _, tc := range []struct{ queued, waiting, want int }{{1, 1, 1}, {1, 8, 1}, {1, 9, 3}, {2, 2, 1}, {2, 100, 3}} {
		_, k := newFleet(t, "a", "a", "a", "a", "b", "b", "b", "b")
		k.Queued = tc.queued
		assert.Equal(t, len(k.AddDemand(now, tc.waiting, 32)), tc.want, "%+v", tc)
	}
}
