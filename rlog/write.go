package rlog

// WriteCollector collects the changes of a step into one Persist, and holds back the
// messages that depend on changes that are not synced yet.
type WriteCollector struct {
	issuedSeq, syncedSeq uint64 // sequence numbers of the newest writes
	syncedIndex          uint64 // index of the last synced entry
	dirty                bool   // there are changes for the next write
	hardSeq              uint64 // the write that holds the current term and vote
	firstEntry           uint64 // index of the first entry to write, 0 for none
	truncateFrom         uint64 // index from which on stored entries are removed, 0 for none
	snapshot             *Snapshot
	unsynced             []issuedWrite // the writes that are not synced, oldest first
	heldBack             []heldSend
}

// issuedWrite is a write after which last is the index of the last stored entry.
type issuedWrite struct{ seq, last uint64 }

// heldSend is a message that must not be sent before the write seq is synced.
type heldSend struct {
	seq  uint64
	send Send
}

// Seq returns the sequence number of the write that holds all changes so far; it
// may be the one to come.
func (w *WriteCollector) Seq() uint64 {
	if w.dirty {
		return w.issuedSeq + 1
	}
	return w.issuedSeq
}

// MarkHard notes that the term or the vote has changed.
func (w *WriteCollector) MarkHard() {
	w.dirty = true
	w.hardSeq = w.Seq()
}

// MarkAppend notes that the entries from index first on were appended.
func (w *WriteCollector) MarkAppend(first uint64) {
	w.dirty = true
	if w.firstEntry == 0 || first < w.firstEntry {
		w.firstEntry = first
	}
}

// MarkTruncate notes that the entries from index from on were dropped.
func (w *WriteCollector) MarkTruncate(from uint64) {
	w.dirty = true
	if w.firstEntry >= from {
		w.firstEntry = 0
	}
	if w.truncateFrom == 0 || from < w.truncateFrom {
		w.truncateFrom = from
	}
	w.syncedIndex = min(w.syncedIndex, from-1)
	for i := range w.unsynced {
		w.unsynced[i].last = min(w.unsynced[i].last, from-1)
	}
}

// MarkSnapshot notes that s is the newest snapshot.
func (w *WriteCollector) MarkSnapshot(s Snapshot) {
	w.dirty = true
	w.snapshot = &s
}

// TakeWrite returns the write with the changes since the last call, false when there
// are none.
func (w *WriteCollector) TakeWrite(hard HardState, log *Log) (Persist, bool) {
	if !w.dirty {
		return Persist{}, false
	}
	w.issuedSeq++
	p := Persist{Seq: w.issuedSeq, Hard: hard, Snapshot: w.snapshot, Truncate: w.truncateFrom}
	if w.firstEntry != 0 {
		p.Entries = log.Slice(max(w.firstEntry, log.baseIndex+1), log.Last())
	}
	w.unsynced = append(w.unsynced, issuedWrite{w.issuedSeq, log.Last()})
	w.dirty, w.firstEntry, w.truncateFrom, w.snapshot = false, 0, 0, nil
	return p, true
}

// HardSeq returns the sequence number of the write that holds the current term
// and vote.
func (w *WriteCollector) HardSeq() uint64 { return w.hardSeq }

// Synced returns the sequence number of the newest write that is synced.
func (w *WriteCollector) Synced() uint64 { return w.syncedSeq }

// SyncedIndex returns the index of the last synced entry.
func (w *WriteCollector) SyncedIndex() uint64 { return w.syncedIndex }

// NewWriter returns the writer for a log whose entries up to index stable are
// synced.
func NewWriter(stable uint64) WriteCollector { return WriteCollector{syncedIndex: stable} }

// Hold holds back a message until the write seq is synced.
func (w *WriteCollector) Hold(seq uint64, s Send) { w.heldBack = append(w.heldBack, heldSend{seq, s}) }

// Persisted notes that the writes up to seq are synced. It returns the messages
// that were held back for them, and discards those that are not of the term.
func (w *WriteCollector) Persisted(seq, term uint64) []Send {
	if seq > w.issuedSeq {
		InvariantBroken("write %d is reported as synced, the last issued is %d", seq, w.issuedSeq)
	}
	w.syncedSeq = max(w.syncedSeq, seq)
	done := 0
	for ; done < len(w.unsynced) && w.unsynced[done].seq <= seq; done++ {
		w.syncedIndex = w.unsynced[done].last
	}
	w.unsynced = append(w.unsynced[:0], w.unsynced[done:]...)
	var released []Send
	kept := w.heldBack[:0]
	for _, h := range w.heldBack {
		switch {
		case h.seq > seq:
			kept = append(kept, h)
		case h.send.Term == term:
			released = append(released, h.send)
		}
	}
	clear(w.heldBack[len(kept):])
	w.heldBack = kept
	return released
}
