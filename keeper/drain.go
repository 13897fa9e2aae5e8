package keeper

import (
	"context"
	"slices"
	"time"

	"cyclamenrelay.example/group"
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/repair"
	"cyclamenrelay.example/rlog"
	"cyclamenrelay.example/wire"
)

const (
	drainPollInterval = 100 * time.Millisecond
	stateCallTimeout  = 250 * time.Millisecond
)

// Drain implements kernel.Drainer: it transfers the leadership of all groups to
// other keepers, as long as one of them is alive and not leaving. With automatic
// members it then waits until the leaders have replaced this keeper as a voter,
// where they can: the groups would miss it otherwise until they take it for lost.
// ctx bounds that: a keeper that ends between the promotion of its successor and its
// own removal leaves a group of even size one voter short.
func (k *Keeper) Drain(ctx context.Context) {
	k.mu.Lock()
	k.draining = true
	k.mu.Unlock()
	k.finder.Leave()
	k.pollUntil(ctx, func() bool { return k.transferLeadership() == 0 || len(k.otherKeepers()) == 0 })
	if k.opts.AutoMembers {
		k.pollUntil(ctx, func() bool {
			others := k.otherKeepers()
			return !repair.AwaitsReplacement(k.self, len(others), k.queryKeepers(ctx, others, stateCallTimeout), k.opts.Limits)
		})
		if ctx.Err() != nil {
			k.opts.Log.Warn("keeper stops before it was replaced as a voter")
		}
	}
}

// pollUntil calls done every drainPollInterval until it returns true or ctx ends.
func (k *Keeper) pollUntil(ctx context.Context, done func() bool) {
	for ctx.Err() == nil && !done() {
		select {
		case <-ctx.Done():
		case <-k.loopEnded:
			return
		case <-k.opts.Clock.After(drainPollInterval):
		}
	}
}

// transferLeadership starts to transfer the leadership of the groups that this keeper
// leads, and returns their number.
func (k *Keeper) transferLeadership() int {
	ledGroups := 0
	k.runInLoop(func() {
		for g, r := range k.groups {
			if s := r.node.Status(); s.Role == rlog.Leader && s.Members.Voters() > 1 {
				ledGroups++
				k.input(group.ReplicaInput{Group: g, Input: rlog.TransferLeadership{}})
			}
		}
	})
	return ledGroups
}

// otherKeepers returns the addresses of the other keepers that are alive and not
// shutting down, by name.
func (k *Keeper) otherKeepers() map[string]string {
	out := map[string]string{}
	for _, n := range k.table.Live() {
		if n.Name != k.self.Name && !n.Leaving && slices.Contains(n.Roles, string(keys.Keeper)) {
			out[n.Name] = n.Address
		}
	}
	return out
}

// queryKeepers returns the states of the keepers that answer in time.
func (k *Keeper) queryKeepers(ctx context.Context, addresses map[string]string, timeout time.Duration) []wire.KeeperState {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answers := make(chan *wire.KeeperState, len(addresses))
	for name, addr := range addresses {
		go func() {
			a, err := k.node.Call(ctx, link.Dest{Address: addr, Role: keys.Keeper}, wire.GetKeeperState{})
			s, ok := a.(wire.KeeperState)
			if err != nil || !ok || s.Self.Name != name {
				answers <- nil
				return
			}
			answers <- &s
		}()
	}
	var states []wire.KeeperState
	for range addresses {
		select {
		case s := <-answers:
			if s != nil {
				states = append(states, *s)
			}
		// A call to an address without a connection can outlast its own time-out.
		case <-ctx.Done():
			return states
		}
	}
	return states
}
