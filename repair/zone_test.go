package repair_test

import (
	"slices"
	"testing"
	"time"

	"cyclamenrelay.example/repair"
)

// Guards against a majority of the voters in one data centre: the loss of it, which the
// deployment allows, ends the quorum.
func TestLossOfADataCentreKeepsAQuorum(t *testing.T) {
	l := repair.Limits{Tolerance: 2, CatchUp: 6 * time.Second}
	s := newSimGroup(t, 1, l.Voters(), l)
	// Two keepers in each of the first two data centres, one in the third. The first of
	// them is about to be replaced; its successor runs already.
	first := slices.Clone(s.keepers[:2])
	successor := &simKeeper{id: s.newID()}
	s.start(successor)
	s.run(l.CatchUp)
	s.stop(s.keepers[2], true)
	s.start(&simKeeper{id: s.newID()})
	s.run(l.CatchUp)
	for _, k := range append(first, successor) {
		s.stop(k, false)
	}
	s.checkQuorum()
}
