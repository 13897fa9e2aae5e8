package keeper

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"cyclamenrelay.example/disk"
	"cyclamenrelay.example/group"
	"cyclamenrelay.example/meter"
	"cyclamenrelay.example/rstore"
)

// slowWrite is the time of a synced write from which on it is logged. Followers start
// an election after it.
const slowWrite = 500 * time.Millisecond

// writeLoop writes the groups' updates to disk, merging as many as possible into
// one synced batch (group commit). It returns the error when the disk fails.
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
		b, next, lastSeq := disk.Batch{}, (*group.Write)(nil), uint64(0)
		for w != nil && next == nil {
			if !rstore.AddWrite(b, w) {
				next = w
				break
			}
			lastSeq = w.Seq
			select {
			case w = <-k.writes:
			default:
				w = nil
			}
		}
		start := k.opts.Clock.Now()
		if err := k.store.Write(b); err != nil {
			return trace.Wrap(err)
		}
		took := k.opts.Clock.Since(start)
		meter.ObserveSync(took)
		if took >= slowWrite {
			k.opts.Log.Warn("slow write to the data folder", zap.Duration("took", took))
		}
		if err := k.compact(b); err != nil {
			return trace.Wrap(err)
		}
		k.input(group.Synced{Seq: lastSeq})
		w = next
	}
}

// compact drops the log entries that a durable snapshot covers.
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
