package repair

import (
	"maps"
	"slices"
	"time"

	"cyclamenrelay.example/rlog"
)

// replaceAfter is how long a member that is no longer listed as alive keeps its
// place when others could take it. The listing itself lags by a lease.
const replaceAfter = 500 * time.Millisecond

// minVoters is the fewest voters that Automatic leaves: with one of three lost,
// the others still decide.
const minVoters = 3

// maxVoters bounds the voters that Automatic makes: each adds a copy to every write.
const maxVoters = 7

// Automatic decides the membership without an operator: each live keeper is a
// member, up to a bound, and members that are absent go while enough others vote.
func Automatic(st rlog.Status, live map[string]rlog.ID, absent map[string]bool) map[string]bool {
	decided := map[string]bool{}
	members := names(st.Members)
	size := len(members)
	for _, name := range slices.Sorted(maps.Keys(live)) {
		if !members[name] && size < maxVoters {
			decided[name] = true
			size++
		}
	}
	voting := st.Members.Voters()
	for _, name := range slices.Sorted(maps.Keys(members)) {
		if _, votes := voterOf(st.Members, name); absent[name] && (!votes || voting > minVoters) {
			decided[name] = false
			if votes {
				voting--
			}
		}
	}
	return decided
}

// Away holds since when each absent member has been so.
type Away map[string]time.Time

// Absent returns the members that have been away for a time.
func (a Away) Absent(ms rlog.Membership, live map[string]rlog.ID, now time.Time) map[string]bool {
	out := map[string]bool{}
	for name := range names(ms) {
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
