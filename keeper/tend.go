package keeper

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"cyclamenrelay.example/group"
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/ledger"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/repair"
	"cyclamenrelay.example/rlog"
	"cyclamenrelay.example/state"
)

const (
	tendInterval   = 250 * time.Millisecond
	expireInterval = 30 * time.Second
)

// tend starts an empty cluster, and as a leader brings the membership to what
// the configuration says and has old records dropped.
func (k *Keeper) tend(ctx context.Context) {
	expired := k.opts.Clock.Now()
	for ctx.Err() == nil {
		if len(k.opts.First) > 0 {
			k.bootstrap(ctx)
		}
		live := k.liveReplicas()
		k.look(func() {
			decided := k.decided()
			for g, r := range k.groups {
				st := r.node.Status()
				if st.Role != rlog.Leader {
					continue
				}
				decided := decided
				if k.opts.AutoMembers {
					decided = repair.Automatic(st, live, k.away.Absent(st.Members, live, k.opts.Clock.Now()))
				}
				if c, ok := repair.Next(st, decided, live); ok {
					k.opts.Log.Info("membership changes", zap.Uint64("group", g), zap.String("keeper", c.Member.ID.Name),
						zap.Uint64("replica", c.Member.ID.Incarnation), zap.Bool("voter", c.Member.Voter), zap.Bool("remove", c.Remove))
					k.lastID++
					c.ID = k.lastID
					k.input(group.To{Group: g, Input: c})
				}
			}
		})
		if k.opts.Clock.Since(expired) >= expireInterval {
			expired = k.opts.Clock.Now()
			k.expire(ctx)
		}
		select {
		case <-ctx.Done():
		case <-k.opts.Clock.After(tendInterval):
		}
	}
}

// liveReplicas returns the replicas that are alive, by keeper.
func (k *Keeper) liveReplicas() map[string]rlog.ID {
	live := map[string]rlog.ID{k.self.Name: k.self}
	for _, n := range slices.Concat(k.table.Live(), k.finder.Nodes(keys.Keeper)) {
		if n.Replica != 0 && n.Name != k.self.Name {
			live[n.Name] = rlog.ID{Name: n.Name, Incarnation: n.Replica}
		}
	}
	return live
}

// decided returns for each keeper that operators have decided on whether it
// shall be a member. The others stay what they are.
func (k *Keeper) decided() map[string]bool {
	c := k.groups[0].machine.(*state.Config)
	if c.Version() == k.decidedAt {
		return k.members
	}
	if k.members == nil {
		k.members = map[string]bool{}
	}
	for _, i := range c.Since(k.decidedAt).Items {
		if i.Key.Section == model.SectionMember {
			k.members[i.Key.Name] = i.Value != nil
		}
	}
	k.decidedAt = c.Version()
	return k.members
}

// expire has the ledger groups that this keeper leads drop old records.
func (k *Keeper) expire(ctx context.Context) {
	var led []uint64
	k.look(func() {
		for g, r := range k.groups {
			if g != 0 && r.node.Status().Role == rlog.Leader {
				led = append(led, g)
			}
		}
	})
	for _, g := range led {
		u, ok := k.ledgerUsage(ctx, g)
		if ok && u.Limits.Finished != k.opts.Retention {
			u.Limits.Finished = k.opts.Retention
			k.command(ctx, g, ledger.SetLimits{Limits: u.Limits})
		}
		k.command(ctx, g, ledger.Expire{})
	}
}

func (k *Keeper) ledgerUsage(ctx context.Context, g uint64) (ledger.Usage, bool) {
	r := k.request(ctx, request{group: g, query: ledger.Queries.MustEncode(ledger.GetUsage{}), reply: make(chan reply, 1)})
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
	k.request(ctx, request{group: g, command: ledger.Commands.MustEncode(c), reply: make(chan reply, 1)})
}
