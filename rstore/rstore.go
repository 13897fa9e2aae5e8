// Package rstore converts between the Raft core's types and those of the disk
// store: writes of Raft groups into batches for the store, and a stored state into
// the one that a Raft replica starts from.
package rstore

import (
	"strconv"
	"strings"

	"github.com/gravitational/trace"

	"cyclamenrelay.example/disk"
	"cyclamenrelay.example/group"
	"cyclamenrelay.example/rlog"
	"cyclamenrelay.example/wire"
)

// AddWrite adds the write w to the batch. It returns false, and leaves the batch as
// it is, when w cannot share the batch and must be written after it: when it has
// a snapshot or a truncation for a group of the batch, or entries that do not
// continue the group's.
func AddWrite(b disk.Batch, w *group.Write) bool {
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
			u.Snapshot = DiskSnapshot(*s)
			if u.Truncate != 0 {
				// The snapshot replaces the log up to its index, so that only
				// entries after it are left to truncate.
				u.Truncate = max(u.Truncate, s.Index+1)
			}
		}
		for _, e := range p.Persist.Entries {
			u.Entries = append(u.Entries, disk.Entry{Index: e.Index, Term: e.Term, Kind: e.Kind, Data: e.Data})
		}
		h := p.Persist.Hard
		u.Hard = &disk.HardState{Term: h.Term, Vote: formatVote(h.Vote), Commit: h.Commit}
		b[uint32(p.Group)] = u
	}
	return true
}

// DiskSnapshot returns s in the form of the disk store.
func DiskSnapshot(s rlog.Snapshot) *disk.Snapshot {
	m, err := wire.MarshalValue(s.Members)
	if err != nil {
		panic("rstore: encoding the membership: " + err.Error())
	}
	return &disk.Snapshot{Index: s.Index, Term: s.Term, Members: m, Data: s.Data}
}

// formatVote returns the stored form of a vote: NAME#INCARNATION, or empty for none.
func formatVote(id rlog.ID) string {
	if id == (rlog.ID{}) {
		return ""
	}
	return id.Name + "#" + strconv.FormatUint(id.Incarnation, 10)
}

// parseVote reads what formatVote wrote.
func parseVote(s string) (rlog.ID, error) {
	if s == "" {
		return rlog.ID{}, nil
	}
	name, inc, ok := strings.Cut(s, "#")
	n, err := strconv.ParseUint(inc, 10, 64)
	if !ok || err != nil {
		return rlog.ID{}, trace.BadParameter("stored vote %q is not of the form NAME#INCARNATION", s)
	}
	return rlog.ID{Name: name, Incarnation: n}, nil
}

// ReplicaState returns the state that a Raft replica starts from, given the group's state
// on disk. The error is a trace.BadParameter when the vote or the membership cannot
// be decoded.
func ReplicaState(l disk.GroupState) (s rlog.StoredState, err error) {
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
