package rlog

// Writer collects the changes of a step into one Persist, and holds back the
// messages that depend on changes that are not synced yet.
type Writer struct {
	issued, synced uint64 // sequence numbers of the newest writes
	stable         uint64 // index of the last synced entry
	dirty          bool   // there are changes for the next write
	hardSeq        uint64 // the write that holds the current term and vote
	first          uint64 // index of the first entry to write, 0 for none
	truncate       uint64 // index from which on stored entries are removed, 0 for none
	snapshot       *Snapshot
	writes         []issuedWrite // not synced
	held           []heldSend
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
func (w *Writer) Seq() uint64 {
	if w.dirty {
		return w.issued + 1
	}
	return w.issued
}

// MarkHard notes that the term or the vote has changed.
func (w *Writer) MarkHard() {
	w.dirty = true
	w.hardSeq = w.Seq()
}

// MarkAppend notes that the entries from index first on were appended.
func (w *Writer) MarkAppend(first uint64) {
	w.dirty = true
	if w.first == 0 || first < w.first {
		w.first = first
	}
}

// MarkTruncate notes that the entries from index from on were dropped.
func (w *Writer) MarkTruncate(from uint64) {
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

// MarkSnapshot notes that s is the newest snapshot.
func (w *Writer) MarkSnapshot(s Snapshot) {
	w.dirty = true
	w.snapshot = &s
}

// Next returns the write with the changes since the last call, false when there
// are none.
func (w *Writer) Next(hard HardState, log *Log) (Persist, bool) {
	if !w.dirty {
		return Persist{}, false
	}
	w.issued++
	p := Persist{Seq: w.issued, Hard: hard, Snapshot: w.snapshot, Truncate: w.truncate}
	if w.first != 0 {
		p.Entries = log.Slice(max(w.first, log.baseIndex+1), log.Last())
	}
	w.writes = append(w.writes, issuedWrite{w.issued, log.Last()})
	w.dirty, w.first, w.truncate, w.snapshot = false, 0, 0, nil
	return p, true
}

// HardSeq returns the sequence number of the write that holds the current term
// and vote.
func (w *Writer) HardSeq() uint64 { return w.hardSeq }

// Synced returns the sequence number of the newest write that is synced.
func (w *Writer) Synced() uint64 { return w.synced }

// Stable returns the index of the last synced entry.
func (w *Writer) Stable() uint64 { return w.stable }

// NewWriter returns the writer for a log whose entries up to index stable are
// synced.
func NewWriter(stable uint64) Writer { return Writer{stable: stable} }

// Hold holds back a message until the write seq is synced.
func (w *Writer) Hold(seq uint64, s Send) { w.held = append(w.held, heldSend{seq, s}) }

// Persisted notes that the writes up to seq are synced. It returns the messages
// that were held back for them, and discards those that are not of the term.
func (w *Writer) Persisted(seq, term uint64) []Send {
	if seq > w.issued {
		Broken("write %d is reported as synced, the last issued is %d", seq, w.issued)
	}
	w.synced = max(w.synced, seq)
	done := 0
	for ; done < len(w.writes) && w.writes[done].seq <= seq; done++ {
		w.stable = w.writes[done].last
	}
	w.writes = append(w.writes[:0], w.writes[done:]...)
	var free []Send
	kept := w.held[:0]
	for _, h := range w.held {
		switch {
		case h.seq > seq:
			kept = append(kept, h)
		case h.send.Term == term:
			free = append(free, h.send)
		}
	}
	clear(w.held[len(kept):])
	w.held = kept
	return free
}
