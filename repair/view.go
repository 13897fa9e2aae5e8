package repair

import (
	"slices"
	"time"

	"cyclamenrelay.example/rlog"
	"cyclamenrelay.example/vitals"
)

// memberState is a member as the leader sees it.
type memberState struct {
	rlog.Member
	silence time.Duration
	// lost is set once the member has been silent for Limits.Detection, or its keeper
	// has announced another replica. A learner that announces itself is not lost:
	// the leader may not reach it yet.
	lost       bool
	superseded bool
	// heard is set while the member answers heartbeats.
	heard    bool
	leaving  bool
	caughtUp bool
}

// standby reports whether the member can become a voter.
func (m *memberState) standby() bool { return !m.Voter && m.heard && !m.leaving && m.caughtUp }

// view is a group as its leader sees it, for one decision.
type view struct {
	limits    Limits
	placement placement
	members   []*memberState
	voters    int
	heard     int // voters that are heard
	// standbys are the learners that can become voters; ready are those of them
	// whose keeper has no vote yet.
	standbys, ready []*memberState
	// wait is the first reason for which a change that is due is not made.
	wait string
}

func newView(l Limits, st rlog.Status, keepers []Announced) *view {
	announced := map[string]Announced{}
	for _, k := range keepers {
		announced[k.ID.Name] = k
	}
	v := &view{limits: l}
	for _, m := range st.Members {
		k, ok := announced[m.ID.Name]
		s := &memberState{Member: m, silence: st.Silence[m.ID], caughtUp: st.Match[m.ID] >= st.Commit}
		s.superseded = ok && k.ID != m.ID
		isAnnounced := ok && k.ID == m.ID && k.Age <= announcedWithin
		s.lost = s.superseded || s.silence >= l.Detection() && (m.Voter || !isAnnounced)
		s.heard = !s.superseded && s.silence <= vitals.HeardWithin
		s.leaving = isAnnounced && k.Leaving
		v.members = append(v.members, s)
		if s.Voter {
			v.voters++
			if s.heard {
				v.heard++
			}
		}
	}
	for _, m := range v.members {
		if !m.standby() {
			continue
		}
		v.standbys = append(v.standbys, m)
		if _, votes := voterOf(st.Members, m.ID.Name); !votes {
			v.ready = append(v.ready, m)
		}
	}
	return v
}

func (v *view) find(id rlog.ID) *memberState {
	i := slices.IndexFunc(v.members, func(m *memberState) bool { return m.ID == id })
	if i < 0 {
		return nil
	}
	return v.members[i]
}

func quorum(voters int) int { return voters/2 + 1 }

func (v *view) waitFor(reason string) {
	if v.wait == "" {
		v.wait = reason
	}
}

func remove(m *memberState) Decision {
	return Change{rlog.ChangeMember{Member: m.Member, Remove: true}}
}

// dropLearner removes a learner that is lost.
func (v *view) dropLearner() (Decision, bool) {
	for _, m := range v.members {
		if !m.Voter && m.lost {
			return remove(m), true
		}
	}
	return nil, false
}

// removeLost removes the voter that has been lost for the longest time.
func (v *view) removeLost() (Decision, bool) {
	var lost *memberState
	for _, m := range v.members {
		if m.Voter && m.lost && (lost == nil || m.silence > lost.silence) {
			lost = m
		}
	}
	switch {
	case lost == nil:
		return nil, false
	case !v.mayRemove(lost):
		v.waitFor("no successor of lost voter " + lost.ID.Name + " has caught up")
		return nil, false
	case v.heard < quorum(v.voters-1):
		v.waitFor("too few voters are heard")
		return nil, false
	}
	return remove(lost), true
}

// mayRemove reports whether enough voters are left without m, or a standby takes its
// place. In the latter case a quorum must not need fewer copies meanwhile than the
// tolerance calls for.
func (v *view) mayRemove(m *memberState) bool {
	if v.voters > v.limits.Voters() {
		return true
	}
	if slices.ContainsFunc(v.standbys, func(s *memberState) bool { return s.ID.Name == m.ID.Name }) {
		return true
	}
	// Where no successor comes that fits, one voter less is the greater risk.
	anyFits := m.silence >= v.limits.Detection()+v.limits.CatchUp
	fits := func(s *memberState) bool { return anyFits || v.placement.mayReplace(v.members, v.voters, m, s) }
	return slices.ContainsFunc(v.standbys, fits) && quorum(v.voters-1) >= min(v.limits.Tolerance+1, quorum(v.voters))
}

// promote makes a standby a voter: while there are too few voters, in place of one
// that leaves, or to reach a larger odd number.
func (v *view) promote() (Decision, bool) {
	leaving := v.unreplacedLeaver()
	leaves := leaving != nil
	if len(v.ready) == 0 || v.voters >= v.limits.maxVoters() && !leaves {
		return nil, false
	}
	few := v.voters < v.limits.Voters()
	next := v.placement.best(v.members, leaving, v.ready)
	grows := v.voters%2 == 0 || len(v.ready) > 1 && v.voters+2 <= v.limits.maxVoters()
	grows = grows && v.placement.mayReplace(v.members, v.voters, nil, next)
	switch {
	case !few && !leaves && !grows:
		return nil, false
	case !few && !leaves && v.heard < v.voters:
		v.waitFor("a voter is silent, and not yet taken for lost")
		return nil, false
	case v.betterComes(leaving, next):
		v.waitFor("a successor in another data centre has not caught up")
		return nil, false
	case v.heard+1 < quorum(v.voters+1):
		v.waitFor("too few voters are heard")
		return nil, false
	}
	return Change{rlog.ChangeMember{Member: rlog.Member{ID: next.ID, Voter: true}}}, true
}

// unreplacedLeaver returns a voter that leaves and cannot be removed before a standby
// votes, nil if there is none.
func (v *view) unreplacedLeaver() *memberState {
	i := slices.IndexFunc(v.members, func(m *memberState) bool { return m.Voter && m.leaving })
	if i < 0 || v.voters != v.limits.Voters() {
		return nil
	}
	return v.members[i]
}

// betterComes reports whether next would crowd the voters in one data centre, and a
// learner that would not is to catch up or to be heard again.
func (v *view) betterComes(out, next *memberState) bool {
	if v.placement.mayReplace(v.members, v.voters, out, next) {
		return false
	}
	return slices.ContainsFunc(v.members, func(m *memberState) bool {
		return !m.Voter && !m.lost && !m.leaving && m.silence < v.limits.CatchUp && v.placement.mayReplace(v.members, v.voters, out, m)
	})
}

// finishReplacement removes a voter that leaves once its successor votes, before others
// that are lost: the successor is in its data centre.
func (v *view) finishReplacement() (Decision, bool) {
	if !v.placement.spread || v.voters <= v.limits.Voters() {
		return nil, false
	}
	return v.removeLeaving()
}

// removeLeaving removes a voter whose keeper shuts down, so that it is not missing
// from the quorum when it has stopped.
func (v *view) removeLeaving() (Decision, bool) {
	for _, m := range v.members {
		if !m.Voter || !m.leaving || m.lost {
			continue
		}
		if v.voters <= v.limits.Voters() || v.heard-1 < quorum(v.voters-1) {
			v.waitFor("no other keeper can take the place of " + m.ID.Name + ", which leaves")
			continue
		}
		return remove(m), true
	}
	return nil, false
}
