package repair

import (
	"math"

	"cyclamenrelay.example/rlog"
)

// zones decides how the voters are spread over data centres, so that the loss of one
// leaves a quorum. The data centre of a keeper that has never announced itself to this
// one is unknown, and counts as one of its own.
type zones struct {
	// spread is set if a whole data centre may be lost.
	spread bool
	of     map[string]string // the data centres by the names of the keepers
}

// crowd returns the number of voters in the data centre that has the most of them, after
// out has been replaced by in. Both may be nil.
func (z zones) crowd(members []*memberState, out, in *memberState) int {
	counts := map[string]int{}
	most := 0
	for _, m := range members {
		if m == out || !m.Voter && m != in {
			continue
		}
		key := "centre " + z.of[m.ID.Name]
		if z.of[m.ID.Name] == "" {
			key = "keeper " + m.ID.Name
		}
		counts[key]++
		most = max(most, counts[key])
	}
	return most
}

// mayReplace reports whether in may take the place of out, which may be nil: without a
// data centre a quorum is left, or as many voters as before.
func (z zones) mayReplace(members []*memberState, voters int, out, in *memberState) bool {
	if out == nil {
		voters++
	}
	most := z.crowd(members, out, in)
	return !z.spread || voters-most >= quorum(voters) || most <= z.crowd(members, nil, nil)
}

// best returns the one of the standbys that leaves the fewest voters in one data centre
// once it has taken the place of out, which may be nil.
func (z zones) best(members []*memberState, out *memberState, standbys []*memberState) *memberState {
	best, fewest := standbys[0], math.MaxInt
	for _, s := range standbys {
		if n := z.crowd(members, out, s); z.spread && n < fewest {
			best, fewest = s, n
		}
	}
	return best
}

// learn notes the data centres of the announced keepers, and forgets those of keepers
// that are no members.
func (z zones) learn(ms rlog.Membership, keepers []Announced) {
	members := keeperNames(ms)
	for name := range z.of {
		if !members[name] {
			delete(z.of, name)
		}
	}
	for _, k := range keepers {
		if k.DataCentre != "" {
			z.of[k.ID.Name] = k.DataCentre
		}
	}
}
