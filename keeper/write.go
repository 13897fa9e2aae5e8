package keeper

import (
	"context"
	"strconv"
	"strings"

	"github.com/gravitational/trace"

	"cyclamenrelay.example/disk"
	"cyclamenrelay.example/group"
	"cyclamenrelay.example/meter"
	"cyclamenrelay.example/rlog"
	"cyclamenrelay.example/wire"
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
			if !merge(b, w) {
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

// merge adds a write to the batch, or reports false when it must follow it.
func merge(b disk.Batch, w *group.Write) bool {
	for _, p := range w.Parts {
		u, ok := b[uint32(p.Group)]
		if ok && (p.Persist.Snapshot != nil || p.Persist.Truncate != 0) {
			return false
		}
		if n := len(u.Entries); n > 0 && len(p.Persist.Entries) > 0 && p.Persist.Entries[0].Index != u.Entries[n-1].Index+1 {
			return false
		}
	}
	for _, p := range w.Parts {
		u := b[uint32(p.Group)]
		if p.Persist.Truncate != 0 {
			u.Truncate = p.Persist.Truncate
		}
		if s := p.Persist.Snapshot; s != nil {
			u.Snapshot = diskSnapshot(*s)
			if u.Truncate != 0 {
				// The log that a leader's snapshot replaces is gone with it.
				u.Truncate = max(u.Truncate, s.Index+1)
			}
		}
		for _, e := range p.Persist.Entries {
			u.Entries = append(u.Entries, disk.Entry{Index: e.Index, Term: e.Term, Kind: e.Kind, Data: e.Data})
		}
		h := p.Persist.Hard
		u.Hard = &disk.Hard{Term: h.Term, Vote: voteText(h.Vote), Commit: h.Commit}
		b[uint32(p.Group)] = u
	}
	return true
}

func diskSnapshot(s rlog.Snapshot) *disk.Snapshot {
	m, err := wire.MarshalValue(s.Members)
	if err != nil {
		panic("keeper: membership cannot be encoded: " + err.Error())
	}
	return &disk.Snapshot{Index: s.Index, Term: s.Term, Members: m, Data: s.Data}
}

func voteText(id rlog.ID) string {
	if id == (rlog.ID{}) {
		return ""
	}
	return id.Name + "#" + strconv.FormatUint(id.Incarnation, 10)
}

func parseVote(s string) (rlog.ID, error) {
	if s == "" {
		return rlog.ID{}, nil
	}
	name, inc, ok := strings.Cut(s, "#")
	n, err := strconv.ParseUint(inc, 10, 64)
	if !ok || err != nil {
		return rlog.ID{}, trace.BadParameter("vote %q cannot be read", s)
	}
	return rlog.ID{Name: name, Incarnation: n}, nil
}

// storedOf returns a group's state as the log core takes it.
func storedOf(l disk.Loaded) (s rlog.Stored, err error) {
	s.Hard = rlog.HardState{Term: l.Hard.Term, Commit: l.Hard.Commit}
	if s.Hard.Vote, err = parseVote(l.Hard.Vote); err != nil {
		return s, err
	}
	if l.Snapshot != nil {
		s.Snapshot = rlog.Snapshot{Index: l.Snapshot.Index, Term: l.Snapshot.Term, Data: l.Snapshot.Data}
		if err := wire.UnmarshalValue(l.Snapshot.Members, &s.Snapshot.Members); err != nil {
			return s, err
		}
	}
	for _, e := range l.Entries {
		s.Entries = append(s.Entries, rlog.Entry{Index: e.Index, Term: e.Term, Kind: e.Kind, Data: e.Data})
	}
	return s, nil
}
