package share

import (
	"fmt"
	"slices"
	"time"

	"cyclamenrelay.example/evac"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/queue"
	"cyclamenrelay.example/rules"
)

// Bounds on the demand of entries.
const (
	maxDemand = 1024 // slots that one entry may ask for, for one share
	maxShares = 4096 // shares that are kept
)

// minCharge is the least service time, in ns, that a task is charged, so that
// tasks that take no time are not free.
const minCharge = float64(time.Millisecond)

// maxCatchUp is how much unused service time, in ns at weight 1, a share may catch up.
const maxCatchUp = float64(2 * time.Second)

// meanStep is the weight of the newest sample in the mean slot time of a share.
const meanStep = 0.05

// Core is the slot scheduler of one agent. It is not safe for concurrent use: one
// goroutine owns it, calls Step for each event, carries out the effects in their
// order, and passes a Tick when the time of NextTick is reached.
type Core struct {
	settings    Settings
	rules       *rules.Set
	free        int
	leaving     bool
	running     map[string]runningTask
	grants      []grant // not used yet, the oldest first
	shares      map[string]*share
	shareList   []*share // in the order of their first use
	buffer      []bufferedStart
	virtual     float64 // virtual time, in ns at weight 1
	lastGrantID uint64
	now         time.Time
	effects     []Effect
}

// runningTask is a runningTask task.
type runningTask struct {
	share   *share
	started time.Time
	charge  float64 // estimated charge to the share, in ns at weight 1
}

// grant is a slot that is reserved for an entry.
type grant struct {
	id      uint64
	entry   string
	share   *share
	expires time.Time
	charge  float64 // refunded when the grant ends
}

// bufferedStart is a start that waits for a free slot.
type bufferedStart struct {
	start   Start
	expires time.Time
}

// New returns a core whose slots are all free.
func New(s Settings, r *rules.Set) *Core {
	return &Core{
		settings: s, rules: r, free: s.Slots,
		running: map[string]runningTask{}, shares: map[string]*share{},
	}
}

// Free returns the slots that are neither running nor granted, at least 0.
func (c *Core) Free() int { return max(c.free, 0) }

// Virtual returns the virtual time in nanoseconds at weight 1; it never decreases.
func (c *Core) Virtual() float64 { return c.virtual }

// Running returns the number of running tasks.
func (c *Core) Running() int { return len(c.running) }

// NextTick returns the time at which the next Tick is to be passed to Step, or zero for none.
func (c *Core) NextTick() time.Time {
	var at time.Time
	if len(c.grants) > 0 {
		at = c.grants[0].expires
	}
	if len(c.buffer) > 0 && c.settings.BufferTime > 0 && (at.IsZero() || c.buffer[0].expires.Before(at)) {
		at = c.buffer[0].expires
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
	clear(c.effects)
	c.effects = c.effects[:0]
	c.expire()
	switch in := in.(type) {
	case Start:
		c.onStart(in)
	case Finished:
		c.onFinished(in.ID)
	case Demanded:
		c.onDemanded(in)
	case Returned:
		c.onReturned(in)
	case Cancelled:
		c.onCancelled(in)
	case EntryLost:
		c.onGone(in.Entry)
	case Configured:
		c.onConfigured(in.Rules)
	case Resized:
		c.free += in.Slots - c.settings.Slots
		c.settings.Slots = in.Slots
	case Drain:
		c.onLeave()
	case Withdraw:
		c.onWithdraw()
	case Tick:
	default:
		panic(fmt.Sprintf("share: unknown input %T", in))
	}
	c.assignSlots()
	if len(c.running)+len(c.grants)+c.free != c.settings.Slots {
		panic(fmt.Sprintf("share: %d running + %d granted + %d free slots, want %d in all",
			len(c.running), len(c.grants), c.free, c.settings.Slots))
	}
	if c.virtual < virtual {
		panic("share: the virtual time decreased")
	}
	return c.effects
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// expire takes back the expired grants, with the demand of their entries for the
// share, and refuses the buffered starts that have waited for BufferTime.
func (c *Core) expire() {
	for len(c.grants) > 0 && !c.grants[0].expires.After(c.now) {
		g := c.grants[0]
		c.releaseGrant(0)
		g.share.dropDemand(g.entry)
	}
	for len(c.buffer) > 0 && c.settings.BufferTime > 0 && !c.buffer[0].expires.After(c.now) {
		c.refuseBusy(c.buffer[0].start)
		c.buffer = slices.Delete(c.buffer, 0, 1)
	}
}

// releaseGrant frees the slot of the i-th grant and refunds its share.
func (c *Core) releaseGrant(i int) {
	g := c.grants[i]
	c.grants = slices.Delete(c.grants, i, i+1)
	c.free++
	g.share.start = max(c.virtual-maxCatchUp, g.share.start-g.charge)
}

// onStart runs a task on the slot granted for it or on a free one, else buffers or
// refuses it.
func (c *Core) onStart(in Start) {
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
		c.releaseGrant(i)
	}
	switch {
	case c.free > 0:
		c.run(in)
	case len(c.buffer) < c.settings.Buffer:
		c.buffer = append(c.buffer, bufferedStart{start: in, expires: c.now.Add(c.settings.BufferTime)})
	default:
		c.refuseBusy(in)
	}
}

// refuseBusy refuses a start because no slot is free.
func (c *Core) refuseBusy(in Start) {
	c.emit(Refuse{Entry: in.Entry, ID: in.Start.Task.ID, NotRun: model.NotRun{
		Reason: "the target has no free slot", Code: model.CodeBusy,
	}})
}

func (c *Core) run(in Start) {
	t := in.Start.Task
	s := c.shareOf(c.rules.Classify(t.Labels))
	c.free--
	c.running[t.ID] = runningTask{share: s, started: c.now, charge: c.charge(s)}
	c.emit(Run{Entry: in.Entry, Task: t})
}

// charge charges s the mean slot time and returns the charge in ns at weight 1.
func (c *Core) charge(s *share) float64 {
	s.start = max(s.start, c.virtual-maxCatchUp)
	c.virtual = max(c.virtual, s.start)
	cost := max(s.mean, minCharge) / float64(s.weight)
	s.start += cost
	return cost
}

// onFinished frees the slot of a task and replaces the estimated charge by the
// measured one.
func (c *Core) onFinished(id string) {
	r, ok := c.running[id]
	if !ok {
		panic("share: task " + id + " finished, but was not running")
	}
	delete(c.running, id)
	c.free++
	s := r.share
	took := float64(c.now.Sub(r.started))
	s.start = max(c.virtual-maxCatchUp, s.start+max(took, minCharge)/float64(s.weight)-r.charge)
	if s.mean == 0 {
		s.mean = took
	}
	s.mean += meanStep * (took - s.mean)
}

// onDemanded sets the demand of an entry, within maxDemand and maxShares.
func (c *Core) onDemanded(in Demanded) {
	for _, w := range in.Demand.Wants {
		s := c.shares[w.Share]
		if s == nil {
			if len(c.shares) >= maxShares {
				continue
			}
			s = c.shareOf(c.rules.Rule(w.Share))
		}
		s.setDemand(in.Entry, min(max(w.Count, 0), maxDemand), w.Urgency, c.virtual)
	}
}

// onReturned takes back a grant and drops the demand of its entry for the share.
func (c *Core) onReturned(in Returned) {
	i := slices.IndexFunc(c.grants, func(g grant) bool { return g.id == in.Return.ID && g.entry == in.Entry })
	if i < 0 {
		return
	}
	s := c.grants[i].share
	c.releaseGrant(i)
	s.dropDemand(in.Entry)
}

// onCancelled refuses a buffered start.
func (c *Core) onCancelled(in Cancelled) {
	i := slices.IndexFunc(c.buffer, func(w bufferedStart) bool { return w.start.Start.Task.ID == in.ID && w.start.Entry == in.Entry })
	if i < 0 {
		return
	}
	c.buffer = slices.Delete(c.buffer, i, i+1)
	c.emit(Refuse{Entry: in.Entry, ID: in.ID, NotRun: model.NotRun{Reason: "cancelled", Code: model.CodeCancelled}})
}

// onGone takes back the grants of an entry and drops its demand.
func (c *Core) onGone(entry string) {
	for i := len(c.grants) - 1; i >= 0; i-- {
		if c.grants[i].entry == entry {
			c.releaseGrant(i)
		}
	}
	for _, s := range c.shareList {
		s.dropDemand(entry)
	}
}

// onLeave refuses the buffered starts and drops all demand.
func (c *Core) onLeave() {
	c.leaving = true
	for _, w := range c.buffer {
		c.refuseBusy(w.start)
	}
	c.buffer = nil
	for _, s := range c.shareList {
		s.demands, s.nextDemand = nil, 0
	}
}

func (c *Core) onWithdraw() {
	for _, w := range c.buffer {
		c.emit(Refuse{Entry: w.start.Entry, ID: w.start.Start.Task.ID, NotRun: model.NotRun{
			Reason: evac.Evacuated.String(), Code: model.CodeLeaving,
		}})
	}
	c.buffer = nil
}

// onConfigured applies the weights of a newer configuration, and removes the shares
// that have neither demand nor a start time ahead of the virtual time.
func (c *Core) onConfigured(r *rules.Set) {
	if r.Version() <= c.rules.Version() {
		return
	}
	c.rules = r
	for _, s := range c.shareList {
		s.weight = r.Rule(s.name).Weight
	}
	c.shareList = slices.DeleteFunc(c.shareList, func(s *share) bool {
		idle := len(s.demands) == 0 && s.start <= c.virtual
		if idle {
			delete(c.shares, s.name)
		}
		return idle
	})
}

// assignSlots gives the free slots to the buffered starts, then to the shares with demand.
func (c *Core) assignSlots() {
	for c.free > 0 && len(c.buffer) > 0 {
		in := c.buffer[0].start
		c.buffer = slices.Delete(c.buffer, 0, 1)
		c.run(in)
	}
	for c.free > 0 && !c.leaving {
		s := c.nextShare()
		if s == nil {
			return
		}
		d := s.takeSlot()
		c.lastGrantID++
		c.free--
		g := grant{id: c.lastGrantID, entry: d.entry, share: s, expires: c.now.Add(c.settings.GrantTime), charge: c.charge(s)}
		c.grants = append(c.grants, g)
		effect := Grant{Entry: d.entry}
		effect.Grant.ID, effect.Grant.Share, effect.Grant.TimeLeft = g.id, s.name, c.settings.GrantTime
		c.emit(effect)
	}
}

// nextShare returns the share that is served next, or nil when none has demand.
func (c *Core) nextShare() *share {
	var best *share
	var bestStart float64
	for _, s := range c.shareList {
		if len(s.demands) == 0 {
			continue
		}
		u := s.urgency()
		start := s.start - float64(u)*float64(queue.UrgencyLead)
		if c.settings.Strict {
			start = -float64(u)
		}
		if best == nil || start < bestStart {
			best, bestStart = s, start
		}
	}
	return best
}

// shareOf returns the share of a rule; a new one starts at the virtual time.
func (c *Core) shareOf(r *rules.Rule) *share {
	s := c.shares[r.Name]
	if s == nil {
		s = &share{name: r.Name, weight: r.Weight, start: c.virtual}
		c.shares[r.Name] = s
		c.shareList = append(c.shareList, s)
	}
	return s
}
