package place

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cyclamenrelay.example/fleet"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/queue"
	"cyclamenrelay.example/rules"
	"cyclamenrelay.example/stats"
	"cyclamenrelay.example/timer"
	"cyclamenrelay.example/wire"
)

// sweepInterval is the time between sweeps, the periodic work of the core.
const sweepInterval = 100 * time.Millisecond

// maxKinds bounds the kinds of work that are measured separately. Further kinds
// share one measurement.
const maxKinds = 512

// kindStats holds the measurements of one kind of work: its run times and its
// latest outcomes at targets.
type kindStats struct {
	stats.RunTimes
	outcomes stats.OutcomeHistory[*fleet.Target]
}

// Core is the scheduler of one entry. It is not safe for concurrent use: one
// goroutine owns it, calls Step for each event, carries out the effects in their
// order, and passes a Tick when the time of NextTick is reached. Each Arrive is
// followed by exactly one Resolve.
type Core struct {
	settings     Settings
	rnd          *rand.Rand
	rules        *rules.Set
	queue        *queue.Queue[*fleet.Class]
	fleet        *fleet.Fleet
	requests     map[string]*request
	timers       timer.Queue[*request]
	kinds        map[string]*kindStats
	retryBudgets stats.RetryBudgets
	serviceRates stats.ServiceRates
	teams        *stats.TeamQuotas
	lastSerial   uint64
	nextSweep    time.Time
	now          time.Time
	effects      []Effect
}

// New returns a core without targets. Its random choices are drawn from rnd.
func New(s Settings, r *rules.Set, rnd *rand.Rand) *Core {
	if s.Policy == nil {
		s.Policy = fleet.IdleFirst{}
	}
	c := &Core{
		settings:     s,
		rnd:          rnd,
		rules:        r,
		queue:        queue.New[*fleet.Class](),
		fleet:        fleet.New(fleet.Settings{DataCentres: s.DataCentres, HeartbeatTimeout: s.HeartbeatTimeout, RoundTrip: s.RoundTrip}, r),
		requests:     map[string]*request{},
		kinds:        map[string]*kindStats{},
		retryBudgets: stats.RetryBudgets{},
		serviceRates: stats.ServiceRates{},
		teams:        stats.NewTeams(),
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
	clear(c.effects)
	c.effects = c.effects[:0]
	switch in := in.(type) {
	case Arrive:
		c.onArrive(in.Task)
	case Answer:
		c.onAnswer(in)
	case Unanswered:
		c.onLost(in)
	case Announced:
		c.onAnnounce(in.Announce)
	case Granted:
		c.onGranted(in)
	case Cancelled:
		c.onCancelled(in.ID)
	case Configured:
		c.onConfigured(in.Rules)
	case PeerUse:
		c.teams.RecordPeer(now, in.Use)
	case Tick:
	default:
		panic(fmt.Sprintf("place: unknown input %T", in))
	}
	c.runDue()
	return c.effects
}

// NextTick returns the time at which the next Tick is to be passed to Step.
func (c *Core) NextTick() time.Time {
	if r, ok := c.timers.First(); ok && r.Due().Before(c.nextSweep) {
		return r.Due()
	}
	return c.nextSweep
}

// Pending returns the number of requests without an outcome, and how many of them are queued.
func (c *Core) Pending() (all, queued int) { return len(c.requests), c.queue.Len() }

// runDue handles the expired timers of requests, runs the sweep when it is due,
// and asks agents for slots for the queued work.
func (c *Core) runDue() {
	for r, ok := c.timers.First(); ok && !r.Due().After(c.now); r, ok = c.timers.First() {
		c.onTimer(r)
	}
	if !c.now.Before(c.nextSweep) {
		c.nextSweep = c.now.Add(sweepInterval)
		c.sweep()
	}
	if !fleet.QueuesAtEntry(c.settings.Policy) || c.queue.Len() == 0 {
		return
	}
	for _, k := range c.fleet.Classes() {
		if k.Queued > 0 {
			c.sendDemand(k)
		}
	}
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// sweep is the periodic work: it gives up the starts at silent targets, refuses
// work that has waited too long for a matching target, starts queued work on free
// slots, and forgets demand, shares, teams and reports that are out of date.
func (c *Core) sweep() {
	if silent := c.fleet.Sweep(c.now); len(silent) > 0 {
		c.abandon(func(a attempt) bool { return silent[a.target] })
	}
	for _, k := range c.fleet.Classes() {
		if k.Queued > 0 && k.Size() == 0 && c.now.Sub(k.EmptySince) >= c.settings.NoTargetWait {
			c.refuseClass(k)
		}
		k.ExpireDemand(c.now)
	}
	c.startAllQueued()
	c.queue.Compact()
	c.teams.Compact(c.now)
}

// refuseClass refuses the queued work of k that has waited for a target for NoTargetWait.
func (c *Core) refuseClass(k *fleet.Class) {
	for _, r := range c.requestsWhere(func(r *request) bool { return r.item.Class == k && r.item.Queued() }) {
		if c.now.Sub(r.arrived) >= c.settings.NoTargetWait {
			c.refuse(r, model.CodeNoTarget, "no target matches the selectors", 0)
		}
	}
}

// requestsWhere returns the requests that match accepts, in the order of their arrival.
func (c *Core) requestsWhere(match func(*request) bool) []*request {
	var out []*request
	for _, r := range c.requests {
		if match(r) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *request) int { return cmp.Compare(a.Serial(), b.Serial()) })
	return out
}

// statsOf returns the measurements of a kind of work, or those that further kinds
// share once maxKinds is reached.
func (c *Core) statsOf(name string) *kindStats {
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
	k = &kindStats{}
	c.kinds[name] = k
	return k
}

// TeamUse returns the use of team quotas at this entry, which the other entries
// are to be told about once a second.
func (c *Core) TeamUse(entry string) wire.TeamUse {
	return wire.TeamUse{Entry: entry, Teams: c.teams.Demand()}
}

// onConfigured applies a newer configuration to the targets and to the queued work.
func (c *Core) onConfigured(r *rules.Set) {
	if r.Version() <= c.rules.Version() {
		return
	}
	c.rules = r
	oldClasses := c.fleet.Configure(c.now, r)
	queued := c.requestsWhere(func(r *request) bool { return r.item.Queued() })
	for _, q := range queued {
		c.unqueue(q)
	}
	for _, q := range queued {
		if c.classify(q) {
			c.enqueue(q)
		}
	}
	c.fleet.CopyDemand(oldClasses)
	c.startAllQueued()
}
