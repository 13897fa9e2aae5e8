// Package vitals tells how far a Raft group is from losing its quorum: it measures and
// logs the voters that the group's leader hears. It decides nothing.
package vitals

import (
	"slices"
	"time"

	"cyclamenrelay.example/rlog"
)

// HeardWithin is the silence up to which a member counts as heard: the election
// timeout of package raft. A leader sends heartbeats many times in it.
const HeardWithin = 500 * time.Millisecond

// Health tells how far a group is from losing its quorum, as its leader sees it.
type Health struct {
	Voters int
	// Heard is the number of voters heard lately, the leader among them.
	Heard int
	// Silent are the names of the other voters, sorted.
	Silent []string
	// Silence is the longest time since a voter was heard.
	Silence time.Duration
}

// NewHealth returns the health of a group from the status of its leader.
func NewHealth(st rlog.Status) Health {
	h := Health{}
	for _, m := range st.Members {
		if !m.Voter {
			continue
		}
		h.Voters++
		// The leader itself has no entry.
		s := st.Silence[m.ID]
		h.Silence = max(h.Silence, s)
		if s <= HeardWithin {
			h.Heard++
		} else {
			h.Silent = append(h.Silent, m.ID.Name)
		}
	}
	return h
}

// Spare returns how many of the voters that are heard can be lost before the group
// has no quorum. It is negative when the group has none.
func (h Health) Spare() int { return h.Heard - (h.Voters/2 + 1) }

// same reports whether h and o have the same voters and the same silent ones.
func (h Health) same(o Health) bool {
	return h.Voters == o.Voters && h.Heard == o.Heard && slices.Equal(h.Silent, o.Silent)
}
