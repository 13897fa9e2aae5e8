package agree

import (
	"cyclamenrelay.example/wire"
)

func (n *Node) onAppend(from ID, b wire.AgreeAppend) {
	if !wellFormed(b, n.hard.Term) {
		return
	}
	end := b.PrevIndex + uint64(len(b.Entries))
	if commit := n.hard.Commit; b.PrevIndex < commit {
		// The committed prefix is that of every later leader.
		if end <= commit {
			n.promise(from, wire.AgreeAppendAnswer{Index: commit}, n.writer.seq())
			return
		}
		b.Entries = b.Entries[commit-b.PrevIndex:]
		b.PrevIndex = commit
		b.PrevTerm, _ = n.log.term(commit)
	}
	if t, ok := n.log.term(b.PrevIndex); !ok || t != b.PrevTerm {
		a := wire.AgreeAppendAnswer{Index: b.PrevIndex, Reject: true, Hint: n.hint(b)}
		n.promise(from, a, n.writer.hardSeq)
		return
	}
	n.merge(b.Entries)
	n.verified = max(n.verified, end)
	n.commitTo(min(b.Commit, n.verified))
	n.promise(from, wire.AgreeAppendAnswer{Index: end}, n.writer.seq())
}

// wellFormed reports whether the entries follow the previous one in order.
func wellFormed(b wire.AgreeAppend, term uint64) bool {
	last := b.PrevTerm
	for i := range b.Entries {
		e := &b.Entries[i]
		if e.Index != b.PrevIndex+1+uint64(i) || e.Term < last || e.Term > term {
			return false
		}
		last = e.Term
	}
	return true
}

// hint returns the highest index at which the leader's log may match.
func (n *Node) hint(b wire.AgreeAppend) uint64 {
	i := min(n.log.last(), b.PrevIndex-1)
	for i > n.hard.Commit {
		if t, _ := n.log.term(i); t <= b.PrevTerm {
			break
		}
		i--
	}
	return i
}

// merge appends the entries that the log does not have; a conflict replaces the tail.
func (n *Node) merge(entries []Entry) {
	for i, e := range entries {
		t, ok := n.log.term(e.Index)
		if ok && t == e.Term {
			continue
		}
		if ok {
			n.truncate(e.Index)
		}
		n.appendEntries(entries[i:])
		return
	}
}

func (n *Node) truncate(from uint64) {
	invariant(from > n.hard.Commit, "entry %d conflicts, committed is %d", from, n.hard.Commit)
	invariant(from > n.verified, "entry %d conflicts, verified is %d", from, n.verified)
	n.log.truncate(from)
	n.members = n.members.truncate(from)
	n.writer.markTruncate(from)
}

func (n *Node) appendEntries(entries []Entry) {
	invariant(entries[0].Index == n.log.last()+1, "entry %d does not follow %d", entries[0].Index, n.log.last())
	n.log.entries = append(n.log.entries, entries...)
	for _, e := range entries {
		n.members = n.members.with(e)
	}
	n.writer.markAppend(entries[0].Index)
}

func (n *Node) onHeartbeat(from ID, b wire.AgreeHeartbeat) {
	n.commitTo(min(b.Commit, n.verified))
	n.learnFreshness(b)
	a := wire.AgreeHeartbeatAnswer{Seq: b.Seq, Verified: n.verified, Epoch: n.epoch, Sent: n.now}
	n.promise(from, a, n.writer.hardSeq)
}

// partialSnapshot is a snapshot of which not all chunks have come.
type partialSnapshot struct {
	index uint64
	data  []byte
}

func (n *Node) onSnapshot(from ID, b wire.AgreeSnapshot) {
	if b.Index <= n.hard.Commit {
		n.promise(from, wire.AgreeSnapshotAnswer{Index: b.Index, Done: true}, n.writer.seq())
		return
	}
	if b.Total > n.cfg.MaxSnapshot || b.Offset+uint64(len(b.Data)) > b.Total || len(b.Members) == 0 {
		return
	}
	if n.partial.index != b.Index {
		n.partial = partialSnapshot{index: b.Index}
	}
	if b.Offset == uint64(len(n.partial.data)) {
		n.partial.data = append(n.partial.data, b.Data...)
	}
	got := uint64(len(n.partial.data))
	if got < b.Total {
		n.send(from, wire.AgreeSnapshotAnswer{Index: b.Index, Offset: got})
		return
	}
	n.install(Snapshot{Index: b.Index, Term: b.Term, Members: b.Members, Data: n.partial.data})
	n.partial = partialSnapshot{}
	n.promise(from, wire.AgreeSnapshotAnswer{Index: b.Index, Done: true}, n.writer.seq())
}

func (n *Node) install(s Snapshot) {
	n.verified = max(n.verified, s.Index)
	if t, ok := n.log.term(s.Index); ok && t == s.Term {
		// The log holds it already; entries after it may have been promised.
		n.commitTo(s.Index)
		return
	}
	n.apply()
	n.writer.markTruncate(n.log.baseIndex + 1)
	n.log = entryLog{baseIndex: s.Index, baseTerm: s.Term}
	n.members = memberLog{{s.Index, s.Members}}
	n.snap, n.snapWanted, n.sinceSnapshot = s, false, 0
	n.writer.markSnapshot(s)
	n.commitTo(s.Index)
	n.applied = n.hard.Commit
	n.events = append(n.events, Install{s})
}

// compacted takes over a snapshot made here, and drops what it covers.
func (n *Node) compacted(c Compacted) {
	invariant(c.Index <= n.applied, "snapshot of %d, applied is %d", c.Index, n.applied)
	n.snapWanted = false
	if c.Index <= n.snap.Index {
		return
	}
	t, _ := n.log.term(c.Index)
	n.snap = Snapshot{Index: c.Index, Term: t, Members: n.members.at(c.Index), Data: c.Data}
	n.sinceSnapshot = 0
	n.writer.markSnapshot(n.snap)
	if c.Index > n.cfg.KeepEntries {
		n.log.compact(c.Index - n.cfg.KeepEntries)
		n.members = n.members.compact(n.log.baseIndex)
	}
}
