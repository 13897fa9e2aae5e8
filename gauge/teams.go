package gauge

import (
	"time"

	"cyclamenrelay.example/wire"
)

// Teams divides the quotas of teams between the entries by their demand.
type Teams struct {
	using, waiting map[string]int
	peers          map[string]peer
}

type peer struct {
	at  time.Time
	use map[string]int
}

// peerLife is how long a peer's report of its use counts.
const peerLife = 5 * time.Second

// NewTeams returns a Teams without use.
func NewTeams() *Teams {
	return &Teams{using: map[string]int{}, waiting: map[string]int{}, peers: map[string]peer{}}
}

func add(m map[string]int, key string, n int) {
	m[key] += n
	switch v := m[key]; {
	case v < 0:
		panic("place: negative use of team " + key)
	case v == 0:
		delete(m, key)
	}
}

// Use adds n to the slots that the team uses at this entry.
func (t *Teams) Use(team string, n int) { add(t.using, team, n) }

// Wait adds n to the queued work of the team.
func (t *Teams) Wait(team string, n int) { add(t.waiting, team, n) }

// Report takes over the use at another entry.
func (t *Teams) Report(now time.Time, u wire.TeamUse) {
	t.peers[u.Entry] = peer{at: now, use: u.Teams}
}

// Compact forgets old reports.
func (t *Teams) Compact(now time.Time) {
	for name, p := range t.peers {
		if now.Sub(p.at) > peerLife {
			delete(t.peers, name)
		}
	}
}

// Allows reports whether the team may use one more slot from this entry.
func (t *Teams) Allows(team string, quota int) bool {
	return quota <= 0 || t.using[team] < t.slice(team, quota)
}

// slice returns this entry's part of a quota, at least 1.
func (t *Teams) slice(team string, quota int) int {
	own := t.using[team] + t.waiting[team]
	all := own
	for _, p := range t.peers {
		all += p.use[team]
	}
	if all <= quota {
		return quota
	}
	return max(1, quota*own/all)
}

// Total returns the use and the queued work of each named team, for Report at the other entries.
func (t *Teams) Total() map[string]int {
	total := map[string]int{}
	for _, m := range []map[string]int{t.using, t.waiting} {
		for team, n := range m {
			if team != "" {
				total[team] += n
			}
		}
	}
	return total
}
