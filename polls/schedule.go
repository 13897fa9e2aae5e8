// Package polls decides which keepers a process polls for its configuration, and when. It
// does no I/O and reads no clock, so that its promise is tested without a network: a change
// is in force within a limit after its acknowledgement.
package polls

import (
	"slices"
	"time"

	"github.com/gravitational/trace"
)

const (
	// hold is the longest time that a keeper holds a poll before it answers that there is no
	// change (package keeper).
	hold = 500 * time.Millisecond
	// patience is the time without a good answer after which other keepers are asked too:
	// the hold and a few round trips.
	patience = hold + 250*time.Millisecond
	// spacing is the time between the polls of further keepers. Each of them may bring the
	// whole configuration over the same link.
	spacing = 100 * time.Millisecond
	// again is the shortest time between two polls of a keeper that has not answered well.
	// maxOpen is the number of polls in progress at one, and maxTimeout follows from both: a
	// keeper that is silent gets a poll each time, on a new connection if need be.
	again      = 500 * time.Millisecond
	maxOpen    = 5
	maxTimeout = maxOpen * again
	// MaxProofAge is the age of a keeper's proof above which another keeper is chosen. A
	// keeper that hears a leader has a proof of a few heartbeats, which are 50 ms apart.
	MaxProofAge = 400 * time.Millisecond
	// replicate is the time from an acknowledgement until the other keepers have the change:
	// two heartbeats, one of them lost.
	replicate = 100 * time.Millisecond
	// apply is the time from an answer until requests are decided by it.
	apply = 100 * time.Millisecond
	// minWay is the least time that must be left for a message on its way: what has left
	// before it, and a large configuration on a slow link.
	minWay = 150 * time.Millisecond
	// answersPerChoice is the number of good answers that an entry takes from one keeper
	// before it chooses anew, so that a keeper that has come back gets its share of the load.
	answersPerChoice = 500
)

// Limits are the promises of a deployment about the configuration.
type Limits struct {
	// InForce is the time after the acknowledgement of a change from which all entries must
	// decide by it.
	InForce time.Duration
	// Tolerance is the number of keepers that may be lost at the same time.
	Tolerance int
	// Lease is the age of a confirmation up to which an entry denies what its configuration
	// does not allow.
	Lease time.Duration
}

// Way returns the longest time that a poll or an answer may be on its way for a change to be
// in force within InForce, in the worse of two cases. Either the keeper that the entry polls
// is lost with others: the entry waits, polls the others in turn, and one poll and one answer
// are on their way. Or it is cut off from the quorum and still answers: its last good answer
// may be on its way first. A poll that takes longer than maxTimeout is given up.
func (l Limits) Way() time.Duration {
	rest := l.InForce - replicate - patience - time.Duration(max(l.Tolerance-1, 0))*spacing - apply
	return min(rest/2, (rest-MaxProofAge)/3, (maxTimeout-hold)/2)
}

// Timeout returns the time after which a poll is given up. It is longer than two Ways and the
// hold, as a late answer is better than none.
func (l Limits) Timeout() time.Duration { return min(max(l.InForce, hold+2*minWay), maxTimeout) }

// Check returns a trace.BadParameter if a change may be in force later than InForce, or if an
// entry may deny by a configuration that is older.
func (l Limits) Check() error {
	if way := l.Way(); way < minWay {
		return trace.BadParameter("a change of the configuration may be in force later than the limit of %v: messages may take %v, and need up to %v",
			l.InForce, max(way, 0), minWay)
	}
	if l.Lease > l.InForce {
		return trace.BadParameter("the lease of %v is longer than the limit of %v for changes of the configuration", l.Lease, l.InForce)
	}
	return nil
}

// Schedule decides which keepers an entry polls, and when. It does no I/O and reads no clock.
// An entry stays at the keeper that answers well. When none does for a while, it asks further
// ones, one after the other, and gives up none of the polls in progress: their answers may
// only be late.
type Schedule struct {
	current string // the keeper that gave the last good answer, empty to choose one
	answers int    // good answers of current
	// quietSince is when the entry began to wait for a good answer.
	quietSince time.Time
	lastExtra  time.Time            // when a keeper other than current was polled last
	open       map[string]int       // polls in progress, by keeper
	lastPoll   map[string]time.Time // the newest poll, by keeper
	failed     map[string]bool      // keepers whose last poll ended without a good answer
}

// NewSchedule returns the schedule of a process that has no configuration yet.
func NewSchedule(now time.Time) *Schedule {
	return &Schedule{quietSince: now.Add(-patience), open: map[string]int{}, lastPoll: map[string]time.Time{}, failed: map[string]bool{}}
}

// Next returns the keepers to poll now, out of all known ones, and notes the polls.
func (s *Schedule) Next(now time.Time, keepers []string) []string {
	s.forget(keepers)
	var polls []string
	if s.current != "" && s.open[s.current] == 0 && !s.failed[s.current] {
		polls = append(polls, s.begin(now, s.current))
	}
	if s.current != "" && now.Sub(s.quietSince) < patience && !s.failed[s.current] {
		return polls
	}
	for now.Sub(s.lastExtra) >= spacing || len(s.open) == 0 {
		k, ok := s.idlest(now, keepers)
		if !ok {
			break
		}
		s.lastExtra = now
		polls = append(polls, s.begin(now, k))
	}
	return polls
}

// forget drops what is known of keepers that are no longer listed. The polls in progress go on.
func (s *Schedule) forget(keepers []string) {
	for k := range s.lastPoll {
		if !slices.Contains(keepers, k) && s.open[k] == 0 {
			delete(s.lastPoll, k)
			delete(s.failed, k)
		}
	}
	if !slices.Contains(keepers, s.current) {
		s.current = ""
	}
}

func (s *Schedule) begin(now time.Time, keeper string) string {
	s.open[keeper]++
	s.lastPoll[keeper] = now
	return keeper
}

// idlest returns the keeper to poll next: of those that may be polled again, the one with the
// fewest polls in progress, and the one that was polled longest ago among them.
func (s *Schedule) idlest(now time.Time, keepers []string) (keeper string, ok bool) {
	for _, k := range keepers {
		if s.open[k] >= maxOpen || now.Sub(s.lastPoll[k]) < again {
			continue
		}
		if !ok || s.open[k] < s.open[keeper] || s.open[k] == s.open[keeper] && s.lastPoll[k].Before(s.lastPoll[keeper]) {
			keeper, ok = k, true
		}
	}
	return keeper, ok
}

// Wake returns when Next has to be called again at the latest.
func (s *Schedule) Wake(now time.Time) time.Time {
	if s.current != "" && !s.failed[s.current] {
		if at := s.quietSince.Add(patience); at.After(now) {
			return at
		}
	}
	return now.Add(spacing)
}

// Result is how a poll ended.
type Result int

// Results of polls: Cancelled if the answer was no longer needed, Bad if there was none or its
// proof was old, and Good if it had the newest configuration and a recent proof of that.
const (
	Cancelled Result = iota
	Bad
	Good
)

// Ended notes the end of a poll.
func (s *Schedule) Ended(now time.Time, keeper string, r Result) {
	if s.open[keeper]--; s.open[keeper] <= 0 {
		delete(s.open, keeper)
	}
	switch r {
	case Bad:
		s.failed[keeper] = true
	case Good:
		s.failed[keeper], s.quietSince = false, now
		if s.current != keeper {
			s.current, s.answers = keeper, 0
		}
		if s.answers++; s.answers >= answersPerChoice {
			s.current = ""
		}
	}
}
