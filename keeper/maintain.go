package keeper

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cyclamenrelay.example/group"
	"cyclamenrelay.example/ledger"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/repair"
	"cyclamenrelay.example/rlog"
	"cyclamenrelay.example/state"
)

const (
	maintainInterval = 250 * time.Millisecond
	expireInterval   = 30 * time.Second
)

// maintain bootstraps a new cluster, and for the groups that this keeper leads
// reconciles the membership with the desired one and expires old records.
func (k *Keeper) maintain(ctx context.Context) {
	lastExpiry := k.opts.Clock.Now()
	for ctx.Err() == nil {
		if k.mayBootstrap() {
			k.bootstrap(ctx)
		}
		live := k.liveKeepers()
		k.runInLoop(func() {
			configured := k.desiredMembers()
			for g, r := range k.groups {
				st := r.node.Status()
				r.monitor.Observe(st)
				if st.Role != rlog.Leader {
					continue
				}
				if k.opts.AutoMembers {
					k.decide(r, st, live)
				} else if c, ok := repair.NextChange(st, configured, replicasOf(live)); ok {
					k.changeMember(g, c)
				}
			}
		})
		if k.opts.Clock.Since(lastExpiry) >= expireInterval {
			lastExpiry = k.opts.Clock.Now()
			k.expire(ctx)
		}
		select {
		case <-ctx.Done():
		case <-k.opts.Clock.After(maintainInterval):
		}
	}
}

// decide carries out the automatic decision on the members of a group, and logs why
// none of the changes that are due is possible.
func (k *Keeper) decide(r *replica, st rlog.Status, live []repair.Announced) {
	reason := ""
	switch d := r.members.Next(k.opts.Clock.Now(), st, live).(type) {
	case repair.Change:
		k.changeMember(r.id, d.ChangeMember)
	case repair.Wait:
		reason = d.Reason
	case repair.Settled:
	}
	if reason != r.waitsFor {
		r.waitsFor = reason
		if reason != "" {
			k.opts.Log.Info("membership change waits", zap.Uint64("group", r.id), zap.String("reason", reason))
		}
	}
}

func (k *Keeper) changeMember(g uint64, c rlog.ChangeMember) {
	k.opts.Log.Info("membership changes", zap.Uint64("group", g), zap.String("keeper", c.Member.ID.Name),
		zap.Uint64("replica", c.Member.ID.Incarnation), zap.Bool("voter", c.Member.Voter), zap.Bool("remove", c.Remove))
	k.lastRequestID++
	c.ID = k.lastRequestID
	k.input(group.ReplicaInput{Group: g, Input: c})
}

// liveKeepers returns the keepers that have announced themselves to this one. The
// lists of other keepers are left out: they name a keeper for longer than its lease
// after its loss, and a lost replica beside the one that has replaced it.
func (k *Keeper) liveKeepers() []repair.Announced {
	live := []repair.Announced{{ID: k.self, DataCentre: k.finder.Self().DataCentre}}
	for _, a := range k.table.Announcements() {
		if n := a.Node; n.Replica != 0 && n.Name != k.self.Name {
			live = append(live, repair.Announced{ID: rlog.ID{Name: n.Name, Incarnation: n.Replica}, Leaving: n.Leaving, Age: a.Age, DataCentre: n.DataCentre})
		}
	}
	return live
}

// replicasOf returns the replica IDs of the keepers, by name.
func replicasOf(keepers []repair.Announced) map[string]rlog.ID {
	out := map[string]rlog.ID{}
	for _, a := range keepers {
		out[a.ID.Name] = a.ID
	}
	return out
}

// desiredMembers returns, for each keeper with a member item in the
// configuration, whether it shall be a member. All other keepers stay as they
// are.
func (k *Keeper) desiredMembers() map[string]bool {
	c := k.groups[0].machine.(*state.Config)
	if c.Version() == k.desiredVersion {
		return k.desired
	}
	if k.desired == nil {
		k.desired = map[string]bool{}
	}
	for _, i := range c.Since(k.desiredVersion).Items {
		if i.Key.Section == model.SectionMember {
			k.desired[i.Key.Name] = i.Value != nil
		}
	}
	k.desiredVersion = c.Version()
	return k.desired
}

// expire sets the retention of the ledger groups that this keeper leads, and has
// them drop the records past it.
func (k *Keeper) expire(ctx context.Context) {
	var ledGroups []uint64
	k.runInLoop(func() {
		for g, r := range k.groups {
			if g != 0 && r.node.Status().Role == rlog.Leader {
				ledGroups = append(ledGroups, g)
			}
		}
	})
	for _, g := range ledGroups {
		u, ok := k.ledgerUsage(ctx, g)
		if ok && u.Limits.Finished != k.opts.Retention {
			u.Limits.Finished = k.opts.Retention
			k.command(ctx, g, ledger.SetLimits{Limits: u.Limits})
		}
		k.command(ctx, g, ledger.Expire{})
	}
}

func (k *Keeper) ledgerUsage(ctx context.Context, g uint64) (ledger.Usage, bool) {
	r := k.submit(ctx, request{group: g, query: ledger.Queries.MustEncode(ledger.GetUsage{}), reply: make(chan reply, 1)})
	if r.refused != nil {
		return ledger.Usage{}, false
	}
	a, err := ledger.Results.Decode(r.result)
	if err != nil {
		return ledger.Usage{}, false
	}
	u, ok := a.(ledger.Usage)
	return u, ok
}

func (k *Keeper) command(ctx context.Context, g uint64, c ledger.Command) {
	k.submit(ctx, request{group: g, command: ledger.Commands.MustEncode(c), reply: make(chan reply, 1)})
}
