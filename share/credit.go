package share

import (
	"slices"

	"cyclamenrelay.example/model"
)

// share is the work of one rule, as this agent sees it.
type share struct {
	name    string
	weight  int
	start   float64 // virtual start time of the next slot, in ns at weight 1
	mean    float64 // slot time, in ns
	credits []*credit
	next    int // the credit whose turn it is
}

// credit is what one entry wants of a share.
type credit struct {
	entry   string
	count   int
	urgency int
}

// want sets the demand of an entry. A share that had none starts at the virtual time.
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

// take uses one credit, the entries in turn.
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

func (s *share) forget(entry string) {
	s.credits = slices.DeleteFunc(s.credits, func(k *credit) bool { return k.entry == entry })
}

func (s *share) urgency() int {
	u := 0
	for _, k := range s.credits {
		u = max(u, k.urgency)
	}
	return min(u, model.MaxUrgency)
}
