package rlog

import (
	"slices"

	"cyclamenrelay.example/wire"
)

// Log holds the entries after a base position in memory. Slices that it returns
// stay valid, because entries are never overwritten in place.
type Log struct {
	baseIndex, baseTerm uint64
	entries             []Entry
}

// NewLog returns an empty log after the entry at index.
func NewLog(index, term uint64) Log { return Log{baseIndex: index, baseTerm: term} }

// Base returns the index after which entries are held.
func (l *Log) Base() uint64 { return l.baseIndex }

// Append appends at least one entry. It panics if the first does not follow the
// last one of the log.
func (l *Log) Append(es ...Entry) {
	if es[0].Index != l.Last()+1 || es[0].Term < l.LastTerm() {
		InvariantBroken("entry %d of term %d does not follow the last entry %d", es[0].Index, es[0].Term, l.Last())
	}
	l.entries = append(l.entries, es...)
}

// Last returns the index of the last entry.
func (l *Log) Last() uint64 { return l.baseIndex + uint64(len(l.entries)) }

// LastTerm returns the term of the last entry.
func (l *Log) LastTerm() uint64 {
	t, _ := l.Term(l.Last())
	return t
}

// Term returns the term of the entry at i, which may be the base. It returns
// false when the log does not hold i.
func (l *Log) Term(i uint64) (uint64, bool) {
	switch {
	case i == l.baseIndex:
		return l.baseTerm, true
	case i < l.baseIndex || i > l.Last():
		return 0, false
	}
	return l.entries[i-l.baseIndex-1].Term, true
}

// Slice returns the entries from first to last.
func (l *Log) Slice(first, last uint64) []Entry {
	return l.entries[first-l.baseIndex-1 : last-l.baseIndex : last-l.baseIndex]
}

// Limited returns the entries from first on, up to maxBytes of encoded size. It
// returns at least one if there is one.
func (l *Log) Limited(first uint64, maxBytes int) []Entry {
	es := l.Slice(first, l.Last())
	size := 0
	for i := range es {
		size += len(es[i].Data) + EntryOverhead
		if size > maxBytes && i > 0 {
			return es[:i:i]
		}
	}
	return es
}

// Truncate drops the entries from index from on.
func (l *Log) Truncate(from uint64) {
	l.entries = slices.Clip(l.entries[:from-l.baseIndex-1])
}

// Compact drops the entries up to index to, which becomes the base.
func (l *Log) Compact(to uint64) {
	if to <= l.baseIndex {
		return
	}
	t, _ := l.Term(to)
	l.entries = slices.Clone(l.entries[to-l.baseIndex:])
	l.baseIndex, l.baseTerm = to, t
}

// EntryOverhead is the encoded size of an entry without its data, in bytes.
const EntryOverhead = 24

// Hint returns the highest index at which this log may match the leader's, for
// the rejection of the append b. Up to commit the logs are known to match.
func (l *Log) Hint(b wire.RaftAppend, commit uint64) uint64 {
	i := min(l.Last(), b.PrevIndex-1)
	for i > commit {
		if t, _ := l.Term(i); t <= b.PrevTerm {
			break
		}
		i--
	}
	return i
}

// WellFormed reports whether the entries of an append have consecutive indexes
// after PrevIndex, and terms that neither decrease nor exceed term.
func WellFormed(b wire.RaftAppend, term uint64) bool {
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
