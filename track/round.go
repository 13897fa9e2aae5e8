package track

import (
	"time"

	"cyclamenrelay.example/rlog"
)

// maxRounds bounds the unconfirmed rounds that are remembered; the oldest are
// forgotten first.
const maxRounds = 64

// HeartbeatRounds holds a leader's rounds of heartbeats. A read is served once a quorum has
// confirmed a round that started after the read came in.
type HeartbeatRounds struct {
	seq             uint64   // number of the newest round
	unconfirmed     []round  // not confirmed, oldest first
	waiting         []uint64 // IDs of the reads that no round covers yet
	confirming      []uint64 // IDs of the reads that the round confirmingSeq covers
	confirmingSeq   uint64
	confirmingIndex uint64 // the commit index when the round confirmingSeq started
}

// round is a round of heartbeats, with the commit index when it was sent.
type round struct {
	seq    uint64
	sent   time.Duration
	commit uint64
}

// Seq returns the number of the newest round.
func (r *HeartbeatRounds) Seq() uint64 { return r.seq }

// AddRead adds the read with the ID. It waits for a round that starts later.
func (r *HeartbeatRounds) AddRead(id uint64) { r.waiting = append(r.waiting, id) }

// Reads returns the IDs of the reads that are not served.
func (r *HeartbeatRounds) Reads() []uint64 { return append(r.confirming, r.waiting...) }

// ReadsNeedRound reports whether reads need a round to be started: some wait, and no round
// that covers others is unconfirmed.
func (r *HeartbeatRounds) ReadsNeedRound() bool { return len(r.waiting) > 0 && len(r.confirming) == 0 }

// Start starts a round. covers says whether the commit index is known to cover
// all earlier terms; otherwise the round proves no freshness and serves no reads.
func (r *HeartbeatRounds) Start(now time.Duration, commit uint64, covers bool) {
	r.seq++
	if !covers {
		return
	}
	if len(r.unconfirmed) == maxRounds {
		r.unconfirmed = append(r.unconfirmed[:0], r.unconfirmed[1:]...)
	}
	r.unconfirmed = append(r.unconfirmed, round{r.seq, now, commit})
	if r.ReadsNeedRound() {
		r.confirming, r.waiting = r.waiting, nil
		r.confirmingSeq, r.confirmingIndex = r.seq, commit
	}
}

// Confirm notes that a quorum has answered the round seq. It returns the newest
// proof of freshness from the rounds up to it, the zero value when there is none.
func (r *HeartbeatRounds) Confirm(seq uint64) Freshness {
	var f Freshness
	done := 0
	for ; done < len(r.unconfirmed) && r.unconfirmed[done].seq <= seq; done++ {
		f = Freshness{r.unconfirmed[done].commit, r.unconfirmed[done].sent}
	}
	r.unconfirmed = append(r.unconfirmed[:0], r.unconfirmed[done:]...)
	return f
}

// TakeConfirmedReads removes and returns the reads in progress if the round seq, confirmed by
// a quorum, covers them. It returns false otherwise.
func (r *HeartbeatRounds) TakeConfirmedReads(seq uint64) (rlog.ReadReady, bool) {
	if len(r.confirming) == 0 || seq < r.confirmingSeq {
		return rlog.ReadReady{}, false
	}
	ready := rlog.ReadReady{IDs: r.confirming, Index: r.confirmingIndex}
	r.confirming = nil
	return ready, true
}

// Freshness is a proof that Index was the group's newest commit index at the time
// At. The zero value proves nothing.
type Freshness struct {
	Index uint64
	At    time.Duration
}

// Known reports whether anything is proven.
func (f Freshness) Known() bool { return f.Index > 0 }

// Newer reports whether f is a proof for a later time than g.
func (f Freshness) Newer(g Freshness) bool { return f.Known() && (!g.Known() || f.At > g.At) }

// Proposals holds the request IDs of a leader's own entries that are not committed.
type Proposals struct {
	ids        []uint64 // one an entry, 0 for entries without a request
	firstIndex uint64   // index of the entry of ids[0]
	bytes      int      // encoded size of the entries
}

// NewProposals returns the empty Proposals of a leader whose first entry will have
// the index first.
func NewProposals(first uint64) Proposals { return Proposals{firstIndex: first} }

// Add adds the next entry, with its request ID, 0 for none, and the size of its
// data in bytes.
func (p *Proposals) Add(id uint64, size int) {
	p.ids = append(p.ids, id)
	p.bytes += size + rlog.EntryOverhead
}

// IDs returns the request IDs of the uncommitted entries, 0 for those without.
func (p *Proposals) IDs() []uint64 { return p.ids }

// Bytes returns the encoded size of the uncommitted entries.
func (p *Proposals) Bytes() int { return p.bytes }

// Take removes the committed entries es and returns their request IDs, 0 for the
// entries of earlier leaders, nil when all are such.
func (p *Proposals) Take(es []rlog.Entry) []uint64 {
	last := es[len(es)-1].Index
	if len(p.ids) == 0 || last < p.firstIndex {
		return nil
	}
	k := last + 1 - p.firstIndex
	earlier := len(es) - min(len(es), int(k))
	for i := earlier; i < len(es); i++ {
		p.bytes -= len(es[i].Data) + rlog.EntryOverhead
	}
	ids := p.ids[:k:k]
	p.ids, p.firstIndex = p.ids[k:], last+1
	if earlier > 0 {
		ids = append(make([]uint64, earlier, len(es)), ids...)
	}
	if len(ids) != len(es) {
		rlog.InvariantBroken("%d request IDs for %d committed entries", len(ids), len(es))
	}
	return ids
}
