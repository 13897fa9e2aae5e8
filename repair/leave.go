package repair

import (
	"cmp"

	"cyclamenrelay.example/rlog"
	"cyclamenrelay.example/wire"
)

// AwaitsReplacement reports whether a leader can still remove self, which shuts down,
// from the voters of a group, by the states with which keepers have answered. asked
// is the number of keepers that were asked. A group whose leader is not among them
// may have one soon, a keeper that has not answered may be slow, and a change that is
// not committed is lost with its leader.
func AwaitsReplacement(self rlog.ID, asked int, answers []wire.KeeperState, l Limits) bool {
	newest := map[uint64]wire.GroupState{}
	for _, s := range answers {
		for _, g := range s.Groups {
			if known, ok := newest[g.Group]; len(g.Members) > 0 && (!ok || knowsMore(g, known)) {
				newest[g.Group] = g
			}
		}
	}
	for _, g := range newest {
		ms := rlog.Membership(g.Members)
		replaceable := ms.Voters() > l.Voters() || len(ms) > ms.Voters()
		if g.Changing || ms.IsVoter(self) && replaceable {
			return true
		}
	}
	return asked > 0 && len(newest) == 0
}

// knowsMore reports whether the membership in g is newer than the one in h: a leader's,
// or else that of the newest log.
func knowsMore(g, h wire.GroupState) bool {
	if g.IsLeader != h.IsLeader {
		return g.IsLeader
	}
	return cmp.Or(cmp.Compare(g.Term, h.Term), cmp.Compare(g.Last, h.Last)) > 0
}
