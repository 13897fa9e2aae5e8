package keeper

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"cyclamenrelay.example/disk"
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/repair"
	"cyclamenrelay.example/rlog"
	"cyclamenrelay.example/synced"
	"cyclamenrelay.example/wire"
)

const askTimeout = time.Second

// bootstrap starts the groups of an empty cluster, once every first keeper is
// there and either none of them holds anything, or one has just started the
// cluster with this replica as a member. A keeper that lost its folder is in
// no membership, so that it never starts anything: it waits to be added.
func (k *Keeper) bootstrap(ctx context.Context) {
	states, all := k.askFirst(ctx)
	if !all {
		return
	}
	k.look(func() {
		batch := disk.Batch{}
		for g, r := range k.groups {
			st := r.node.Status()
			if len(st.Members) > 0 || st.Last > 0 {
				continue
			}
			members := repair.First(k.self, g, states)
			if members == nil {
				continue
			}
			s := rlog.Bootstrap(members, r.machine.Snapshot())
			batch[uint32(g)] = disk.Update{
				Snapshot: synced.Snapshot(s.Snapshot),
				Hard:     &disk.Hard{Term: s.Hard.Term, Commit: s.Hard.Commit},
			}
			defer k.mustAdd(g, s)
		}
		if len(batch) == 0 {
			return
		}
		// Nothing else can be written for replicas that hold nothing.
		if err := k.store.Write(batch); err != nil {
			panic("keeper: the first state cannot be written: " + err.Error())
		}
		k.opts.Log.Info("groups started", zap.Int("groups", len(batch)))
	})
}

func (k *Keeper) mustAdd(g uint64, s rlog.Stored) {
	if err := k.add(g, s); err != nil {
		panic("keeper: the first state cannot be restored: " + err.Error())
	}
}

// askFirst asks the other first keepers, and reports whether all have answered.
func (k *Keeper) askFirst(ctx context.Context) (states []wire.KeeperState, all bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, f := range k.opts.First {
		if f.Name == k.self.Name {
			continue
		}
		wg.Go(func() {
			a, err := k.node.Call(ctx, link.To{Address: f.Address, Role: keys.Keeper}, wire.AskKeeper{})
			s, ok := a.(wire.KeeperState)
			if err != nil || !ok || s.Self.Name != f.Name {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			states = append(states, s)
		})
	}
	wg.Wait()
	return states, len(states) == len(k.opts.First)-1
}
