package place

import (
	"cmp"
	"slices"

	"cyclamenrelay.example/model"
	"cyclamenrelay.example/wire"
)

// heard takes over an announcement.
func (c *Core) heard(a wire.Announce) {
	t := c.targets[a.Self.Name]
	if t == nil {
		if a.Target == nil {
			return
		}
		t = &target{name: a.Self.Name, incarnation: a.Self.Incarnation}
		c.targets[t.name] = t
		c.list = append(c.list, t)
	}
	old := t.incarnation
	before, ill := t.info, t.health.probation
	leaving, usable := t.leaving, t.usable
	if !t.announce(c.now, a, c.set.RoundTrip) {
		return
	}
	if ill && !t.health.probation {
		c.ill--
	}
	if old != t.incarnation {
		t.inflight = 0
		c.abandon(func(a attempt) bool { return a.t == t && a.inc != t.incarnation })
	}
	if !usable || leaving != t.leaving || !sameTarget(before, t.info) {
		c.relabel(t)
	}
	c.pump(t)
}

func sameTarget(a, b model.Target) bool {
	if a.Name != b.Name || a.DataCentre != b.DataCentre || len(a.Labels) != len(b.Labels) {
		return false
	}
	for k, v := range a.Labels {
		if w, ok := b.Labels[k]; !ok || v != w {
			return false
		}
	}
	return true
}

// relabel applies the configuration to t and updates the classes that it belongs to.
func (c *Core) relabel(t *target) {
	eff, drained := c.rules.Target(t.info)
	t.labels, t.drained = eff.Labels, drained
	t.usable = !drained && !t.leaving && c.now.Sub(t.heard) <= c.set.Silence
	near := slices.Index(c.set.Near, t.info.DataCentre)
	if near < 0 {
		near = len(c.set.Near)
	}
	if near != t.near {
		usable := t.usable
		t.usable = false
		c.join(t)
		t.usable, t.near = usable, near
	}
	c.join(t)
}

func (c *Core) join(t *target) {
	for _, k := range c.ordered {
		k.update(c.now, t)
	}
}

// silence takes targets without heartbeats out of use and gives up what was started there.
func (c *Core) silence() {
	dead := map[*target]bool{}
	c.list = slices.DeleteFunc(c.list, func(t *target) bool {
		quiet := c.now.Sub(t.heard)
		if t.usable && quiet > c.set.Silence {
			c.relabel(t)
		}
		if quiet > c.set.Silence && t.inflight > 0 {
			dead[t] = true
		}
		old := quiet > forgetAfter && t.inflight == 0
		if old {
			delete(c.targets, t.name)
			if t.health.probation {
				c.ill--
			}
		}
		return old
	})
	if len(dead) > 0 {
		c.abandon(func(a attempt) bool { return dead[a.t] })
	}
}

// abandon gives up the starts that gone selects.
func (c *Core) abandon(gone func(attempt) bool) {
	for _, r := range c.sorted(func(r *request) bool { return slices.ContainsFunc(r.attempts, gone) }) {
		for i := len(r.attempts) - 1; i >= 0; i-- {
			if a := r.attempts[i]; gone(a) {
				c.emit(Cancel{Agent: a.t.name, ID: r.item.ID})
				c.drop(r, i)
				r.tried = append(r.tried, a.t)
			}
		}
		c.again(r, model.Failed{Reason: "the target fell silent", MayHaveRun: true})
	}
}

// pump starts queued work on the free slots of t.
func (c *Core) pump(t *target) {
	if !t.usable || t.health.probation {
		return
	}
	for c.queue.Len() > 0 && t.free > 0 && t.health.allow(c.now, t.inflight) {
		r := c.pop(t, "")
		if r == nil {
			return
		}
		c.start(r, t, 0, r.cause())
	}
}

func (c *Core) pumpAll() {
	if c.queue.Len() == 0 {
		return
	}
	for _, t := range c.list {
		c.pump(t)
	}
}

// pop takes the next queued request that may run on t.
func (c *Core) pop(t *target, share string) *request {
	i := c.queue.Pop(share, func(k *class) bool { return k.member[t] }, c.teamOK)
	if i == nil {
		return nil
	}
	r := c.requests[i.ID]
	r.charged = true
	i.Class.queued--
	c.teams.wait(i.Team, -1)
	c.pace(i.Share).served(c.now, c.queue.ShareLen(i.Share) > 0)
	return r
}

// cause returns why a queued request is started.
func (r *request) cause() Cause {
	switch {
	case r.mayHaveRun:
		return Retry
	case r.bounces > 0:
		return Bounced
	}
	return First
}

// granted uses a reserved slot for the share it was granted to, else for any work, or returns it.
func (c *Core) granted(in Granted) {
	t := c.targets[in.Agent]
	if t == nil {
		return
	}
	var r *request
	if t.usable && t.health.allow(c.now, t.inflight) && !t.health.probation {
		r = c.pop(t, in.Grant.Share)
		if r == nil {
			r = c.pop(t, "")
		}
	}
	c.settle(t, in.Grant.Share, r)
	if r == nil {
		t.free = max(t.free, 0) + 1
		c.emit(GiveBack{Agent: t.name, Return: wire.Return{ID: in.Grant.ID}})
		return
	}
	c.start(r, t, in.Grant.ID, r.cause())
}

// settle takes a grant of the share off what was asked of t. Without work for
// it (nil) the agent forgets the share's demand, and so does the entry.
func (c *Core) settle(t *target, share string, r *request) {
	if r != nil && r.item.Share == share && r.item.Class.took(t) {
		return
	}
	for _, k := range c.ordered {
		if k.key.share != share {
			continue
		}
		if r == nil {
			k.forget(t)
		} else if k.took(t) {
			return
		}
	}
}

// bestFor orders the targets of k by what was asked of them, then by distance.
func (k *class) bestFor(n int) []*target {
	all := make([]*target, 0, k.size)
	for _, ts := range k.near {
		all = append(all, ts...)
	}
	if len(all) > 0 {
		k.cursor = (k.cursor + n) % len(all)
		all = append(all[k.cursor:], all[:k.cursor]...)
	}
	slices.SortStableFunc(all, func(a, b *target) int { return cmp.Compare(k.asked[a], k.asked[b]) })
	return all[:min(n, len(all))]
}
