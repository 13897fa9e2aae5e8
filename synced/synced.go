// Package synced turns the writes of log groups into batches of the disk, and
// what the disk holds into the state that a log core goes on from.
package synced

import (
	"strconv"
	"strings"

	"github.com/gravitational/trace"

	"cyclamenrelay.example/disk"
	"cyclamenrelay.example/group"
	"cyclamenrelay.example/rlog"
	"cyclamenrelay.example/wire"
)

// Merge adds a write to the batch, or reports false when it must follow it.
func Merge(b disk.Batch, w *group.Write) bool {
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
			u.Snapshot = Snapshot(*s)
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

// Snapshot returns a snapshot as the disk takes it.
func Snapshot(s rlog.Snapshot) *disk.Snapshot {
	m, err := wire.MarshalValue(s.Members)
	if err != nil {
		panic("synced: membership cannot be encoded: " + err.Error())
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

// Stored returns a group's state on disk as the log core takes it. The error is a
// trace.BadParameter.
func Stored(l disk.Loaded) (s rlog.Stored, err error) {
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
