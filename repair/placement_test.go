package repair_test

import (
	"testing"
	"time"

	"cyclamenrelay.example/repair"
)

// Guards against a majority of the voters in one data centre: the loss of it, which the
// deployment allows, ends the quorum.
func TestLossOfADataCentreKeepsAQuorum(t *testing.T) {
	l := repair.Limits{Tolerance: 2, CatchUp: 6 * time.Second, SpreadVoters: true}
	for seed := range uint64(20) {
		s := newSimGroup(t, seed, l.Voters(), l)
		for i, dc := range []string{"a", "a", "b", "b", "c"} {
			s.keepers[i].dc = dc
		}
		s.run(2 * simAnnounce)
		// A keeper of a is about to be replaced. Its successor runs already.
		s.start(&simKeeper{id: s.newID(), dc: "a"})
		s.run(l.CatchUp)
		lost := s.keepers[2+s.rng.IntN(3)]
		s.stop(lost, true)
		s.run(s.randomTime(3 * time.Second))
		s.start(&simKeeper{id: s.newID(), dc: lost.dc})
		s.run(l.CatchUp)
		if s.members().IsVoter(lost.id) {
			t.Fatalf("seed %d: %s is not replaced:\n%s", seed, lost.id.Name, joinLines(s.events))
		}
		for _, k := range s.keepers {
			if k.dc == "a" {
				s.stop(k, false)
			}
		}
		s.checkQuorum()
	}
}
