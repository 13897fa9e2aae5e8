package track

import (
	"time"

	"cyclamenrelay.example/rlog"
)

// maxRounds bounds the rounds that are remembered until confirmed.
const maxRounds = 64

// Rounds are the rounds of heartbeats of a leader. A read is served once a
// round that started after it is confirmed by a quorum.
type Rounds struct {
	seq       uint64 // the newest round
	rounds    []round
	waiting   []uint64 // reads that no round covers yet
	flying    []uint64 // reads that the round flyingSeq covers
	flyingSeq uint64
	index     uint64 // the commit index when flyingSeq started
}

type round struct {
	seq    uint64
	sent   time.Duration
	commit uint64
}

// Seq returns the newest round.
func (r *Rounds) Seq() uint64 { return r.seq }

// Read adds a read; it waits for a round that starts later.
func (r *Rounds) Read(id uint64) { r.waiting = append(r.waiting, id) }

// Reads returns the reads that are not served.
func (r *Rounds) Reads() []uint64 { return append(r.flying, r.waiting...) }

// Due reports whether reads wait and no round is on its way for others.
func (r *Rounds) Due() bool { return len(r.waiting) > 0 && len(r.flying) == 0 }

// Start starts a round. It proves something only if the commit index is known
// to cover all earlier terms.
func (r *Rounds) Start(now time.Duration, commit uint64, covers bool) {
	r.seq++
	if !covers {
		return
	}
	if len(r.rounds) == maxRounds {
		r.rounds = append(r.rounds[:0], r.rounds[1:]...)
	}
	r.rounds = append(r.rounds, round{r.seq, now, commit})
	if r.Due() {
		r.flying, r.waiting = r.waiting, nil
		r.flyingSeq, r.index = r.seq, commit
	}
}

// Confirm notes that a quorum has answered the round seq. It returns the proof
// of freshness, the zero value when there is no newer one.
func (r *Rounds) Confirm(seq uint64) Freshness {
	var f Freshness
	done := 0
	for ; done < len(r.rounds) && r.rounds[done].seq <= seq; done++ {
		f = Freshness{r.rounds[done].commit, r.rounds[done].sent}
	}
	r.rounds = append(r.rounds[:0], r.rounds[done:]...)
	return f
}

// Served returns the reads that the confirmed round seq covers, and removes them.
func (r *Rounds) Served(seq uint64) (rlog.ReadReady, bool) {
	if len(r.flying) == 0 || seq < r.flyingSeq {
		return rlog.ReadReady{}, false
	}
	ready := rlog.ReadReady{IDs: r.flying, Index: r.index}
	r.flying = nil
	return ready, true
}

// Freshness is the proof that Index was the newest commit index at a time.
type Freshness struct {
	Index uint64
	At    time.Duration
}

// Known reports whether anything is proven.
func (f Freshness) Known() bool { return f.Index > 0 }

// Newer reports whether f proves more than g.
func (f Freshness) Newer(g Freshness) bool { return f.Known() && (!g.Known() || f.At > g.At) }

// Proposals are the IDs of the entries that a leader has appended and that are
// not committed.
type Proposals struct {
	ids   []uint64
	first uint64 // the index of the first
	bytes int
}

// NewProposals returns the proposals of a leader that appends from first on.
func NewProposals(first uint64) Proposals { return Proposals{first: first} }

// Add adds the ID of the next entry, 0 for none.
func (p *Proposals) Add(id uint64, size int) {
	p.ids = append(p.ids, id)
	p.bytes += size + rlog.EntryOverhead
}

// IDs returns the IDs of the entries that are not committed.
func (p *Proposals) IDs() []uint64 { return p.ids }

// Bytes returns the size of the entries that are not committed.
func (p *Proposals) Bytes() int { return p.bytes }

// Take removes the committed entries and returns their IDs, nil when none was
// made here.
func (p *Proposals) Take(es []rlog.Entry) []uint64 {
	last := es[len(es)-1].Index
	if len(p.ids) == 0 || last < p.first {
		return nil
	}
	k := last + 1 - p.first
	foreign := len(es) - min(len(es), int(k))
	for i := foreign; i < len(es); i++ {
		p.bytes -= len(es[i].Data) + rlog.EntryOverhead
	}
	ids := p.ids[:k:k]
	p.ids, p.first = p.ids[k:], last+1
	if foreign > 0 {
		ids = append(make([]uint64, foreign, len(es)), ids...)
	}
	if len(ids) != len(es) {
		rlog.Broken("%d proposals for %d entries", len(ids), len(es))
	}
	return ids
}
