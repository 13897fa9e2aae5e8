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

// Announced is the newest announcement of a keeper.
type Announced struct {
	ID rlog.ID
	// Leaving is set while the keeper shuts down.
	Leaving bool
	// Age is the time since this keeper received the announcement.
	Age time.Duration
}

// Automatic decides on the members of one group without an operator, at the keeper
// that leads it.
type Automatic struct {
	limits   Limits
	absences AbsentSince
}

// NewAutomatic returns an Automatic for one group of a deployment with the limits.
func NewAutomatic(l Limits) *Automatic { return &Automatic{limits: l, absences: AbsentSince{}} }

// Next returns the next change of the members, false when there is none to make now.
// keepers are those that are listed as live.
func (a *Automatic) Next(now time.Time, st rlog.Status, keepers []Announced) (rlog.ChangeMember, bool) {
	live := map[string]rlog.ID{}
	for _, k := range keepers {
		live[k.ID.Name] = k.ID
	}
	return NextChange(st, AutoMembers(st, live, a.absences.Absent(st.Members, live, now)), live)
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

// Limits are the promises of a deployment that the decisions on members must keep.
type Limits struct {
	// Tolerance is the number of keepers that may be lost at the same time.
	Tolerance int
	// CatchUp is the time after which a lost keeper no longer counts: it is back,
	// or its successor has started, for that long.
	CatchUp time.Duration
}

// Voters returns the least number of voters that have a quorum without Tolerance of
// them.
func (l Limits) Voters() int { return 2*l.Tolerance + 1 }
