package repair

import (
	"maps"
	"slices"
	"time"

	"cyclamenrelay.example/rlog"
)

// replaceAfter is the time for which a member must have been missing from the live
// keepers before AutoMembers may remove it. A keeper that is down is listed as live
// for up to a lease longer.
const replaceAfter = 500 * time.Millisecond

// minVoters is the number of voters below which AutoMembers removes none: with one
// of three lost, the other two are still a quorum.
const minVoters = 3

// maxVoters bounds the members up to which AutoMembers adds keepers: each voter
// adds a copy to every write.
const maxVoters = 7

// AutoMembers decides on the membership without an operator, as the argument decided
// of NextChange: live keepers become members until there are maxVoters, and absent
// members are removed as long as minVoters voters are left.
func AutoMembers(st rlog.Status, live map[string]rlog.ID, absent map[string]bool) map[string]bool {
	decided := map[string]bool{}
	members := keeperNames(st.Members)
	size := len(members)
	for _, name := range slices.Sorted(maps.Keys(live)) {
		if !members[name] && size < maxVoters {
			decided[name] = true
			size++
		}
	}
	voters := st.Members.Voters()
	for _, name := range slices.Sorted(maps.Keys(members)) {
		if _, votes := voterOf(st.Members, name); absent[name] && (!votes || voters > minVoters) {
			decided[name] = false
			if votes {
				voters--
			}
		}
	}
	return decided
}

// AbsentSince holds, for each member that is not live, the time since when it has been so.
type AbsentSince map[string]time.Time

// Absent updates a and returns the members that are not live. The value is true
// for those that have been so for replaceAfter.
func (a AbsentSince) Absent(ms rlog.Membership, live map[string]rlog.ID, now time.Time) map[string]bool {
	out := map[string]bool{}
	for name := range keeperNames(ms) {
		if _, ok := live[name]; ok {
			delete(a, name)
			continue
		}
		if _, ok := a[name]; !ok {
			a[name] = now
		}
		out[name] = now.Sub(a[name]) >= replaceAfter
	}
	return out
}
