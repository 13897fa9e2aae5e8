package keeper

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cyclamenrelay.example/disk"
	"cyclamenrelay.example/repair"
	"cyclamenrelay.example/rlog"
	"cyclamenrelay.example/rstore"
	"cyclamenrelay.example/wire"
)

const bootstrapCallTimeout = time.Second

// mayBootstrap reports whether this is an initial keeper and one of its groups has no
// state yet.
func (k *Keeper) mayBootstrap() bool {
	if len(k.opts.InitialMembers) == 0 {
		return false
	}
	missing := false
	k.runInLoop(func() {
		for _, r := range k.groups {
			st := r.node.Status()
			missing = missing || len(st.Members) == 0 && st.Last == 0
		}
	})
	return missing
}

// bootstrap initialises the groups of a new cluster. All initial keepers must
// answer, and either none of them has any state, or one has just bootstrapped
// the cluster with this replica as a member. A keeper that lost its data folder
// is in no membership, so it never bootstraps a group: it waits to be added.
func (k *Keeper) bootstrap(ctx context.Context) {
	states, allAnswered := k.queryInitialKeepers(ctx)
	if !allAnswered {
		return
	}
	k.runInLoop(func() {
		batch := disk.Batch{}
		for g, r := range k.groups {
			st := r.node.Status()
			if len(st.Members) > 0 || st.Last > 0 {
				continue
			}
			members := repair.InitialMembers(k.self, g, states)
			if members == nil {
				continue
			}
			s := rlog.Bootstrap(members, r.machine.Snapshot())
			batch[uint32(g)] = disk.Update{
				Snapshot: rstore.DiskSnapshot(s.Snapshot),
				Hard:     &disk.HardState{Term: s.Hard.Term, Commit: s.Hard.Commit},
			}
			defer k.mustAddReplica(g, s)
		}
		if len(batch) == 0 {
			return
		}
		// Bypasses writeLoop: a replica without state has no other writes.
		if err := k.store.Write(batch); err != nil {
			panic("keeper: cannot write the bootstrap state: " + err.Error())
		}
		k.opts.Log.Info("groups bootstrapped", zap.Int("groups", len(batch)))
	})
}

func (k *Keeper) mustAddReplica(g uint64, s rlog.StoredState) {
	if err := k.addReplica(g, s); err != nil {
		panic("keeper: cannot load the bootstrap state: " + err.Error())
	}
}

// queryInitialKeepers returns the states of the other initial keepers, and
// whether all of them answered.
func (k *Keeper) queryInitialKeepers(ctx context.Context) (states []wire.KeeperState, allAnswered bool) {
	others := map[string]string{}
	for _, f := range k.opts.InitialMembers {
		if f.Name != k.self.Name {
			others[f.Name] = f.Address
		}
	}
	states = k.queryKeepers(ctx, others, bootstrapCallTimeout)
	return states, len(states) == len(others)
}
