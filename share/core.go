package share

import (
	"fmt"
	"slices"
	"time"

	"cyclamenrelay.example/model"
	"cyclamenrelay.example/queue"
	"cyclamenrelay.example/rules"
)

// Bounds on the demand of entries.
const (
	maxWant   = 1024 // slots that one entry may ask for, for one share
	maxShares = 4096 // shares that are kept
)

// minCharge is the least service time, in ns, that a task is charged, so that
// tasks that take no time are not free.
const minCharge = float64(time.Millisecond)

// idleLead is how much unused service time, in ns at weight 1, a share may catch up.
const idleLead = float64(2 * time.Second)

// meanStep is the weight of the newest sample in the mean slot time of a share.
const meanStep = 0.05

// Core is the slot scheduler of one agent. It is not safe for concurrent use: one
// goroutine owns it, calls Step for each event, carries out the effects in their
// order, and passes a Tick when the time of Wake is reached.
type Core struct {
	set     Settings
	rules   *rules.Set
	free    int
	leaving bool
	running map[string]running
	grants  []grant // unused ones, the oldest first
	shares  map[string]*share
	ordered []*share // in the order of their first use
	buffer  []waiting
	virtual float64 // virtual time, in ns at weight 1
	lastID  uint64
	now     time.Time
	out     []Effect
}

// running is a running task.
type running struct {
	share  *share
	since  time.Time
	charge float64 // estimated charge to the share, in ns at weight 1
}

// grant is a slot that is reserved for an entry.
type grant struct {
	id     uint64
	entry  string
	share  *share
	until  time.Time
	charge float64 // refunded when the grant ends
}

// waiting is a buffered start.
type waiting struct {
	start Start
	until time.Time
}

// New returns a core whose slots are all free.
func New(s Settings, r *rules.Set) *Core {
	return &Core{
		set: s, rules: r, free: s.Slots,
		running: map[string]running{}, shares: map[string]*share{},
	}
}

// Free returns the slots that are neither running nor granted, at least 0.
func (c *Core) Free() int { return max(c.free, 0) }

// Virtual returns the virtual time in nanoseconds at weight 1; it never decreases.
func (c *Core) Virtual() float64 { return c.virtual }

// Running returns the number of running tasks.
func (c *Core) Running() int { return len(c.running) }

// Wake returns the time at which the next Tick is to be passed to Step, or zero for none.
func (c *Core) Wake() time.Time {
	var at time.Time
	if len(c.grants) > 0 {
		at = c.grants[0].until
	}
	if len(c.buffer) > 0 && c.set.BufferTime > 0 && (at.IsZero() || c.buffer[0].until.Before(at)) {
		at = c.buffer[0].until
	}
	return at
}

// Step handles an event at the time now and returns the effects to carry out, in
// order. It panics if now is before the time of the last call. The returned
// slice is valid until the next call.
func (c *Core) Step(now time.Time, in Input) []Effect {
	if now.Before(c.now) {
		panic("share: Step was called with an earlier time than before")
	}
	virtual := c.virtual
	c.now = now
	clear(c.out)
	c.out = c.out[:0]
	c.expire()
	switch in := in.(type) {
	case Start:
		c.start(in)
	case Finished:
		c.finished(in.ID)
	case Demanded:
		c.demanded(in)
	case Returned:
		c.returned(in)
	case Cancelled:
		c.cancelled(in)
	case Gone:
		c.gone(in.Entry)
	case Configured:
		c.configured(in.Rules)
	case Resized:
		c.free += in.Slots - c.set.Slots
		c.set.Slots = in.Slots
	case Leave:
		c.leave()
	case Tick:
	default:
		panic(fmt.Sprintf("share: unknown input %T", in))
	}
	c.handOut()
	if len(c.running)+len(c.grants)+c.free != c.set.Slots {
		panic(fmt.Sprintf("share: %d running + %d granted + %d free slots, want %d in all",
			len(c.running), len(c.grants), c.free, c.set.Slots))
	}
	if c.virtual < virtual {
		panic("share: the virtual time decreased")
	}
	return c.out
}

func (c *Core) emit(e Effect) { c.out = append(c.out, e) }

// expire takes back the expired grants, with the demand of their entries for the
// share, and refuses the buffered starts that have waited for BufferTime.
func (c *Core) expire() {
	for len(c.grants) > 0 && !c.grants[0].until.After(c.now) {
		g := c.grants[0]
		c.takeBack(0)
		g.share.forget(g.entry)
	}
	for len(c.buffer) > 0 && c.set.BufferTime > 0 && !c.buffer[0].until.After(c.now) {
		c.busy(c.buffer[0].start)
		c.buffer = slices.Delete(c.buffer, 0, 1)
	}
}

// takeBack frees the slot of the i-th grant and refunds its share.
func (c *Core) takeBack(i int) {
	g := c.grants[i]
	c.grants = slices.Delete(c.grants, i, i+1)
	c.free++
	g.share.start = max(c.virtual-idleLead, g.share.start-g.charge)
}

// start runs a task on the slot granted for it or on a free one, else buffers or
// refuses the start.
func (c *Core) start(in Start) {
	t := in.Start.Task
	if _, ok := c.running[t.ID]; ok {
		panic("share: task " + t.ID + " starts twice")
	}
	if c.leaving {
		c.emit(Refuse{Entry: in.Entry, ID: t.ID, NotRun: model.NotRun{Reason: "the target is leaving", Code: model.CodeLeaving}})
		return
	}
	i := slices.IndexFunc(c.grants, func(g grant) bool { return g.id == in.Start.Grant && g.entry == in.Entry })
	if i >= 0 {
		c.takeBack(i)
	}
	switch {
	case c.free > 0:
		c.run(in)
	case len(c.buffer) < c.set.Buffer:
		c.buffer = append(c.buffer, waiting{start: in, until: c.now.Add(c.set.BufferTime)})
	default:
		c.busy(in)
	}
}

// busy refuses a start because no slot is free.
func (c *Core) busy(in Start) {
	c.emit(Refuse{Entry: in.Entry, ID: in.Start.Task.ID, NotRun: model.NotRun{
		Reason: "the target has no free slot", Code: model.CodeBusy,
	}})
}

func (c *Core) run(in Start) {
	t := in.Start.Task
	s := c.share(c.rules.Classify(t.Labels))
	c.free--
	c.running[t.ID] = running{share: s, since: c.now, charge: c.charge(s)}
	c.emit(Run{Entry: in.Entry, Task: t})
}

// charge charges s the mean slot time and returns the charge in ns at weight 1.
func (c *Core) charge(s *share) float64 {
	s.start = max(s.start, c.virtual-idleLead)
	c.virtual = max(c.virtual, s.start)
	cost := max(s.mean, minCharge) / float64(s.weight)
	s.start += cost
	return cost
}

// finished frees the slot of a task and replaces the estimated charge by the
// measured one.
func (c *Core) finished(id string) {
	r, ok := c.running[id]
	if !ok {
		panic("share: task " + id + " finished, but was not running")
	}
	delete(c.running, id)
	c.free++
	s := r.share
	took := float64(c.now.Sub(r.since))
	s.start = max(c.virtual-idleLead, s.start+max(took, minCharge)/float64(s.weight)-r.charge)
	if s.mean == 0 {
		s.mean = took
	}
	s.mean += meanStep * (took - s.mean)
}

func (c *Core) demanded(in Demanded) {
	for _, w := range in.Demand.Wants {
		s := c.shares[w.Share]
		if s == nil {
			if len(c.shares) >= maxShares {
				continue
			}
			s = c.share(c.rules.Rule(w.Share))
		}
		s.want(in.Entry, min(max(w.Count, 0), maxWant), w.Urgency, c.virtual)
	}
}

func (c *Core) returned(in Returned) {
	i := slices.IndexFunc(c.grants, func(g grant) bool { return g.id == in.Return.ID && g.entry == in.Entry })
	if i < 0 {
		return
	}
	s := c.grants[i].share
	c.takeBack(i)
	s.forget(in.Entry)
}

func (c *Core) cancelled(in Cancelled) {
	i := slices.IndexFunc(c.buffer, func(w waiting) bool { return w.start.Start.Task.ID == in.ID && w.start.Entry == in.Entry })
	if i < 0 {
		return
	}
	c.buffer = slices.Delete(c.buffer, i, i+1)
	c.emit(Refuse{Entry: in.Entry, ID: in.ID, NotRun: model.NotRun{Reason: "cancelled", Code: model.CodeCancelled}})
}

// gone takes back the grants of an entry and drops its demand.
func (c *Core) gone(entry string) {
	for i := len(c.grants) - 1; i >= 0; i-- {
		if c.grants[i].entry == entry {
			c.takeBack(i)
		}
	}
	for _, s := range c.ordered {
		s.forget(entry)
	}
}

// leave refuses the buffered starts and drops all demand.
func (c *Core) leave() {
	c.leaving = true
	for _, w := range c.buffer {
		c.busy(w.start)
	}
	c.buffer = nil
	for _, s := range c.ordered {
		s.credits, s.next = nil, 0
	}
}

// configured applies the weights of a newer configuration, and removes the shares
// that have neither demand nor a start time ahead of the virtual time.
func (c *Core) configured(r *rules.Set) {
	if r.Version() <= c.rules.Version() {
		return
	}
	c.rules = r
	for _, s := range c.ordered {
		s.weight = r.Rule(s.name).Weight
	}
	c.ordered = slices.DeleteFunc(c.ordered, func(s *share) bool {
		idle := len(s.credits) == 0 && s.start <= c.virtual
		if idle {
			delete(c.shares, s.name)
		}
		return idle
	})
}

// handOut gives the free slots to the buffered starts, then to the shares with demand.
func (c *Core) handOut() {
	for c.free > 0 && len(c.buffer) > 0 {
		in := c.buffer[0].start
		c.buffer = slices.Delete(c.buffer, 0, 1)
		c.run(in)
	}
	for c.free > 0 && !c.leaving {
		s := c.pick()
		if s == nil {
			return
		}
		k := s.take()
		c.lastID++
		c.free--
		g := grant{id: c.lastID, entry: k.entry, share: s, until: c.now.Add(c.set.GrantTime), charge: c.charge(s)}
		c.grants = append(c.grants, g)
		w := Grant{Entry: k.entry}
		w.Grant.ID, w.Grant.Share, w.Grant.TimeLeft = g.id, s.name, c.set.GrantTime
		c.emit(w)
	}
}

// pick returns the share that is served next, or nil when none has demand.
func (c *Core) pick() *share {
	var best *share
	var bestStart float64
	for _, s := range c.ordered {
		if len(s.credits) == 0 {
			continue
		}
		u := s.urgency()
		start := s.start - float64(u)*float64(queue.UrgencyLead)
		if c.set.Strict {
			start = -float64(u)
		}
		if best == nil || start < bestStart {
			best, bestStart = s, start
		}
	}
	return best
}

// share returns the share of a rule; a new one starts at the virtual time.
func (c *Core) share(r *rules.Rule) *share {
	s := c.shares[r.Name]
	if s == nil {
		s = &share{name: r.Name, weight: r.Weight, start: c.virtual}
		c.shares[r.Name] = s
		c.ordered = append(c.ordered, s)
	}
	return s
}
