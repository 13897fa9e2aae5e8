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
	"cyclamenrelay.example/wire"
)

const (
	// maxTurn bounds the inputs of one turn.
	maxTurn = 1024
	// maxQueued bounds the batches that wait to be sent to one keeper.
	maxQueued   = 256
	sendTimeout = time.Second
)

// loop steps the groups until ctx ends or the disk fails. All inputs that wait
// make one turn, so that they share messages and a synced write.
func (k *Keeper) loop(ctx context.Context, wg *sync.WaitGroup, failed <-chan error) error {
	tick := k.opts.Clock.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		var turn []group.Input
		select {
		case <-ctx.Done():
			return nil
		case err := <-failed:
			if ctx.Err() != nil {
				return nil
			}
			return trace.Wrap(err, "the data folder cannot be written")
		case <-tick.Chan():
			turn = append(turn, group.Tick{})
		case in := <-k.inputs:
			turn = k.take(turn, in)
		}
		for more := true; more && len(turn) < maxTurn; {
			select {
			case in := <-k.inputs:
				turn = k.take(turn, in)
			default:
				more = false
			}
		}
		k.do(ctx, wg, k.host.Step(k.now(), turn...))
	}
}

func (k *Keeper) now() time.Duration { return k.opts.Clock.Since(k.start) }

// take turns an input of the process into one of the groups.
func (k *Keeper) take(turn []group.Input, in any) []group.Input {
	switch in := in.(type) {
	case group.Input:
		return append(turn, in)
	case request:
		return append(turn, k.admit(in))
	case look:
		in()
	}
	return turn
}

func (k *Keeper) do(ctx context.Context, wg *sync.WaitGroup, out group.Output) {
	if out.Write != nil {
		k.writes <- out.Write
	}
	for _, b := range out.Batches {
		k.send(ctx, wg, b)
	}
	for _, e := range out.Events {
		k.event(k.groups[e.Group], e.Effect)
	}
}

func (k *Keeper) event(r *replica, e rlog.Effect) {
	switch e := e.(type) {
	case rlog.Apply:
		r.apply(e)
		if r.id == 0 {
			k.announceChange()
		}
	case rlog.Install:
		if err := r.machine.Restore(e.Snapshot.Data); err != nil {
			panic("keeper: a snapshot of the leader cannot be restored: " + err.Error())
		}
		r.applied = e.Snapshot.Index
		if r.id == 0 {
			k.announceChange()
		}
	case rlog.ReadReady:
		r.answerReads(e.IDs)
	case rlog.Dropped:
		r.drop(e)
	case rlog.SnapshotWanted:
		k.input(group.To{Group: r.id, Input: rlog.Compacted{Index: r.applied, Data: r.machine.Snapshot()}})
	case rlog.RoleChanged:
		k.opts.Log.Info("role changed", zap.Uint64("group", r.id), zap.Uint8("role", uint8(e.Role)),
			zap.Uint64("term", e.Term), zap.String("leader", e.Leader.Name))
	}
}

func (k *Keeper) announceChange() {
	k.mu.Lock()
	defer k.mu.Unlock()
	close(k.changed)
	k.changed = make(chan struct{})
}

// send queues a batch for another keeper; it is lost when too many wait.
func (k *Keeper) send(ctx context.Context, wg *sync.WaitGroup, b wire.AgreeBatch) {
	k.mu.Lock()
	c := k.peers[b.To.Name]
	if c == nil {
		c = make(chan wire.AgreeBatch, maxQueued)
		k.peers[b.To.Name] = c
		wg.Go(func() { k.sendLoop(ctx, b.To.Name, c) })
	}
	k.mu.Unlock()
	select {
	case c <- b:
	default:
	}
}

func (k *Keeper) sendLoop(ctx context.Context, name string, c <-chan wire.AgreeBatch) {
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
			if err := k.node.Post(sctx, link.To{Address: addr, Role: keys.Keeper}, b); err != nil {
				k.opts.Log.Debug("batch not sent", zap.String("keeper", name), zap.Error(err))
			}
			cancel()
		}
	}
}

// address returns where a keeper is reached.
func (k *Keeper) address(name string) (string, bool) {
	for _, n := range k.finder.Nodes(keys.Keeper) {
		if n.Name == name {
			return n.Address, true
		}
	}
	for _, f := range k.opts.First {
		if f.Name == name {
			return f.Address, true
		}
	}
	return "", false
}

// batch takes messages of another keeper's groups.
func (k *Keeper) batch(_ context.Context, p link.Peer, m wire.AgreeBatch) wire.Message {
	if m.From.Name != p.Name {
		return wire.Refused{Reason: "the sender's name is not the certificate's"}
	}
	k.input(group.Receive{Batch: m})
	return wire.Done{}
}
