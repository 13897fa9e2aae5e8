package keeper

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"cyclamenrelay.example/group"
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/rlog"
	"cyclamenrelay.example/state"
	"cyclamenrelay.example/wire"
)

const (
	// maxStepInputs bounds the inputs of one step.
	maxStepInputs = 1024
	// maxQueuedBatches bounds the batches that wait to be sent to one keeper.
	maxQueuedBatches = 256
	sendTimeout      = time.Second
)

// loop steps the groups until ctx ends or the disk fails. All queued inputs are
// handled in one step, so that they share message batches and one synced write.
func (k *Keeper) loop(ctx context.Context, wg *sync.WaitGroup, failed <-chan error) error {
	tick := k.opts.Clock.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		var inputs []group.Input
		select {
		case <-ctx.Done():
			return nil
		case err := <-failed:
			if ctx.Err() != nil {
				return nil
			}
			return trace.Wrap(err, "cannot write the data folder")
		case <-tick.Chan():
			inputs = append(inputs, group.Tick{})
		case in := <-k.inputs:
			inputs = k.appendInput(inputs, in)
		}
		for more := true; more && len(inputs) < maxStepInputs; {
			select {
			case in := <-k.inputs:
				inputs = k.appendInput(inputs, in)
			default:
				more = false
			}
		}
		k.handleOutput(ctx, wg, k.host.Step(k.now(), inputs...))
	}
}

func (k *Keeper) now() time.Duration { return k.opts.Clock.Since(k.start) }

// appendInput appends the group input that in stands for, if any. A loopFunc is
// called instead.
func (k *Keeper) appendInput(inputs []group.Input, in any) []group.Input {
	switch in := in.(type) {
	case group.Input:
		return append(inputs, in)
	case request:
		return append(inputs, k.register(in))
	case loopFunc:
		in()
	}
	return inputs
}

func (k *Keeper) handleOutput(ctx context.Context, wg *sync.WaitGroup, out group.Output) {
	if out.Write != nil {
		k.writes <- out.Write
	}
	for _, b := range out.Batches {
		k.send(ctx, wg, b)
	}
	for _, e := range out.Events {
		k.handleEffect(k.groups[e.Group], e.Effect)
	}
}

func (k *Keeper) handleEffect(r *replica, e rlog.Effect) {
	switch e := e.(type) {
	case rlog.Apply:
		r.apply(e)
		if r.id == 0 {
			k.configApplied(r)
		}
	case rlog.InstallSnapshot:
		if err := r.machine.Restore(e.Snapshot.Data); err != nil {
			panic("keeper: a snapshot of the leader cannot be restored: " + err.Error())
		}
		r.applied = e.Snapshot.Index
		if r.id == 0 {
			k.configApplied(r)
		}
	case rlog.ReadReady:
		r.answerReads(e.IDs)
	case rlog.Dropped:
		r.rejectDropped(e)
	case rlog.SnapshotWanted:
		k.input(group.ReplicaInput{Group: r.id, Input: rlog.SnapshotTaken{Index: r.applied, Data: r.machine.Snapshot()}})
	case rlog.RoleChanged:
		k.opts.Log.Info("role changed", zap.Uint64("group", r.id), zap.Uint8("role", uint8(e.Role)),
			zap.Uint64("term", e.Term), zap.String("leader", e.Leader.Name))
	}
}

// configApplied notes a new version of the configuration, and wakes the requests that wait
// for one.
func (k *Keeper) configApplied(r *replica) {
	if v := r.machine.(*state.Config).Version(); v != k.configVersion {
		k.configVersion, k.configAppliedAt = v, k.now()
		k.opts.Log.Info("configuration applied", zap.Uint64("version", v))
	}
	k.notifyConfigWatchers()
}

func (k *Keeper) notifyConfigWatchers() {
	k.mu.Lock()
	defer k.mu.Unlock()
	close(k.configChanged)
	k.configChanged = make(chan struct{})
}

// send queues a batch for another keeper, and drops it when the queue is full.
func (k *Keeper) send(ctx context.Context, wg *sync.WaitGroup, b wire.RaftBatch) {
	k.mu.Lock()
	c := k.sendQueues[b.To.Name]
	if c == nil {
		c = make(chan wire.RaftBatch, maxQueuedBatches)
		k.sendQueues[b.To.Name] = c
		wg.Go(func() { k.sendLoop(ctx, b.To.Name, c) })
	}
	k.mu.Unlock()
	select {
	case c <- b:
	default:
	}
}

func (k *Keeper) sendLoop(ctx context.Context, name string, c <-chan wire.RaftBatch) {
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-c:
			addr, ok := k.address(name)
			if !ok {
				continue
			}
			sctx, cancel := context.WithTimeout(ctx, sendTimeout)
			if err := k.node.Post(sctx, link.Dest{Address: addr, Role: keys.Keeper}, b); err != nil {
				k.opts.Log.Debug("batch not sent", zap.String("keeper", name), zap.Error(err))
			}
			cancel()
		}
	}
}

// address returns the address of a keeper: as announced to this one, or else as other
// keepers list it or as configured for the initial keepers.
func (k *Keeper) address(name string) (string, bool) {
	if n, ok := k.table.Find(name); ok {
		return n.Address, true
	}
	for _, n := range k.finder.Nodes(keys.Keeper) {
		if n.Name == name {
			return n.Address, true
		}
	}
	for _, f := range k.opts.InitialMembers {
		if f.Name == name {
			return f.Address, true
		}
	}
	return "", false
}

// receiveBatch handles Raft messages of another keeper.
func (k *Keeper) receiveBatch(_ context.Context, p link.Peer, m wire.RaftBatch) wire.Message {
	if m.From.Name != p.Name {
		return wire.Refused{Reason: "the sender's name does not match its certificate"}
	}
	k.input(group.Receive{Batch: m})
	return wire.Done{}
}
