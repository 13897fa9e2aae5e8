package leader

import "slices"

// turn is the order in which one call asks keepers while it knows no leader, where this
// process has a keeper: the local one, the others, and so on again.
type turn struct {
	local string
	// asked holds those that were asked in this round.
	asked []string
	// unreachable holds those that a try has failed at. A lost keeper costs a time-out,
	// so that the call asks it again only if a refusal names it as the leader.
	unreachable []string
}

// take returns the address of the next keeper.
func (t *turn) take(known []string) string {
	if !slices.Contains(t.asked, t.local) {
		t.asked = append(t.asked, t.local)
		return t.local
	}
	for _, a := range known {
		if !slices.Contains(t.asked, a) && !slices.Contains(t.unreachable, a) {
			t.asked = append(t.asked, a)
			return a
		}
	}
	t.asked = []string{t.local}
	return t.local
}

// failed notes that a try at the address has failed.
func (t *turn) failed(addr string) { t.unreachable = append(t.unreachable, addr) }
