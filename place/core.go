package place

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cyclamenrelay.example/label"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/queue"
	"cyclamenrelay.example/rules"
)

// Intervals of the core's own work.
const (
	sweepEvery  = 100 * time.Millisecond
	forgetAfter = time.Minute // unused classes, silent targets, peers' reports
	maxClasses  = 4096
)

// Core decides for one entry. It is not safe for concurrent use: one goroutine
// owns it, calls Step for each event and does the effects in their order.
type Core struct {
	set      Settings
	rnd      *rand.Rand
	rules    *rules.Set
	queue    *queue.Queue[*class]
	targets  map[string]*target
	list     []*target // the targets in the order of their arrival
	classes  map[classKey]*class
	ordered  []*class // the classes in the order of their first use
	requests map[string]*request
	timers   timers
	kinds    map[string]*kind
	budgets  map[string]*budget
	paces    map[string]*pace
	teams    teams
	ill      int // targets on probation
	serial   uint64
	sweepAt  time.Time
	now      time.Time
	out      []Effect
}

// New returns a core without targets. rnd makes its choices reproducible.
func New(s Settings, r *rules.Set, rnd *rand.Rand) *Core {
	if s.Policy == nil {
		s.Policy = IdleFirst{}
	}
	c := &Core{
		set:      s,
		rnd:      rnd,
		rules:    r,
		queue:    queue.New[*class](),
		targets:  map[string]*target{},
		classes:  map[classKey]*class{},
		requests: map[string]*request{},
		kinds:    map[string]*kind{},
		budgets:  map[string]*budget{},
		paces:    map[string]*pace{},
		teams:    newTeams(),
	}
	_, c.queue.Strict = s.Policy.(Strict)
	return c
}

// Step takes an event at the time now and returns what to do, in order. The
// time must not go back. The effects are valid until the next call.
func (c *Core) Step(now time.Time, in Input) []Effect {
	if now.Before(c.now) {
		panic("place: time went back")
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
		c.teams.report(now, in.Use)
	case Tick:
	default:
		panic(fmt.Sprintf("place: unknown input %T", in))
	}
	c.fire()
	return c.out
}

// Wake returns the time at which the shell sends the next Tick.
func (c *Core) Wake() time.Time {
	if len(c.timers) > 0 && c.timers[0].wake.Before(c.sweepAt) {
		return c.timers[0].wake
	}
	return c.sweepAt
}

// Pending returns the number of requests without an outcome, and how many of them are queued.
func (c *Core) Pending() (all, queued int) { return len(c.requests), c.queue.Len() }

// fire does what is due: timers of requests, then the periodic work.
func (c *Core) fire() {
	for len(c.timers) > 0 && !c.timers[0].wake.After(c.now) {
		c.due(c.timers[0])
	}
	if !c.now.Before(c.sweepAt) {
		c.sweepAt = c.now.Add(sweepEvery)
		c.sweep()
	}
	for _, k := range c.ordered {
		if k.queued > 0 {
			c.ask(k)
		}
	}
}

func (c *Core) emit(e Effect) { c.out = append(c.out, e) }

// sweep finds silent targets, refuses work without targets, and forgets what is unused.
func (c *Core) sweep() {
	c.silence()
	for _, k := range c.ordered {
		if k.queued > 0 && k.size == 0 && c.now.Sub(k.emptySince) >= c.set.NoTargetWait {
			c.refuseClass(k)
		}
		c.renew(k)
	}
	c.pumpAll()
	c.queue.Compact()
	c.teams.compact(c.now)
	c.ordered = slices.DeleteFunc(c.ordered, func(k *class) bool {
		old := k.queued == 0 && c.now.Sub(k.used) > forgetAfter
		if old && c.classes[k.key] == k {
			delete(c.classes, k.key)
		}
		return old
	})
}

// refuseClass refuses the queued work of k that has waited for a target long enough.
func (c *Core) refuseClass(k *class) {
	for _, r := range c.sorted(func(r *request) bool { return r.item.Class == k && r.item.Queued() }) {
		if c.now.Sub(r.arrived) >= c.set.NoTargetWait {
			c.refuse(r, model.CodeNoTarget, "no target matches the selectors", 0)
		}
	}
}

// sorted returns the requests that ok accepts in the order of their arrival.
func (c *Core) sorted(ok func(*request) bool) []*request {
	var out []*request
	for _, r := range c.requests {
		if ok(r) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *request) int { return cmp.Compare(a.serial, b.serial) })
	return out
}

// class returns the class of a task; the error is a trace.BadParameter.
func (c *Core) class(rule *rules.Rule, selector string) (*class, error) {
	key := classKey{share: rule.Name, selector: selector}
	if k := c.classes[key]; k != nil {
		k.used = c.now
		return k, nil
	}
	sel, err := label.Parse(selector)
	if err != nil {
		return nil, err
	}
	k := &class{
		key: key, rule: rule, sel: sel, used: c.now, emptySince: c.now,
		member: map[*target]bool{}, asked: map[*target]int{},
	}
	for _, t := range c.list {
		k.update(c.now, t)
	}
	c.classes[key] = k
	c.ordered = append(c.ordered, k)
	return k, nil
}

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

func (c *Core) budget(share string) *budget {
	b := c.budgets[share]
	if b == nil {
		b = &budget{tokens: budgetBurst}
		c.budgets[share] = b
	}
	return b
}

// configured makes a new configuration hold for targets, classes and queued work.
func (c *Core) configured(r *rules.Set) {
	if r.Version() <= c.rules.Version() {
		return
	}
	c.rules = r
	for _, t := range c.list {
		c.relabel(t)
	}
	old := c.ordered
	c.classes, c.ordered = map[classKey]*class{}, nil
	queued := c.sorted(func(r *request) bool { return r.item.Queued() })
	for _, q := range queued {
		c.unqueue(q)
	}
	for _, q := range queued {
		if err := c.classify(q); err != nil {
			panic("place: selector of a queued request does not parse: " + err.Error())
		}
		c.enqueue(q)
	}
	for _, k := range old { // slots asked for stay asked for
		n := c.classes[k.key]
		if n == nil {
			continue
		}
		for t, asked := range k.asked {
			if n.member[t] {
				n.asked[t] = asked
				n.outstanding += asked
			}
		}
		if n.size == 0 && k.size == 0 {
			n.emptySince = k.emptySince
		}
	}
	c.pumpAll()
}

// timers is a heap of requests by their wake time.
type timers []*request

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (h timers) Len() int { return len(h) }

func (h timers) Less(i, j int) bool {
	if !h[i].wake.Equal(h[j].wake) {
		return h[i].wake.Before(h[j].wake)
	}
	return h[i].serial < h[j].serial
}

func (h timers) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].slot, h[j].slot = i, j
}

// Push implements heap.Interface.
func (h *timers) Push(x any) {
	r := x.(*request)
	r.slot = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface. It gives memory back when most of it is unused.
func (h *timers) Pop() any {
	n := len(*h) - 1
	r := (*h)[n]
	(*h)[n] = nil
	*h = (*h)[:n]
	if c := cap(*h); c > 64 && n < c/4 {
		*h = append(make(timers, 0, c/2), *h...)
	}
	return r
}

// schedule sets the time at which r is looked at again.
func (c *Core) schedule(r *request, at time.Time) {
	r.wake = at
	if r.slot >= 0 {
		heap.Fix(&c.timers, r.slot)
		return
	}
	heap.Push(&c.timers, r)
}
