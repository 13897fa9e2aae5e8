// Package repair reconfigures Raft groups: it decides on the initial membership of
// a group and on the next change of it, by operators' decisions or automatically,
// and replaces lost replicas. It does no I/O.
package repair

import (
	"cmp"
	"maps"
	"slices"

	"cyclamenrelay.example/rlog"
	"cyclamenrelay.example/wire"
)

// NextChange returns the next change, of one member, on the way to the wanted membership
// with the keepers' current replicas. It returns false when there is nothing to
// change now. decided tells which keepers shall be members and which shall not; a
// keeper that it does not name stays as it is. live holds the current replica of
// each keeper that is alive.
//
// A keeper whose replica was lost gets a new one in three changes: the new replica
// is added as a learner, the lost one is removed once the learner has caught up,
// and the learner becomes a voter. At no time are more live replicas needed for a
// quorum than before.
func NextChange(st rlog.Status, decided map[string]bool, live map[string]rlog.ID) (rlog.ChangeMember, bool) {
	wanted := keeperNames(st.Members)
	maps.Copy(wanted, decided)
	for _, step := range []func(rlog.Status, map[string]bool, map[string]rlog.ID) (rlog.ChangeMember, bool){
		removeLearner, addLearner, promoteLearner, removeMember,
	} {
		if c, ok := step(st, wanted, live); ok {
			return c, true
		}
	}
	return rlog.ChangeMember{}, false
}

// keeperNames returns the names of the members' keepers.
func keeperNames(ms rlog.Membership) map[string]bool {
	out := map[string]bool{}
	for _, m := range ms {
		out[m.ID.Name] = true
	}
	return out
}

// removeLearner removes a learner whose keeper shall not be a member, or has another
// replica by now.
func removeLearner(st rlog.Status, wanted map[string]bool, live map[string]rlog.ID) (rlog.ChangeMember, bool) {
	for _, m := range st.Members {
		current, alive := live[m.ID.Name]
		if !m.Voter && (alive && current != m.ID || !wanted[m.ID.Name]) {
			return rlog.ChangeMember{Member: m, Remove: true}, true
		}
	}
	return rlog.ChangeMember{}, false
}

// addLearner adds the current replica of a keeper that shall be a member.
func addLearner(st rlog.Status, wanted map[string]bool, live map[string]rlog.ID) (rlog.ChangeMember, bool) {
	for _, name := range slices.Sorted(maps.Keys(live)) {
		if _, in := st.Members.Find(live[name]); !in && wanted[name] {
			return rlog.ChangeMember{Member: rlog.Member{ID: live[name]}}, true
		}
	}
	return rlog.ChangeMember{}, false
}

// promoteLearner makes a learner that has caught up a voter. If the keeper's lost
// replica still votes, it removes that first.
func promoteLearner(st rlog.Status, _ map[string]bool, _ map[string]rlog.ID) (rlog.ChangeMember, bool) {
	for _, m := range st.Members {
		if m.Voter || st.Match[m.ID] < st.Commit {
			continue
		}
		if old, ok := voterOf(st.Members, m.ID.Name); ok {
			return rlog.ChangeMember{Member: old, Remove: true}, true
		}
		return rlog.ChangeMember{Member: rlog.Member{ID: m.ID, Voter: true}}, true
	}
	return rlog.ChangeMember{}, false
}

// removeMember removes a member whose keeper shall not be one. It waits until all
// keepers that shall be members vote, so that a replacement does not reduce the
// number of voters.
func removeMember(st rlog.Status, wanted map[string]bool, _ map[string]rlog.ID) (rlog.ChangeMember, bool) {
	for name, want := range wanted {
		if _, votes := voterOf(st.Members, name); want && !votes {
			return rlog.ChangeMember{}, false
		}
	}
	for _, m := range st.Members {
		if !wanted[m.ID.Name] {
			return rlog.ChangeMember{Member: m, Remove: true}, true
		}
	}
	return rlog.ChangeMember{}, false
}

// voterOf returns the voter of the keeper with the name, false when it has none.
func voterOf(ms rlog.Membership, name string) (rlog.Member, bool) {
	i := slices.IndexFunc(ms, func(m rlog.Member) bool { return m.Voter && m.ID.Name == name })
	if i < 0 {
		return rlog.Member{}, false
	}
	return ms[i], true
}

// InitialMembers returns the membership with which the replica self may bootstrap a group,
// or nil when it must not. others are the states of all other initial keepers. If
// none of them has state of the group, all become voters. If one has just
// bootstrapped the group with self as a voter, its membership is used. A keeper
// that lost its data folder has a new ID, which is in no membership, and does not
// bootstrap the group again.
func InitialMembers(self rlog.ID, group uint64, others []wire.KeeperState) rlog.Membership {
	fresh := rlog.Membership{}.With(rlog.Member{ID: self, Voter: true})
	sorted := slices.SortedFunc(slices.Values(others), func(a, b wire.KeeperState) int {
		return cmp.Compare(a.Self.Name, b.Self.Name)
	})
	for _, s := range sorted {
		if group >= uint64(len(s.Groups)) {
			return nil
		}
		g := s.Groups[group]
		if len(g.Members) == 0 && g.Last == 0 {
			fresh = fresh.With(rlog.Member{ID: s.Self, Voter: true})
			continue
		}
		if m, ok := rlog.Membership(g.Members).Find(self); ok && m.Voter && g.Last == 1 {
			return g.Members
		}
		return nil
	}
	return fresh
}
