package place

import (
	"cmp"
	"slices"
	"time"

	"cyclamenrelay.example/wire"
)

// Bounds on what is asked of agents.
const (
	maxAsked   = 32              // slots asked of one agent for one class
	askMargin  = 2               // slots asked for beyond the queued work
	renewAfter = 2 * time.Second // without a grant, demand is sent again
)

// ask tells agents of queued work of k when what was asked of them runs low.
// More slots are asked for than work is queued, so that the first free one is found.
func (c *Core) ask(k *class) {
	if !pulls(c.set.Policy) || k.size == 0 {
		return
	}
	most := maxAsked * min(k.size, c.set.Fanout)
	goal := min(k.queued+askMargin, most)
	if k.outstanding >= min(goal, goal/2+askMargin) {
		return
	}
	need := goal - k.outstanding
	n := min(need, k.size, c.set.Fanout)
	each := (need + n - 1) / n
	for _, t := range k.bestFor(n) {
		if !t.health.allow(c.now, t.inflight) || t.health.probation {
			continue
		}
		add := min(each, maxAsked-k.asked[t])
		if add <= 0 {
			continue
		}
		k.asked[t] += add
		k.outstanding += add
		c.tell(t, k)
	}
	k.asking = c.now
}

// tell sends the demand for the share of k to t.
func (c *Core) tell(t *target, k *class) {
	w := wire.Want{Share: k.key.share}
	for _, o := range c.ordered {
		if o.key.share == k.key.share {
			w.Count += o.asked[t]
		}
	}
	w.Urgency = c.queue.Urgency(k.key.share)
	c.emit(Ask{Agent: t.name, Demand: wire.Demand{Wants: []wire.Want{w}}})
}

// renew forgets what was asked for too long ago, such as of agents that lost it.
func (c *Core) renew(k *class) {
	if k.queued == 0 || k.outstanding == 0 || c.now.Sub(k.asking) < renewAfter {
		return
	}
	clear(k.asked)
	k.outstanding = 0
}

// pace measures how fast a share's queue is served.
type pace struct {
	last     time.Time
	interval float64 // seconds between services while work waits
}

// paceStep is the weight of the newest interval.
const paceStep = 0.05

func (c *Core) pace(share string) *pace {
	p := c.paces[share]
	if p == nil {
		p = &pace{}
		c.paces[share] = p
	}
	return p
}

// served notes that queued work was started; more says whether work still waits.
func (p *pace) served(now time.Time, more bool) {
	if !p.last.IsZero() {
		d := now.Sub(p.last).Seconds()
		if p.interval == 0 {
			p.interval = d
		}
		p.interval += paceStep * (d - p.interval)
	}
	p.last = now
	if !more {
		p.last = time.Time{}
	}
}

// wait estimates how long the n-th queued task waits.
func (p *pace) wait(n int) time.Duration {
	return time.Duration(float64(n) * p.interval * float64(time.Second))
}

// teams divides the quotas of teams between the entries by their demand.
type teams struct {
	using, waiting map[string]int
	peers          map[string]peer
}

type peer struct {
	at  time.Time
	use map[string]int
}

// peerLife is how long a peer's report of its use counts.
const peerLife = 5 * time.Second

func newTeams() teams {
	return teams{using: map[string]int{}, waiting: map[string]int{}, peers: map[string]peer{}}
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

func (t *teams) use(team string, n int)  { add(t.using, team, n) }
func (t *teams) wait(team string, n int) { add(t.waiting, team, n) }

func (t *teams) report(now time.Time, u wire.TeamUse) {
	t.peers[u.Entry] = peer{at: now, use: u.Teams}
}

func (t *teams) compact(now time.Time) {
	for name, p := range t.peers {
		if now.Sub(p.at) > peerLife {
			delete(t.peers, name)
		}
	}
}

// slice returns this entry's part of a quota, at least 1.
func (t *teams) slice(team string, quota int) int {
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

// teamOK reports whether the team may use one more slot from this entry.
func (c *Core) teamOK(team string) bool {
	quota := c.rules.Team(team).Quota
	return quota <= 0 || c.teams.using[team] < c.teams.slice(team, quota)
}

// TeamUse returns the team use to tell the other entries, every second or so.
// It is nil when there is none.
func (c *Core) TeamUse(entry string) *wire.TeamUse {
	u := wire.TeamUse{Entry: entry, Teams: map[string]int{}}
	for _, m := range []map[string]int{c.teams.using, c.teams.waiting} {
		for team, n := range m {
			if team != "" {
				u.Teams[team] += n
			}
		}
	}
	if len(u.Teams) == 0 {
		return nil
	}
	return &u
}

// Known returns the names of the agents that the entry may place on, in order.
func (c *Core) Known() []string {
	var names []string
	for _, t := range c.list {
		if t.usable {
			names = append(names, t.name)
		}
	}
	slices.SortFunc(names, cmp.Compare[string])
	return names
}
