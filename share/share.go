package share

import (
	"slices"

	"cyclamenrelay.example/model"
)

// share is the state in the fair queueing of the work of one rule.
type share struct {
	name       string
	weight     int
	start      float64 // virtual start time of the next slot, in ns at weight 1
	mean       float64 // moving average of the time that a task holds a slot, in ns
	demands    []*demand
	nextDemand int // index of the demand that is served next
}

// demand is the demand of one entry for slots for a share.
type demand struct {
	entry   string
	count   int
	urgency int
}

// setDemand sets the demand of an entry. A share that had no demand starts at
// most maxCatchUp behind the virtual time.
func (s *share) setDemand(entry string, n, urgency int, virtual float64) {
	if n == 0 {
		s.dropDemand(entry)
		return
	}
	if len(s.demands) == 0 {
		s.start = max(s.start, virtual-maxCatchUp)
	}
	for _, d := range s.demands {
		if d.entry == entry {
			d.count, d.urgency = n, urgency
			return
		}
	}
	s.demands = append(s.demands, &demand{entry: entry, count: n, urgency: urgency})
}

// takeSlot subtracts one slot from the demand of the entry whose turn it is and
// returns that demand. Entries are served round robin.
func (s *share) takeSlot() *demand {
	s.nextDemand %= len(s.demands)
	d := s.demands[s.nextDemand]
	d.count--
	if d.count == 0 {
		s.demands = slices.Delete(s.demands, s.nextDemand, s.nextDemand+1)
	} else {
		s.nextDemand++
	}
	return d
}

// dropDemand drops the demand of an entry.
func (s *share) dropDemand(entry string) {
	s.demands = slices.DeleteFunc(s.demands, func(d *demand) bool { return d.entry == entry })
}

// urgency returns the highest urgency of the demand, at most model.MaxUrgency.
func (s *share) urgency() int {
	u := 0
	for _, d := range s.demands {
		u = max(u, d.urgency)
	}
	return min(u, model.MaxUrgency)
}
