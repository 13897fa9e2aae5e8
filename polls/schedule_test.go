package polls_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/polls"
)

const (
	hold      = 500 * time.Millisecond // of package keeper
	heartbeat = 50 * time.Millisecond  // of package raft
	replicate = 100 * time.Millisecond
	apply     = 100 * time.Millisecond
)

// sim steps the schedule of one entry through simulated exchanges with keepers.
type sim struct {
	rnd     *rand.Rand
	limits  polls.Limits
	s       *polls.Schedule
	now     time.Time
	events  events
	keepers []string
	// lost and cutOff are the keepers that stop answering, or hear no quorum any more, at
	// disturbedAt.
	lost, cutOff map[string]bool
	disturbedAt  time.Time
	ackedAt      time.Time
	// way returns the time of one message on its way.
	way func() time.Duration
	// dropped is the share of polls that are lost and found to be so by the time-out alone.
	dropped  float64
	polls    int
	open     []*exchange
	inForce  time.Time
	wakeUpAt time.Time
}

// exchange is a poll and its answer.
type exchange struct {
	keeper string
	ended  bool
}

type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (m *sim) after(d time.Duration, do func()) { heap.Push(&m.events, event{m.now.Add(d), do}) }

// upTo returns a random time below d.
func (m *sim) upTo(d time.Duration) time.Duration { return time.Duration(m.rnd.Int64N(int64(d))) }

// newSim returns a simulation of 5 keepers that runs calmly for 3 s before any disturbance.
func newSim(seed uint64, l polls.Limits) *sim {
	m := &sim{rnd: rand.New(rand.NewPCG(seed, 1)), limits: l, now: time.Unix(1000, 0), lost: map[string]bool{}, cutOff: map[string]bool{}}
	m.s = polls.NewSchedule(m.now)
	for i := range 5 {
		m.keepers = append(m.keepers, fmt.Sprintf("k%d", i))
	}
	m.disturbedAt = m.now.Add(3*time.Second + m.upTo(time.Second))
	m.ackedAt = m.disturbedAt.Add(m.upTo(200 * time.Millisecond))
	return m
}

// run runs the simulation until the change is in force, or for 20 s, and returns how long after
// its acknowledgement that was.
func (m *sim) run() time.Duration {
	end := m.now.Add(20 * time.Second)
	m.step()
	for m.inForce.IsZero() && m.now.Before(end) {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.do()
	}
	if m.inForce.IsZero() {
		return 20 * time.Second
	}
	return m.inForce.Sub(m.ackedAt)
}

// step polls the keepers that the schedule names, and plans its next call.
func (m *sim) step() {
	m.rnd.Shuffle(len(m.keepers), func(i, j int) { m.keepers[i], m.keepers[j] = m.keepers[j], m.keepers[i] })
	for _, k := range m.s.Next(m.now, m.keepers) {
		m.poll(k)
	}
	at := m.s.Wake(m.now)
	m.wakeUpAt = at
	m.after(at.Sub(m.now), func() {
		if m.wakeUpAt.Equal(at) {
			m.step()
		}
	})
}

func (m *sim) poll(k string) {
	m.polls++
	x := &exchange{keeper: k}
	m.open = append(m.open, x)
	m.after(m.limits.Timeout(), func() { m.end(x, polls.Bad) })
	if m.rnd.Float64() < m.dropped {
		return
	}
	m.after(m.way(), func() { m.serve(x, m.now.Add(hold)) })
}

// end ends an exchange. As in watch.Follower, a good answer cancels those with other keepers.
func (m *sim) end(x *exchange, r polls.Result) {
	if x.ended {
		return
	}
	x.ended = true
	m.s.Ended(m.now, x.keeper, r)
	m.open = slices.DeleteFunc(m.open, func(o *exchange) bool { return o.ended })
	for _, o := range m.open {
		if r == polls.Good && o.keeper != x.keeper {
			o.ended = true
			m.s.Ended(m.now, o.keeper, polls.Cancelled)
		}
	}
	m.step()
}

// isLost reports whether the keeper no longer answers.
func (m *sim) isLost(k string) bool { return m.lost[k] && m.now.After(m.disturbedAt) }

// hasChange reports whether the keeper has the change.
func (m *sim) hasChange(k string) bool {
	return !m.lost[k] && !m.cutOff[k] && !m.now.Before(m.ackedAt.Add(replicate))
}

// serve is a poll at a keeper: it is answered when the keeper has the change, or at the end of
// the hold.
func (m *sim) serve(x *exchange, until time.Time) {
	switch {
	case m.isLost(x.keeper):
	case m.hasChange(x.keeper):
		m.after(m.way(), func() {
			if !x.ended {
				m.after(apply, func() { m.inForce = m.now })
			}
			m.end(x, polls.Good)
		})
	case !m.now.Before(until):
		age := m.upTo(2 * heartbeat)
		if m.cutOff[x.keeper] && m.now.After(m.disturbedAt) {
			age += m.now.Sub(m.disturbedAt)
		}
		r := polls.Good
		if age > polls.MaxProofAge {
			r = polls.Bad
		}
		m.after(m.way(), func() { m.end(x, r) })
	default:
		m.after(min(5*time.Millisecond, until.Sub(m.now)), func() { m.serve(x, until) })
	}
}

// sites are the limits of the users' deployments.
var sites = map[string]polls.Limits{
	"2s":   {InForce: 2 * time.Second, Tolerance: 1, Lease: 1500 * time.Millisecond},
	"2.5s": {InForce: 2500 * time.Millisecond, Tolerance: 2, Lease: 1500 * time.Millisecond},
	"10s":  {InForce: 10 * time.Second, Tolerance: 2, Lease: 4 * time.Second},
}

// TestChangeIsInForceWithinTheLimit guards against an entry that learns of a change later than
// its deployment promises: keepers are lost or cut off around the acknowledgement, and each
// message is on its way for up to the time that Way allows, the edge of the bound.
func TestChangeIsInForceWithinTheLimit(t *testing.T) {
	for name, l := range sites {
		for _, kind := range []string{"calm", "lost", "cutOff", "edge"} {
			t.Run(name+"/"+kind, func(t *testing.T) {
				assert.NilError(t, l.Check())
				var worst time.Duration
				for seed := range uint64(400) {
					m := newSim(seed, l)
					m.way = func() time.Duration { return m.upTo(l.Way() + 1) }
					if kind == "edge" {
						m.way = l.Way
					}
					for _, k := range m.keepers[:l.Tolerance] {
						m.lost[k] = kind == "lost" || kind == "edge" && seed%2 == 0
						m.cutOff[k] = kind == "cutOff" || kind == "edge" && seed%2 == 1
					}
					took := m.run()
					worst = max(worst, took)
					assert.Assert(t, took <= l.InForce, "seed %d: in force after %v", seed, took)
				}
				t.Logf("in force after %v at most, messages take up to %v", worst, l.Way())
			})
		}
	}
}

// TestLateAnswersAreUsed guards against polls that are given up and begun anew while their
// answers are on their way: messages take several times as long as the sum allows, a
// fifth of the polls is lost, and a change still arrives.
func TestLateAnswersAreUsed(t *testing.T) {
	l := sites["2.5s"]
	for seed := range uint64(400) {
		m := newSim(seed, l)
		m.way = func() time.Duration { return 300*time.Millisecond + m.upTo(700*time.Millisecond) }
		m.dropped = 0.2
		took := m.run()
		assert.Assert(t, took <= 2*l.InForce, "seed %d: in force after %v", seed, took)
	}
}

// TestLimitIsNotMetBeyondTheEdge shows that the sum has no hidden reserve of its own size: with
// messages of twice the time, changes are late.
func TestLimitIsNotMetBeyondTheEdge(t *testing.T) {
	l := sites["2.5s"]
	late := 0
	for seed := range uint64(400) {
		m := newSim(seed, l)
		m.way = func() time.Duration { return 2 * l.Way() }
		for _, k := range m.keepers[:l.Tolerance] {
			m.cutOff[k] = true
		}
		if m.run() > l.InForce {
			late++
		}
	}
	assert.Assert(t, late > 0)
}

// TestPollsAreBounded guards against a flood while no keeper answers: at most two polls a second
// go to each of five keepers.
func TestPollsAreBounded(t *testing.T) {
	m := newSim(1, sites["2.5s"])
	m.way = func() time.Duration { return time.Millisecond }
	for _, k := range m.keepers {
		m.lost[k] = true
	}
	before := m.disturbedAt.Sub(m.now)
	m.run()
	calm := int(before/hold) + 10
	assert.Assert(t, m.polls <= calm+2*5*20, "%d polls in 20 s", m.polls)
}

func TestLimitsThatCannotBeKept(t *testing.T) {
	assert.ErrorContains(t, polls.Limits{InForce: time.Second, Tolerance: 1}.Check(), "later than the limit of 1s")
	assert.ErrorContains(t, polls.Limits{InForce: 2 * time.Second, Tolerance: 1, Lease: 3 * time.Second}.Check(), "the lease of 3s")
}
