package place_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"cyclamenrelay.example/fleet"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/place"
	"cyclamenrelay.example/rules"
	"cyclamenrelay.example/share"
	"cyclamenrelay.example/wire"

	"gotest.tools/v3/assert"
)

// The simulation joins the cores of 3 entries and of 11 agents with 8 slots each,
// in 3 data centres, by messages with a fixed delay. Its figures are those of a
// model and not of a deployment.
const (
	simSlots  = 8
	nearDelay = 50 * time.Microsecond   // one-way delay within a data centre
	farDelay  = 1500 * time.Microsecond // one-way delay between data centres
)

// event is a function that runs at a simulated time; seq orders events of equal time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

// events is a heap of events by time.
type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	n := len(*h) - 1
	e := (*h)[n]
	*h = (*h)[:n]
	return e
}

// tally counts the outcomes of one kind of work.
type tally struct {
	sent, complete, failed, notRun int
	codes                          map[model.Code]int
	ratios                         []float64 // response / ideal
	times                          []float64 // seconds
}

type simTask struct {
	kind    string
	arrived time.Duration
	runTime time.Duration
	starts  int  // starts that reached a target
	fails   bool // at every target
	done    bool
	ended   time.Duration
}

type simAgent struct {
	core        *share.Core
	down        bool
	fails       bool
	incarnation uint64
	seq         uint64
	nextTick    time.Duration
	starts      int // starts at its target
}

type sim struct {
	t              testing.TB
	rnd            *rand.Rand
	now            time.Duration
	seq            int
	events         events
	entries        []*place.Core
	nextTicks      []time.Duration
	agents         []*simAgent
	tasks          map[string]*simTask
	kinds          map[string]*tally
	failed         map[string]bool
	tallyFrom      time.Duration // tasks that arrive earlier are not tallied
	slowShare      float64       // proportion of starts that take ten times as long
	narrowRunTimes bool          // run times are from 100 ms to 200 ms

	starts, refusals, extraStarts, demands, grants, returns int
}

var epoch = time.Unix(1_000_000, 0)

func newSim(t testing.TB, seed uint64, p fleet.Policy, set *rules.Set) *sim {
	s := &sim{t: t, rnd: rand.New(rand.NewPCG(seed, 1)), tasks: map[string]*simTask{}, kinds: map[string]*tally{}, failed: map[string]bool{}}
	for i := range 3 {
		cfg := place.DefaultSettings()
		cfg.Policy = p
		cfg.DataCentres = []string{dc(i), dc(i + 1), dc(i + 2)}
		s.entries = append(s.entries, place.New(cfg, set, rand.New(rand.NewPCG(seed, uint64(i)+2))))
	}
	s.nextTicks = make([]time.Duration, 3)
	for i := range 11 {
		cfg := share.DefaultSettings(simSlots)
		switch p.(type) {
		case fleet.TwoChoices:
			cfg.Buffer = 16
		case fleet.Random, fleet.LeastLoaded:
			cfg.Buffer = 100_000
		case fleet.Strict:
			cfg.Strict = true
		}
		s.agents = append(s.agents, &simAgent{core: share.New(cfg, set), incarnation: 1})
		s.heartbeat(i)
	}
	return s
}

// dc names the data centre of entry or agent i.
func dc(i int) string { return string(rune('a' + i%3)) }

// after runs do at the simulated time d from now.
func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, event{s.now + d, s.seq, do})
}

// delay returns the one-way delay of a message between an entry and an agent.
func (s *sim) delay(entry, agent int) time.Duration {
	if entry%3 == agent%3 {
		return nearDelay
	}
	return farDelay
}

// run runs the events up to the simulated time until.
func (s *sim) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = until
}

// heartbeat announces agent i to all entries every 500 ms unless it is down.
func (s *sim) heartbeat(i int) {
	a := s.agents[i]
	if !a.down {
		a.seq++
		for e := range s.entries {
			m := wire.Announce{
				Self: wire.Node{Name: fmt.Sprint("agent", i), Incarnation: a.incarnation}, Free: a.core.Free(), Seq: a.seq,
				Target: &model.Target{Name: fmt.Sprint("target", i), DataCentre: dc(i), Slots: simSlots},
			}
			s.after(s.delay(e, i), func() { s.stepEntry(e, place.Announced{Announce: m}) })
		}
	}
	s.after(500*time.Millisecond, func() { s.heartbeat(i) })
}

// stepEntry passes in to the core of entry e and carries out the effects.
func (s *sim) stepEntry(e int, in place.Input) {
	c := s.entries[e]
	for _, out := range c.Step(epoch.Add(s.now), in) {
		switch out := out.(type) {
		case place.Start:
			s.starts++
			if out.Cause == place.Retry || out.Cause == place.Hedge {
				s.extraStarts++
			}
			s.toAgent(e, out.Agent, share.Start{Entry: fmt.Sprint(e), Start: wire.Start{Task: out.Task, Grant: out.Grant}})
		case place.SendDemand:
			s.demands++
			s.toAgent(e, out.Agent, share.Demanded{Entry: fmt.Sprint(e), Demand: out.Demand})
		case place.ReturnGrant:
			s.returns++
			s.toAgent(e, out.Agent, share.Returned{Entry: fmt.Sprint(e), Return: out.Return})
		case place.Cancel:
			s.toAgent(e, out.Agent, share.Cancelled{Entry: fmt.Sprint(e), ID: out.ID})
		case place.Resolve:
			s.resolve(out)
		}
	}
	if w := c.NextTick().Sub(epoch); w != s.nextTicks[e] {
		s.nextTicks[e] = w
		s.after(max(w-s.now, 0), func() {
			if s.nextTicks[e] == w {
				s.nextTicks[e] = 0
				s.stepEntry(e, place.Tick{})
			}
		})
	}
}

// stepAgent passes in to the core of agent i and carries out the effects.
func (s *sim) stepAgent(i int, in share.Input) {
	a := s.agents[i]
	if a.down {
		return
	}
	id := fmt.Sprint("agent", i)
	for _, out := range a.core.Step(epoch.Add(s.now), in) {
		switch out := out.(type) {
		case share.Run:
			s.execute(i, out)
		case share.Refuse:
			s.refusals++
			m := place.Answer{Agent: id, Result: wire.Result{ID: out.ID, NotRun: &out.NotRun, Free: a.core.Free()}}
			s.toEntry(i, out.Entry, m)
		case share.Grant:
			s.grants++
			s.toEntry(i, out.Entry, place.Granted{Agent: id, Grant: out.Grant})
		}
	}
	if w := a.core.NextTick(); !w.IsZero() && w.Sub(epoch) != a.nextTick {
		at := w.Sub(epoch)
		a.nextTick = at
		s.after(max(at-s.now, 0), func() { s.stepAgent(i, share.Tick{}) })
	}
}

func (s *sim) toAgent(e int, agent string, m share.Input) {
	i, _ := strconv.Atoi(strings.TrimPrefix(agent, "agent"))
	s.after(s.delay(e, i), func() { s.stepAgent(i, m) })
}

func (s *sim) toEntry(agent int, entry string, m place.Input) {
	e, _ := strconv.Atoi(entry)
	s.after(s.delay(e, agent), func() { s.stepEntry(e, m) })
}

// execute runs a task at the target of agent i and answers the entry when it ends.
func (s *sim) execute(i int, r share.Run) {
	a, task := s.agents[i], s.tasks[r.Task.ID]
	task.starts++
	a.starts++
	d := task.runTime
	if s.slowShare > 0 && s.rnd.Float64() < s.slowShare {
		d *= 10
	}
	res := wire.Result{ID: r.Task.ID, Complete: &model.Complete{Status: 200}}
	if a.fails || task.fails {
		d = time.Millisecond
		res = wire.Result{ID: r.Task.ID, Failed: &model.Failed{Reason: "status 500", Status: 500, Target: fmt.Sprint("target", i)}}
	}
	incarnation := a.incarnation
	s.after(d, func() {
		if a.down || a.incarnation != incarnation {
			return
		}
		s.stepAgent(i, share.Finished{ID: r.Task.ID})
		res.Free = a.core.Free()
		s.toEntry(i, r.Entry, place.Answer{Agent: fmt.Sprint("agent", i), Result: res})
	})
}

// resolve checks and tallies the outcome of a task.
func (s *sim) resolve(r place.Resolve) {
	t := s.tasks[r.ID]
	assert.Assert(s.t, t != nil && !t.done, "second outcome of %s", r.ID)
	t.done, t.ended = true, s.now
	if _, ok := r.Outcome.(model.NotRun); ok {
		assert.Equal(s.t, t.starts, 0, "notRun of %s that ran", r.ID)
	}
	k := s.kinds[t.kind]
	if t.arrived < s.tallyFrom {
		return
	}
	k.sent++
	switch o := r.Outcome.(type) {
	case model.Complete:
		k.complete++
		took := (s.now - t.arrived).Seconds()
		k.times = append(k.times, took)
		k.ratios = append(k.ratios, took/(t.runTime+2*nearDelay).Seconds())
	case model.Failed:
		k.failed++
		s.failed[r.ID] = true
	case model.NotRun:
		k.notRun++
		k.codes[o.Code]++
	}
}

// stream is an open-loop stream of Poisson arrivals of one kind at random entries.
type stream struct {
	kind                 string
	rate                 float64 // tasks a second
	from, to             time.Duration
	urgency              int
	fails, nonIdempotent bool // fails at every target; not idempotent
}

// addStream starts the arrivals of m at m.from.
func (s *sim) addStream(m stream) {
	s.kinds[m.kind] = &tally{codes: map[model.Code]int{}}
	s.after(m.from, func() { s.arrive(m) })
}

// arrive passes one task of m and schedules the next one.
func (s *sim) arrive(m stream) {
	if s.now >= m.to {
		return
	}
	id := fmt.Sprint(m.kind, len(s.tasks))
	e := s.rnd.IntN(len(s.entries))
	t := &simTask{kind: m.kind, arrived: s.now, runTime: s.runTime(), fails: m.fails}
	s.tasks[id] = t
	s.stepEntry(e, place.Arrive{Task: model.Task{
		ID: id, Labels: model.Labels{model.LabelKind: m.kind}, Urgency: m.urgency, Idempotent: !m.nonIdempotent, TimeLeft: 10 * time.Second,
	}})
	s.after(time.Duration(s.rnd.ExpFloat64()/m.rate*float64(time.Second)), func() { s.arrive(m) })
}

// finish lets all work end and checks that each request has an outcome and that
// no slot is lost.
func (s *sim) finish(until time.Duration) {
	s.run(until + 15*time.Second)
	for id, t := range s.tasks {
		assert.Assert(s.t, t.done, "no outcome for %s", id)
	}
	for i, a := range s.agents {
		assert.Assert(s.t, a.down || a.core.Free() == simSlots, "agent %d has %d slots free", i, a.core.Free())
	}
}

// waste returns the messages per request beside a start and its answer: refused
// starts, demand, returned grants, retries and hedges.
func (s *sim) waste() float64 {
	return float64(2*s.refusals+s.demands+2*s.returns+2*s.extraStarts) / float64(max(len(s.tasks), 1))
}
