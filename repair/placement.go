package repair

import (
	"math"

	"cyclamenrelay.example/rlog"
)

// placement decides how the voters are spread over data centres, so that the loss of one
// leaves a quorum. The data centre of a keeper that has never announced itself to this
// one is unknown, and counts as one of its own.
type placement struct {
	// spread is set if a whole data centre may be lost.
	spread      bool
	dataCentres map[string]string // by the names of the keepers
}

// crowd returns the number of voters in the data centre that has the most of them, after
// out has been replaced by in. Both may be nil.
func (p placement) crowd(members []*memberState, out, in *memberState) int {
	counts := map[string]int{}
	most := 0
	for _, m := range members {
		if m == out || !m.Voter && m != in {
			continue
		}
		key := "data centre " + p.dataCentres[m.ID.Name]
		if p.dataCentres[m.ID.Name] == "" {
			key = "keeper " + m.ID.Name
		}
		counts[key]++
		most = max(most, counts[key])
	}
	return most
}

// mayReplace reports whether in may take the place of out, which may be nil: without a
// data centre a quorum is left, or as many voters as before.
func (p placement) mayReplace(members []*memberState, voters int, out, in *memberState) bool {
	if out == nil {
		voters++
	}
	most := p.crowd(members, out, in)
	return !p.spread || voters-most >= quorum(voters) || most <= p.crowd(members, nil, nil)
}

// best returns the one of the standbys that leaves the fewest voters in one data centre
// once it has taken the place of out, which may be nil.
func (p placement) best(members []*memberState, out *memberState, standbys []*memberState) *memberState {
	best, fewest := standbys[0], math.MaxInt
	for _, s := range standbys {
		if n := p.crowd(members, out, s); p.spread && n < fewest {
			best, fewest = s, n
		}
	}
	return best
}

// learn notes the data centres of the announced keepers, and forgets those of keepers
// that are no members.
func (p placement) learn(ms rlog.Membership, keepers []Announced) {
	members := keeperNames(ms)
	for name := range p.dataCentres {
		if !members[name] {
			delete(p.dataCentres, name)
		}
	}
	for _, k := range keepers {
		if k.DataCentre != "" {
			p.dataCentres[k.ID.Name] = k.DataCentre
		}
	}
}
