package share

import (
	"slices"

	"cyclamenrelay.example/model"
)

// share is the state in the fair queueing of the work of one rule.
type share struct {
	name    string
	weight  int
	start   float64 // virtual start time of the next slot, in ns at weight 1
	mean    float64 // moving average of the time that a task holds a slot, in ns
	credits []*credit
	next    int // index of the credit that is served next
}

// credit is the demand of one entry for slots for a share.
type credit struct {
	entry   string
	count   int
	urgency int
}

// want sets the demand of an entry. A share that had no demand starts at
// most idleLead behind the virtual time.
func (s *share) want(entry string, n, urgency int, virtual float64) {
	if n == 0 {
		s.forget(entry)
		return
	}
	if len(s.credits) == 0 {
		s.start = max(s.start, virtual-idleLead)
	}
	for _, k := range s.credits {
		if k.entry == entry {
			k.count, k.urgency = n, urgency
			return
		}
	}
	s.credits = append(s.credits, &credit{entry: entry, count: n, urgency: urgency})
}

// take subtracts one slot from the demand of the entry whose turn it is and
// returns that demand. Entries are served round robin.
func (s *share) take() *credit {
	s.next %= len(s.credits)
	k := s.credits[s.next]
	k.count--
	if k.count == 0 {
		s.credits = slices.Delete(s.credits, s.next, s.next+1)
	} else {
		s.next++
	}
	return k
}

// forget drops the demand of an entry.
func (s *share) forget(entry string) {
	s.credits = slices.DeleteFunc(s.credits, func(k *credit) bool { return k.entry == entry })
}

// urgency returns the highest urgency of the demand, at most model.MaxUrgency.
func (s *share) urgency() int {
	u := 0
	for _, k := range s.credits {
		u = max(u, k.urgency)
	}
	return min(u, model.MaxUrgency)
}
