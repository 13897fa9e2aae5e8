package raft

import (
	"cyclamenrelay.example/rlog"
	"cyclamenrelay.example/wire"
)

// onAppend merges the leader's entries if the log matches before them. The
// acknowledgement is sent once they are synced.
func (n *Node) onAppend(from rlog.ID, b wire.RaftAppend) {
	if !rlog.WellFormed(b, n.hard.Term) {
		return
	}
	end := b.PrevIndex + uint64(len(b.Entries))
	if commit := n.hard.Commit; b.PrevIndex < commit {
		// Committed entries are the same in the log of every later leader, so
		// they need no comparison.
		if end <= commit {
			n.sendAfterSync(from, wire.RaftAppendAnswer{Index: commit}, n.writer.Seq())
			return
		}
		b.Entries = b.Entries[commit-b.PrevIndex:]
		b.PrevIndex = commit
		b.PrevTerm, _ = n.log.Term(commit)
	}
	if t, ok := n.log.Term(b.PrevIndex); !ok || t != b.PrevTerm {
		a := wire.RaftAppendAnswer{Index: b.PrevIndex, Reject: true, Hint: n.log.Hint(b, n.hard.Commit)}
		n.sendAfterSync(from, a, n.writer.HardSeq())
		return
	}
	n.mergeEntries(b.Entries)
	n.verified = max(n.verified, end)
	n.commitTo(min(b.Commit, n.verified))
	n.sendAfterSync(from, wire.RaftAppendAnswer{Index: end}, n.writer.Seq())
}

// mergeEntries appends the entries that the log lacks. From the first entry that
// conflicts, the log's own entries are replaced.
func (n *Node) mergeEntries(entries []rlog.Entry) {
	for i, e := range entries {
		t, ok := n.log.Term(e.Index)
		if ok && t == e.Term {
			continue
		}
		if ok {
			n.truncateLog(e.Index)
		}
		n.appendEntries(entries[i:])
		return
	}
}

func (n *Node) truncateLog(from uint64) {
	rlog.Invariant(from > n.hard.Commit, "conflict at entry %d, but entries up to %d are committed", from, n.hard.Commit)
	rlog.Invariant(from > n.verified, "conflict at entry %d, but entries up to %d are verified", from, n.verified)
	n.log.Truncate(from)
	n.members = n.members.Truncate(from)
	n.writer.MarkTruncate(from)
}

func (n *Node) appendEntries(entries []rlog.Entry) {
	n.log.Append(entries...)
	for _, e := range entries {
		n.members = n.members.With(e)
	}
	n.writer.MarkAppend(entries[0].Index)
}

func (n *Node) onHeartbeat(from rlog.ID, b wire.RaftHeartbeat) {
	n.commitTo(min(b.Commit, n.verified))
	n.adoptFreshness(b)
	a := wire.RaftHeartbeatAnswer{Seq: b.Seq, Verified: n.verified, Epoch: n.epoch, Sent: n.now}
	n.sendAfterSync(from, a, n.writer.HardSeq())
}

// partialSnapshot is a snapshot of which not all chunks have been received.
type partialSnapshot struct {
	index uint64
	data  []byte
}

func (n *Node) onSnapshot(from rlog.ID, b wire.RaftSnapshot) {
	if b.Index <= n.hard.Commit {
		n.sendAfterSync(from, wire.RaftSnapshotAnswer{Index: b.Index, Done: true}, n.writer.Seq())
		return
	}
	if b.Total > n.cfg.MaxSnapshotBytes || b.Offset+uint64(len(b.Data)) > b.Total || len(b.Members) == 0 {
		return
	}
	if n.incomingSnapshot.index != b.Index {
		n.incomingSnapshot = partialSnapshot{index: b.Index}
	}
	if b.Offset == uint64(len(n.incomingSnapshot.data)) {
		n.incomingSnapshot.data = append(n.incomingSnapshot.data, b.Data...)
	}
	got := uint64(len(n.incomingSnapshot.data))
	if got < b.Total {
		n.send(from, wire.RaftSnapshotAnswer{Index: b.Index, Offset: got})
		return
	}
	n.installSnapshot(rlog.Snapshot{Index: b.Index, Term: b.Term, Members: b.Members, Data: n.incomingSnapshot.data})
	n.incomingSnapshot = partialSnapshot{}
	n.sendAfterSync(from, wire.RaftSnapshotAnswer{Index: b.Index, Done: true}, n.writer.Seq())
}

// installSnapshot replaces the log and the state machine's state by a snapshot of the
// leader, unless the log already holds the snapshot's last entry.
func (n *Node) installSnapshot(s rlog.Snapshot) {
	n.verified = max(n.verified, s.Index)
	if t, ok := n.log.Term(s.Index); ok && t == s.Term {
		// The log holds the entries already. Those after the snapshot stay,
		// because this replica may have acknowledged them.
		n.commitTo(s.Index)
		return
	}
	n.applyCommitted()
	n.writer.MarkTruncate(n.log.Base() + 1)
	n.log = rlog.NewLog(s.Index, s.Term)
	n.members = rlog.NewMemberLog(s.Index, s.Members)
	n.snap, n.snapshotRequested, n.bytesSinceSnapshot = s, false, 0
	n.writer.MarkSnapshot(s)
	n.commitTo(s.Index)
	n.applied = n.hard.Commit
	n.events = append(n.events, rlog.InstallSnapshot{Snapshot: s})
}

// onCompacted takes over a snapshot of the local state machine, and drops the
// entries that it covers but for the last KeepEntries.
func (n *Node) onCompacted(c rlog.SnapshotTaken) {
	rlog.Invariant(c.Index <= n.applied, "the snapshot covers entry %d, applied are those up to %d", c.Index, n.applied)
	n.snapshotRequested = false
	if c.Index <= n.snap.Index {
		return
	}
	t, _ := n.log.Term(c.Index)
	n.snap = rlog.Snapshot{Index: c.Index, Term: t, Members: n.members.At(c.Index), Data: c.Data}
	n.bytesSinceSnapshot = 0
	n.writer.MarkSnapshot(n.snap)
	// A follower that is being sent an older snapshot needs the entries after it.
	keep := min(c.Index, n.leadership.peers.Installed(n.now-n.cfg.ElectionTimeout))
	if keep > n.cfg.KeepEntries {
		n.log.Compact(keep - n.cfg.KeepEntries)
		n.members = n.members.Compact(n.log.Base())
	}
}
