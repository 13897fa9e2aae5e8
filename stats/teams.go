package stats

import (
	"time"

	"cyclamenrelay.example/wire"
)

// TeamQuotas divides the quotas of teams between the entries by their demand.
type TeamQuotas struct {
	inUse, queued map[string]int // slots in use and queued tasks at this entry, by team
	peers         map[string]peer
}

// peer is the last report of another entry.
type peer struct {
	received time.Time
	use      map[string]int
}

// reportLife is how long the report of another entry counts.
const reportLife = 5 * time.Second

// NewTeams returns a TeamQuotas in which no team uses a slot.
func NewTeams() *TeamQuotas {
	return &TeamQuotas{inUse: map[string]int{}, queued: map[string]int{}, peers: map[string]peer{}}
}

// addCount adds n to the count of key and deletes the key at 0. It panics below 0.
func addCount(m map[string]int, key string, n int) {
	m[key] += n
	switch v := m[key]; {
	case v < 0:
		panic("stats: negative use of team " + key)
	case v == 0:
		delete(m, key)
	}
}

// AddInUse adds n to the slots that the team uses at this entry.
func (t *TeamQuotas) AddInUse(team string, n int) { addCount(t.inUse, team, n) }

// AddQueued adds n to the queued tasks of the team at this entry.
func (t *TeamQuotas) AddQueued(team string, n int) { addCount(t.queued, team, n) }

// RecordPeer records the use at another entry, in place of its last report.
func (t *TeamQuotas) RecordPeer(now time.Time, u wire.TeamUse) {
	t.peers[u.Entry] = peer{received: now, use: u.Teams}
}

// Compact removes the reports that are older than reportLife.
func (t *TeamQuotas) Compact(now time.Time) {
	for name, p := range t.peers {
		if now.Sub(p.received) > reportLife {
			delete(t.peers, name)
		}
	}
}

// Allows reports whether the team may use one more slot from this entry.
func (t *TeamQuotas) Allows(team string, quota int) bool {
	return quota <= 0 || t.inUse[team] < t.quotaPart(team, quota)
}

// quotaPart returns this entry's part of a quota: all of it while the demand at all
// entries fits into it, else in proportion to this entry's demand, at least 1.
func (t *TeamQuotas) quotaPart(team string, quota int) int {
	own := t.inUse[team] + t.queued[team]
	total := own
	for _, p := range t.peers {
		total += p.use[team]
	}
	if total <= quota {
		return quota
	}
	return max(1, quota*own/total)
}

// Demand returns the slots in use plus the queued tasks of each named team at this
// entry, for RecordPeer at the other entries.
func (t *TeamQuotas) Demand() map[string]int {
	total := map[string]int{}
	for _, m := range []map[string]int{t.inUse, t.queued} {
		for team, n := range m {
			if team != "" {
				total[team] += n
			}
		}
	}
	return total
}
