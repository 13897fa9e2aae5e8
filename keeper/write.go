package keeper

import (
	"context"

	"github.com/gravitational/trace"

	"cyclamenrelay.example/disk"
	"cyclamenrelay.example/group"
	"cyclamenrelay.example/meter"
	"cyclamenrelay.example/synced"
)

// writeLoop makes the groups' writes durable, as many at once as can be merged
// into one synced batch. It returns when the disk fails.
func (k *Keeper) writeLoop(ctx context.Context) error {
	var w *group.Write
	for {
		if w == nil {
			select {
			case <-ctx.Done():
				return nil
			case w = <-k.writes:
			}
		}
		b, next, last := disk.Batch{}, (*group.Write)(nil), uint64(0)
		for w != nil && next == nil {
			if !synced.Merge(b, w) {
				next = w
				break
			}
			last = w.Seq
			select {
			case w = <-k.writes:
			default:
				w = nil
			}
		}
		began := k.opts.Clock.Now()
		if err := k.store.Write(b); err != nil {
			return trace.Wrap(err)
		}
		meter.Synced(k.opts.Clock.Since(began))
		if err := k.compact(b); err != nil {
			return trace.Wrap(err)
		}
		k.input(group.Synced{Seq: last})
		w = next
	}
}

// compact drops the entries that a durable snapshot covers.
func (k *Keeper) compact(b disk.Batch) error {
	for g, u := range b {
		if u.Snapshot == nil {
			continue
		}
		if err := k.store.Compact(g, u.Snapshot.Index); err != nil {
			return err
		}
	}
	return nil
}
