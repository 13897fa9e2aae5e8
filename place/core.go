package place

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cyclamenrelay.example/fleet"
	"cyclamenrelay.example/gauge"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/queue"
	"cyclamenrelay.example/rules"
	"cyclamenrelay.example/timer"
	"cyclamenrelay.example/wire"
)

// sweepEvery is the time between sweeps, the periodic work of the core.
const sweepEvery = 100 * time.Millisecond

// maxKinds bounds the kinds of work that are measured separately. Further kinds
// share one measurement.
const maxKinds = 512

// kind holds the measurements of one kind of work: its run times and its latest
// outcomes at targets.
type kind struct {
	gauge.Kind
	seen gauge.Evidence[*fleet.Target]
}

// Core is the scheduler of one entry. It is not safe for concurrent use: one
// goroutine owns it, calls Step for each event, carries out the effects in their
// order, and passes a Tick when the time of Wake is reached. Each Arrive is
// followed by exactly one Resolve.
type Core struct {
	set      Settings
	rnd      *rand.Rand
	rules    *rules.Set
	queue    *queue.Queue[*fleet.Class]
	fleet    *fleet.Fleet
	requests map[string]*request
	timers   timer.Queue[*request]
	kinds    map[string]*kind
	budgets  gauge.Budgets
	paces    gauge.Paces
	teams    *gauge.Teams
	serial   uint64
	sweepAt  time.Time
	now      time.Time
	out      []Effect
}

// New returns a core without targets. Its random choices are drawn from rnd.
func New(s Settings, r *rules.Set, rnd *rand.Rand) *Core {
	if s.Policy == nil {
		s.Policy = fleet.IdleFirst{}
	}
	c := &Core{
		set:      s,
		rnd:      rnd,
		rules:    r,
		queue:    queue.New[*fleet.Class](),
		fleet:    fleet.New(fleet.Settings{Near: s.Near, Silence: s.Silence, RoundTrip: s.RoundTrip}, r),
		requests: map[string]*request{},
		kinds:    map[string]*kind{},
		budgets:  gauge.Budgets{},
		paces:    gauge.Paces{},
		teams:    gauge.NewTeams(),
	}
	_, c.queue.Strict = s.Policy.(fleet.Strict)
	return c
}

// Step handles an event at the time now and returns the effects to carry out, in
// order. It panics if now is before the time of the last call. The returned
// slice is valid until the next call.
func (c *Core) Step(now time.Time, in Input) []Effect {
	if now.Before(c.now) {
		panic("place: Step was called with an earlier time than before")
	}
	c.now = now
	clear(c.out)
	c.out = c.out[:0]
	switch in := in.(type) {
	case Arrive:
		c.arrive(in.Task)
	case Answer:
		c.answer(in)
	case Lost:
		c.lost(in)
	case Heard:
		c.heard(in.Announce)
	case Granted:
		c.granted(in)
	case Cancelled:
		c.cancelled(in.ID)
	case Configured:
		c.configured(in.Rules)
	case PeerUse:
		c.teams.Report(now, in.Use)
	case Tick:
	default:
		panic(fmt.Sprintf("place: unknown input %T", in))
	}
	c.fire()
	return c.out
}

// Wake returns the time at which the next Tick is to be passed to Step.
func (c *Core) Wake() time.Time {
	if r, ok := c.timers.First(); ok && r.Due().Before(c.sweepAt) {
		return r.Due()
	}
	return c.sweepAt
}

// Pending returns the number of requests without an outcome, and how many of them are queued.
func (c *Core) Pending() (all, queued int) { return len(c.requests), c.queue.Len() }

// fire handles the expired timers of requests, runs the sweep when it is due,
// and asks agents for slots for the queued work.
func (c *Core) fire() {
	for r, ok := c.timers.First(); ok && !r.Due().After(c.now); r, ok = c.timers.First() {
		c.due(r)
	}
	if !c.now.Before(c.sweepAt) {
		c.sweepAt = c.now.Add(sweepEvery)
		c.sweep()
	}
	if !fleet.Pulls(c.set.Policy) || c.queue.Len() == 0 {
		return
	}
	for _, k := range c.fleet.Classes() {
		if k.Queued > 0 {
			c.ask(k)
		}
	}
}

func (c *Core) emit(e Effect) { c.out = append(c.out, e) }

// sweep is the periodic work: it gives up the starts at silent targets, refuses
// work that has waited too long for a matching target, starts queued work on free
// slots, and forgets demand, shares, teams and reports that are out of date.
func (c *Core) sweep() {
	if dead := c.fleet.Sweep(c.now); len(dead) > 0 {
		c.abandon(func(a attempt) bool { return dead[a.t] })
	}
	for _, k := range c.fleet.Classes() {
		if k.Queued > 0 && k.Size() == 0 && c.now.Sub(k.EmptySince) >= c.set.NoTargetWait {
			c.refuseClass(k)
		}
		k.Renew(c.now)
	}
	c.pumpAll()
	c.queue.Compact()
	c.teams.Compact(c.now)
}

// refuseClass refuses the queued work of k that has waited for a target for NoTargetWait.
func (c *Core) refuseClass(k *fleet.Class) {
	for _, r := range c.sorted(func(r *request) bool { return r.item.Class == k && r.item.Queued() }) {
		if c.now.Sub(r.arrived) >= c.set.NoTargetWait {
			c.refuse(r, model.CodeNoTarget, "no target matches the selectors", 0)
		}
	}
}

// sorted returns the requests that ok accepts, in the order of their arrival.
func (c *Core) sorted(ok func(*request) bool) []*request {
	var out []*request
	for _, r := range c.requests {
		if ok(r) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *request) int { return cmp.Compare(a.Serial(), b.Serial()) })
	return out
}

// kind returns the measurements of a kind of work, or those that further kinds
// share once maxKinds is reached.
func (c *Core) kind(name string) *kind {
	k := c.kinds[name]
	if k != nil {
		return k
	}
	if len(c.kinds) >= maxKinds {
		name = ""
		if k = c.kinds[name]; k != nil {
			return k
		}
	}
	k = &kind{}
	c.kinds[name] = k
	return k
}

// TeamUse returns the use of team quotas at this entry, which the other entries
// are to be told about once a second.
func (c *Core) TeamUse(entry string) wire.TeamUse {
	return wire.TeamUse{Entry: entry, Teams: c.teams.Total()}
}

// configured applies a newer configuration to the targets and to the queued work.
func (c *Core) configured(r *rules.Set) {
	if r.Version() <= c.rules.Version() {
		return
	}
	c.rules = r
	old := c.fleet.Configure(c.now, r)
	queued := c.sorted(func(r *request) bool { return r.item.Queued() })
	for _, q := range queued {
		c.unqueue(q)
	}
	for _, q := range queued {
		if c.classify(q) {
			c.enqueue(q)
		}
	}
	c.fleet.Carry(old)
	c.pumpAll()
}
