package agent

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/rules"
	"cyclamenrelay.example/share"
	"cyclamenrelay.example/wire"
)

const (
	// slotInterval is the maximum interval between two updates of the slots.
	slotInterval = 100 * time.Millisecond
	grantTimeout = time.Second
)

// step passes an input to the core, which schedules the target's slots, and carries
// out the effects that the core returns.
func (a *Agent) step(in share.Input) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stepLocked(in)
}

// stepLocked is step with mu held.
func (a *Agent) stepLocked(in share.Input) {
	for _, e := range a.core.Step(a.opts.Clock.Now(), in) {
		switch e := e.(type) {
		case share.Run:
			a.decide(e.Task.ID, nil)
		case share.Refuse:
			a.decide(e.ID, &e.NotRun)
		case share.Grant:
			go a.sendGrant(e.Entry, e.Grant)
		}
	}
	select {
	case a.coreStepped <- struct{}{}:
	default:
	}
}

// decide passes the core's decision to the start that waits for it: nil when the task
// has a slot, or else the refusal. It is called with mu held.
func (a *Agent) decide(id string, refusal *model.NotRun) {
	a.undecided[id] <- refusal
	delete(a.undecided, id)
}

// sendGrant sends a grant to the entry. When the entry is not known any more, the
// core drops its demand and grants.
func (a *Agent) sendGrant(entry string, g wire.Grant) {
	ctx, cancel := context.WithTimeout(context.Background(), grantTimeout)
	defer cancel()
	n, ok := a.findEntry(entry)
	if !ok {
		a.step(share.EntryLost{Entry: entry})
		return
	}
	if err := a.node.Post(ctx, link.Dest{Address: n.Address, Role: keys.Entry}, g); err != nil {
		a.opts.Log.Debug("grant not sent", zap.String("entry", entry), zap.Error(err))
	}
}

// findEntry returns the node of the entry with the name.
func (a *Agent) findEntry(name string) (wire.Node, bool) {
	for _, n := range a.finder.Nodes(keys.Entry) {
		if n.Name == name {
			return n, true
		}
	}
	return wire.Node{}, false
}

// handleDemand handles wire.Demand, an entry's backlog.
func (a *Agent) handleDemand(_ context.Context, p link.Peer, m wire.Demand) wire.Message {
	a.step(share.Demanded{Entry: p.Name, Demand: m})
	return wire.Done{}
}

// handleReturn handles wire.ReturnGrant, a grant that an entry does not use.
func (a *Agent) handleReturn(_ context.Context, p link.Peer, m wire.ReturnGrant) wire.Message {
	a.step(share.Returned{Entry: p.Name, Return: m})
	return wire.Done{}
}

// free returns the number of the target's free slots.
func (a *Agent) free() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.core.Free()
}

// Slots returns how many slots the target offers now, and how many of them run a
// task.
func (a *Agent) Slots() (offered, running int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.slots, a.core.Running()
}

// slotLoop passes changes of the slots and of the configuration, and the passing
// of time, to the core.
func (a *Agent) slotLoop(ctx context.Context) {
	changed := a.opts.View.Changed()
	for ctx.Err() == nil {
		a.updateSlots()
		a.withdrawIfEvacuated()
		select {
		case <-ctx.Done():
		case <-a.coreStepped:
		case <-changed:
			changed = a.opts.View.Changed()
			cfg := a.opts.View.Config()
			a.mu.Lock()
			a.stepLocked(share.Configured{Rules: a.compiledRules(cfg)})
			a.mu.Unlock()
		case <-a.opts.Clock.After(a.tickDelay()):
			a.step(share.Tick{})
		}
	}
}

// tickDelay returns the time until the core needs a tick, at most slotInterval.
func (a *Agent) tickDelay() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at := a.core.NextTick(); !at.IsZero() {
		return min(at.Sub(a.opts.Clock.Now()), slotInterval)
	}
	return slotInterval
}

// updateSlots tells the core how many slots the target offers now: none while the
// target has no valid lease or is drained, while the configuration is not fresh, or
// once the agent shuts down.
func (a *Agent) updateSlots() {
	n := 0
	if l, refusal := a.usableLease(); refusal == nil {
		n = l.target.Slots
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if n != a.slots {
		a.slots = n
		a.stepLocked(share.Resized{Slots: n})
	}
}

// compiledRules returns cfg compiled, from the cache unless its version is new. It is
// called with mu held.
func (a *Agent) compiledRules(cfg model.Config) *rules.Set {
	if a.ruleSet.Version() != cfg.Version() {
		a.ruleSet, _ = rules.Compile(cfg)
	}
	return a.ruleSet
}

// targetDrained reports whether operators drain the target. The result is cached,
// since targetDrained is called for each start and after each step. The caller holds
// mu, and there is a target.
func (a *Agent) targetDrained(cfg model.Config) bool {
	if set := a.compiledRules(cfg); a.lastDrain.set != set || a.lastDrain.lease != a.targetLease {
		_, d := set.ApplyOverlays(a.targetLease.target)
		a.lastDrain = drainDecision{set, a.targetLease, d}
	}
	return a.lastDrain.drained
}

// drainDecision caches whether a rule set drains the target of a lease.
type drainDecision struct {
	set     *rules.Set
	lease   *lease
	drained bool
}
