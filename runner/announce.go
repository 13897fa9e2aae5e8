package runner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cyclamenrelay.example/lease"
	"cyclamenrelay.example/meter"
	"cyclamenrelay.example/pace"
)

// confirmTimeout bounds the wait until a target answers at the address that it has
// announced. Its platform counts an announcement without a response after 1 s as lost.
const confirmTimeout = 700 * time.Millisecond

// Announcement is what became of a target's announcement.
type Announcement string

// The results of an announcement.
const (
	// Taken means that the announcement is in effect.
	Taken Announcement = "taken"
	// Late means that the announcement is not newer than the last one, or from an earlier
	// instance than the target in use.
	Late Announcement = "late"
	// Contradicted means that the process at the announced address is not the announced
	// instance, or that the target in use has announced another pool: another writer sent
	// the announcement.
	Contradicted Announcement = "contradicted"
	// Unconfirmed means that nothing has answered at the announced address in time.
	Unconfirmed Announcement = "unconfirmed"
)

// HandleAnnouncement processes a target's announcement of itself. An announcement may come
// from anyone, so it proves nothing: another instance takes the place of the target in
// use only after it has answered at its address.
func (p *Runner) HandleAnnouncement(t Target) Announcement {
	p.mu.Lock()
	result := p.update(t)
	p.mu.Unlock()
	if result == Unconfirmed {
		var c confirmation
		if c, result = p.confirm(t); result == Taken {
			result = p.adopt(t, c)
		}
	}
	if result != Taken {
		meter.IgnoredAnnouncements(string(result)).Inc()
		p.opts.Log.Info("announcement ignored", zap.String("target", t.ID), zap.String("reason", string(result)),
			zap.String("pool", t.Pool), zap.String("address", t.Address), zap.Int64("startedAt", t.StartedAt), zap.Int64("seq", t.Seq))
	}
	return result
}

// update applies an announcement of the target in use, and returns Unconfirmed for one of
// another instance or address. Nothing can confirm a pool, so that another one has to be
// announced twice in a row. The caller holds mu.
func (p *Runner) update(t Target) Announcement {
	ts := p.target
	if ts == nil {
		return Unconfirmed
	}
	if ts.ID == t.ID && (ts.StartedAt == 0 || t.StartedAt == 0) { // a missing start time does not tell two instances apart
		t.StartedAt = ts.StartedAt
	}
	same := ts.ID == t.ID && ts.StartedAt == t.StartedAt
	switch {
	case same && t.Seq <= ts.Seq || !same && t.StartedAt < ts.StartedAt:
		return Late
	case !same || t.Address != ts.Address:
		return Unconfirmed
	case t.Pool != ts.Pool && t.Pool != ts.announcedPool:
		ts.announcedPool = t.Pool
		return Contradicted
	}
	p.apply(ts, t)
	return Taken
}

// apply puts an announcement of the target in use into effect. The caller holds mu.
func (p *Runner) apply(ts *targetState, t Target) {
	openChanged := ts.Open != t.Open
	ts.Target, ts.announcedPool, ts.warmAt = t, "", p.opts.Clock.Now().Add(t.Cold)
	if t.Open { // the leave that retired the target was not its own
		ts.retired = false
	}
	p.updateScheduler()
	if openChanged {
		p.opts.Log.Info("target changed", zap.String("target", t.ID), zap.Bool("open", t.Open))
	}
}

// confirmation is the answer of a target instance at the address that it has announced.
type confirmation struct {
	startedAt int64         // Target.StartedAt, 0 when the answer does not contain it
	clock     time.Duration // the target's clock, 0 when the answer does not contain it
	fence     uint64        // a fencing token that the target accepts
}

// confirm asks the announced instance at its address whether it is there, until it answers
// or confirmTimeout has passed. The question renews no lease and acknowledges no ended run.
func (p *Runner) confirm(t Target) (confirmation, Announcement) {
	deadline := p.opts.Clock.Now().Add(confirmTimeout)
	p.mu.Lock()
	fence := p.knownFence(t.ID)
	p.mu.Unlock()
	for {
		ctx, cancel := context.WithTimeout(context.Background(), pace.ResponseTimes{}.Timeout())
		l, err := p.opts.Driver.Renew(ctx, t, Renewal{Fence: fence})
		cancel()
		if err == nil {
			switch l.Verdict {
			case Accepted:
				return confirmation{l.StartedAt, l.Clock, fence}, p.checkConfirmation(t, l)
			case Replaced:
				return confirmation{}, Contradicted
			case Fenced:
				fence = max(fence+1, initialFence(l.Clock))
			}
		}
		if p.opts.Clock.Now().After(deadline) {
			return confirmation{}, Unconfirmed
		}
		p.opts.Clock.Sleep(retryDelay)
	}
}

// checkConfirmation compares an announcement with the listing that the process at the
// announced address has sent after it.
func (p *Runner) checkConfirmation(t Target, l Listing) Announcement {
	p.mu.Lock()
	sameID := p.target != nil && p.target.ID == t.ID
	p.mu.Unlock()
	switch {
	case otherInstance(l.StartedAt, t.StartedAt):
		return Contradicted
	case l.StartedAt == 0 && sameID:
		return Unconfirmed // the answer does not tell the two instances apart
	case l.Clock != 0 && t.Clock > l.Clock:
		return Contradicted // the clock of an instance never goes back
	}
	return Taken
}

// adopt makes a confirmed instance the target in use.
func (p *Runner) adopt(t Target, c confirmation) Announcement {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.startedAt != 0 {
		t.StartedAt = c.startedAt
	}
	if result := p.update(t); result != Unconfirmed { // another announcement was faster
		return result
	}
	if ts := p.target; ts != nil {
		if ts.ID == t.ID && ts.StartedAt == t.StartedAt {
			p.apply(ts, t)
			return Taken
		}
		p.replaceTarget(ts, t)
	}
	clock := c.clock
	if clock == 0 {
		clock = t.Clock
	}
	p.opts.Log.Info("target arrived", zap.String("target", t.ID), zap.String("pool", t.Pool), zap.String("address", t.Address),
		zap.Int64("cpu", t.Capacity.CPU), zap.Int64("memory", t.Capacity.Memory), zap.Bool("open", t.Open))
	p.target = &targetState{
		Target: t, warmAt: p.opts.Clock.Now().Add(t.Cold), lease: lease.Lease{}.WithClock(clock, p.opts.Clock.Now()), fence: max(c.fence, initialFence(clock)), reachable: true,
	}
	p.updateScheduler()
	close(p.targetArrived)
	p.targetArrived = make(chan struct{})
	return Taken
}
