package repair_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"cyclamenrelay.example/repair"
	"cyclamenrelay.example/rlog"
)

// loss is a kind of loss. It returns after the last of the lost machines is back, or
// the last successor has started.
type loss func(s *simGroup, lost []*simKeeper)

// replaced loses machines for good. Empty successors start up to 3 s later.
func replaced(s *simGroup, lost []*simKeeper) {
	for _, k := range lost {
		s.stop(k, true)
	}
	for range lost {
		s.run(s.randomTime(1500 * time.Millisecond))
		s.start(&simKeeper{id: s.newID()})
	}
}

// poweredOff takes machines down for up to 8 s. They come back with their disks.
func poweredOff(s *simGroup, lost []*simKeeper) {
	for _, k := range lost {
		s.stop(k, false)
	}
	for _, k := range lost {
		s.run(s.randomTime(4 * time.Second))
		s.start(k)
	}
}

// wiped takes machines down for up to 3 s. They come back under their names without
// their disks.
func wiped(s *simGroup, lost []*simKeeper) {
	for _, k := range lost {
		s.stop(k, true)
	}
	for _, k := range lost {
		s.run(s.randomTime(1500 * time.Millisecond))
		s.start(&simKeeper{id: rlog.ID{Name: k.id.Name, Incarnation: k.id.Incarnation + 1}})
	}
}

// frozen suspends machines for up to 6 s.
func frozen(s *simGroup, lost []*simKeeper) {
	for _, k := range lost {
		k.frozen = true
		s.note("%s freezes", k.id.Name)
	}
	for _, k := range lost {
		s.run(s.randomTime(3 * time.Second))
		k.frozen = false
		s.note("%s thaws", k.id.Name)
	}
}

// planned starts a successor, stops the machine that it replaces once that no longer
// counts, and loses the others in that moment. The machine ends when it is no voter.
func planned(s *simGroup, lost []*simKeeper) {
	s.start(&simKeeper{id: s.newID()})
	s.run(s.limits.CatchUp + s.randomTime(2*time.Second))
	var old *simKeeper
	for old == nil || slices.Contains(lost, old) || old.id.Name == fmt.Sprintf("k%d", s.nextName) {
		old = s.pick(1)[0]
	}
	s.note("%s leaves", old.id.Name)
	old.leaving = true
	s.announceTo(old)
	for _, k := range lost {
		s.stop(k, true)
	}
	for range 400 {
		if s.run(simTick); !s.members().IsVoter(old.id) {
			break
		}
	}
	s.stop(old, true)
	for range lost {
		s.run(s.randomTime(1500 * time.Millisecond))
		s.start(&simKeeper{id: s.newID()})
	}
}

// Guards against a quorum that is lost in a series of losses, each of which the
// deployment allows: a lost machine stops counting Limits.CatchUp after it is back
// or its successor has started.
func TestSeriesOfLossesKeepsAQuorum(t *testing.T) {
	kinds := map[string][]loss{
		"replaced":   {replaced},
		"poweredOff": {poweredOff},
		"wiped":      {wiped},
		"frozen":     {frozen},
		"planned":    {planned},
		"mixed":      {replaced, poweredOff, wiped, frozen, planned},
	}
	for _, l := range []repair.Limits{{Tolerance: 1, CatchUp: 4 * time.Second}, {Tolerance: 2, CatchUp: 6 * time.Second}} {
		for name, ks := range kinds {
			t.Run(fmt.Sprintf("%s/%d", name, l.Voters()), func(t *testing.T) {
				for seed := range uint64(seriesSeeds) {
					s := newSimGroup(t, seed, l.Voters(), l)
					for range seriesRounds {
						ks[s.rng.IntN(len(ks))](s, s.pick(1+s.rng.IntN(l.Tolerance)))
						s.run(l.CatchUp)
					}
					s.checkCommits()
				}
			})
		}
	}
}

const (
	seriesSeeds  = 6
	seriesRounds = 8
)
