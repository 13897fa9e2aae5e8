package repair

import (
	"time"

	"github.com/gravitational/trace"
)

// Limits are the promises of a deployment that the decisions on members keep.
type Limits struct {
	// Tolerance is the number of keepers that may be lost at the same time.
	Tolerance int
	// CatchUp is the time after which a lost keeper no longer counts as lost: it is
	// back, or its successor has started, for that long. The group must be able to
	// lose Tolerance others from then on.
	CatchUp time.Duration
	// SpreadVoters is set if all keepers of a data centre may be lost at the same time.
	SpreadVoters bool
}

const (
	// electionBound is the time for two rounds of elections, each of at most twice
	// the election timeout of package raft.
	electionBound = 2 * time.Second
	// changeBound is the time for the two changes that replace a voter: for each a
	// pass of the keeper's maintenance, and a message that is lost once.
	changeBound = time.Second
	// minDetection is the least silence for which a voter is taken for lost: twice
	// the time after which a leader no longer counts as one.
	minDetection = time.Second
	maxDetection = 5 * time.Second
	// maxVoters bounds the voters beyond those that the tolerance needs: each adds a
	// copy to every write.
	maxVoters = 7
	// maxStandbys bounds the learners that wait to replace a voter.
	maxStandbys = 1
)

// Voters returns the number of voters of which Tolerance can be lost.
func (l Limits) Voters() int { return 2*l.Tolerance + 1 }

// Detection returns the silence after which a voter is taken for lost. It leaves the
// time for an election and the replacement within CatchUp, and half of the rest in
// reserve.
func (l Limits) Detection() time.Duration {
	return min(max((l.CatchUp-electionBound-changeBound)/2, minDetection), maxDetection)
}

// Check returns a trace.BadParameter if a lost voter cannot be replaced within
// CatchUp: by a leader that is elected first, takes it for lost, and makes the two
// changes.
func (l Limits) Check() error {
	if need := electionBound + l.Detection() + changeBound; need > l.CatchUp {
		return trace.BadParameter("a lost keeper may be replaced after %v, later than the catch-up time of %v", need, l.CatchUp)
	}
	if l.Tolerance < 0 {
		return trace.BadParameter("the tolerance is %d keepers", l.Tolerance)
	}
	return nil
}

// maxVoters returns the number of voters above which no keeper becomes one.
func (l Limits) maxVoters() int { return max(maxVoters, l.Voters()) }
