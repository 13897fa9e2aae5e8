// Package repair decides how the membership of a log group starts and what its
// next change is. It does no I/O.
package repair

import (
	"cmp"
	"maps"
	"slices"

	"cyclamenrelay.example/rlog"
	"cyclamenrelay.example/wire"
)

// Next returns the next step, one member at a time, to the wanted membership
// with the replicas that its keepers have now. decided says for each keeper that
// operators have decided on whether it shall be a member; the others stay what
// they are. live holds the replica of each keeper that is alive. A lost replica
// is replaced by its keeper's new one: learner first, then the old one goes once
// the learner has caught up, then the learner becomes a voter. So at no time do
// more replicas have to be alive than before.
func Next(st rlog.Status, decided map[string]bool, live map[string]rlog.ID) (rlog.ChangeMember, bool) {
	wanted := names(st.Members)
	maps.Copy(wanted, decided)
	for _, step := range []func(rlog.Status, map[string]bool, map[string]rlog.ID) (rlog.ChangeMember, bool){
		dropLearner, addLearner, promote, dropMember,
	} {
		if c, ok := step(st, wanted, live); ok {
			return c, true
		}
	}
	return rlog.ChangeMember{}, false
}

func names(ms rlog.Membership) map[string]bool {
	out := map[string]bool{}
	for _, m := range ms {
		out[m.ID.Name] = true
	}
	return out
}

// dropLearner removes a learner that is not wanted or whose replica is lost.
func dropLearner(st rlog.Status, wanted map[string]bool, live map[string]rlog.ID) (rlog.ChangeMember, bool) {
	for _, m := range st.Members {
		now, alive := live[m.ID.Name]
		if !m.Voter && (alive && now != m.ID || !wanted[m.ID.Name]) {
			return rlog.ChangeMember{Member: m, Remove: true}, true
		}
	}
	return rlog.ChangeMember{}, false
}

func addLearner(st rlog.Status, wanted map[string]bool, live map[string]rlog.ID) (rlog.ChangeMember, bool) {
	for _, name := range slices.Sorted(maps.Keys(live)) {
		if _, in := st.Members.Find(live[name]); !in && wanted[name] {
			return rlog.ChangeMember{Member: rlog.Member{ID: live[name]}}, true
		}
	}
	return rlog.ChangeMember{}, false
}

// promote makes a learner that has caught up a voter, after the lost replica of
// the same keeper was removed.
func promote(st rlog.Status, _ map[string]bool, _ map[string]rlog.ID) (rlog.ChangeMember, bool) {
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

// dropMember removes a keeper that is not wanted, once every wanted one votes,
// so that a replacement never makes the cluster smaller.
func dropMember(st rlog.Status, wanted map[string]bool, _ map[string]rlog.ID) (rlog.ChangeMember, bool) {
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

func voterOf(ms rlog.Membership, name string) (rlog.Member, bool) {
	i := slices.IndexFunc(ms, func(m rlog.Member) bool { return m.Voter && m.ID.Name == name })
	if i < 0 {
		return rlog.Member{}, false
	}
	return ms[i], true
}

// First returns the membership that a group starts with at the replica self,
// given what all the other first keepers hold, or nil when it must not be
// started here. It starts when none of them holds anything, or with the
// membership of one that has just started the group with self as a member. A
// replica whose keeper lost its folder is in no membership.
func First(self rlog.ID, group uint64, others []wire.KeeperState) rlog.Membership {
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
