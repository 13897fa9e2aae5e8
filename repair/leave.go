package repair

import (
	"cyclamenrelay.example/rlog"
	"cyclamenrelay.example/wire"
)

// AwaitsReplacement reports whether a leader can still remove self, which shuts down,
// from the voters of a group, by the states of other keepers. A group whose leader
// is not among them may have one soon.
func AwaitsReplacement(self rlog.ID, others []wire.KeeperState, l Limits) bool {
	leaders := map[uint64]wire.GroupState{}
	for _, s := range others {
		for _, g := range s.Groups {
			known, ok := leaders[g.Group]
			if !ok || g.IsLeader && (!known.IsLeader || g.Term > known.Term) {
				leaders[g.Group] = g
			}
		}
	}
	for _, g := range leaders {
		ms := rlog.Membership(g.Members)
		replaceable := ms.Voters() > l.Voters() || len(ms) > ms.Voters()
		if ms.IsVoter(self) && replaceable {
			return true
		}
	}
	return false
}
