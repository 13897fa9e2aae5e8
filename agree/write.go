package agree

// writer collects the changes of a step into one Persist, and holds the
// messages that promise what is not synced yet.
type writer struct {
	issued, synced uint64
	stable         uint64 // the last synced entry
	dirty          bool
	hardSeq        uint64 // the write that holds the current term and vote
	first          uint64 // the first entry to write, 0 for none
	truncate       uint64
	snapshot       *Snapshot
	writes         []issuedWrite
	held           []heldSend
}

type issuedWrite struct{ seq, last uint64 }

type heldSend struct {
	seq  uint64
	send Send
}

// seq returns the write that holds everything up to now.
func (w *writer) seq() uint64 {
	if w.dirty {
		return w.issued + 1
	}
	return w.issued
}

// markHard notes a new term or vote.
func (w *writer) markHard() {
	w.dirty = true
	w.hardSeq = w.seq()
}

// markAppend notes the entries from first on.
func (w *writer) markAppend(first uint64) {
	w.dirty = true
	if w.first == 0 || first < w.first {
		w.first = first
	}
}

// markTruncate notes that the entries from index on are gone.
func (w *writer) markTruncate(from uint64) {
	w.dirty = true
	if w.first >= from {
		w.first = 0
	}
	if w.truncate == 0 || from < w.truncate {
		w.truncate = from
	}
	w.stable = min(w.stable, from-1)
	for i := range w.writes {
		w.writes[i].last = min(w.writes[i].last, from-1)
	}
}

// markSnapshot notes a new snapshot.
func (w *writer) markSnapshot(s Snapshot) {
	w.dirty = true
	w.snapshot = &s
}

// next returns the write that is due, false when there is none.
func (w *writer) next(hard HardState, log *entryLog) (Persist, bool) {
	if !w.dirty {
		return Persist{}, false
	}
	w.issued++
	p := Persist{Seq: w.issued, Hard: hard, Snapshot: w.snapshot, Truncate: w.truncate}
	if w.first != 0 {
		p.Entries = log.slice(max(w.first, log.baseIndex+1), log.last())
	}
	w.writes = append(w.writes, issuedWrite{w.issued, log.last()})
	w.dirty, w.first, w.truncate, w.snapshot = false, 0, 0, nil
	return p, true
}

func (n *Node) persisted(seq uint64) {
	w := &n.writer
	invariant(seq <= w.issued, "write %d is reported, %d were issued", seq, w.issued)
	w.synced = max(w.synced, seq)
	done := 0
	for ; done < len(w.writes) && w.writes[done].seq <= seq; done++ {
		w.stable = w.writes[done].last
	}
	w.writes = append(w.writes[:0], w.writes[done:]...)
	kept := w.held[:0]
	for _, h := range w.held {
		switch {
		case h.seq > seq:
			kept = append(kept, h)
		case h.send.Term == n.hard.Term:
			n.sends = append(n.sends, h.send)
		}
	}
	clear(w.held[len(kept):])
	w.held = kept
	if n.role == Candidate && n.ownVote <= w.synced {
		n.votes[n.cfg.ID] = true
		n.countVotes()
	}
}
