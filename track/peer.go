// Package track holds the bookkeeping of a Raft leader: the replication progress
// of each follower, the rounds of heartbeats that confirm its leadership for
// reads, and the proposals that are not committed yet.
package track

import (
	"math"
	"slices"
	"time"

	"cyclamenrelay.example/rlog"
	"cyclamenrelay.example/wire"
)

// Peer is the replication progress of another member, as its leader knows it.
type Peer struct {
	ID    rlog.ID
	Voter bool
	// Match is the last index that the peer is known to have synced, Next the
	// next to send.
	Match, Next uint64
	// Probing is set until the peer's log is known to match the leader's before
	// Next. Only one append is in flight then.
	Probing bool
	// ActiveAt is when the last message of the peer was received.
	ActiveAt time.Duration
	// AckSeq is the newest round of heartbeats that the peer has answered.
	AckSeq uint64
	// Epoch and Echo are the epoch and the send time, on the peer's clock, of its
	// newest heartbeat answer. EchoAt is when that was received.
	Epoch        uint64
	Echo, EchoAt time.Duration

	inflight      int            // unanswered appends
	waitStart     time.Duration  // start of the wait for an answer, for the resend timeout
	snapshot      *rlog.Snapshot // the snapshot being sent, nil for none
	offset        int            // bytes of the snapshot that the peer has received
	chunkInFlight bool           // the chunk at offset is unanswered
}

// AwaitsAnswer reports whether an append or a snapshot chunk is unanswered.
func (p *Peer) AwaitsAnswer() bool { return p.inflight > 0 || p.chunkInFlight }

// SendingSnapshot reports whether a snapshot is being sent to the peer.
func (p *Peer) SendingSnapshot() bool { return p.snapshot != nil }

// Overdue reports whether an answer has been outstanding for at least d.
func (p *Peer) Overdue(now, d time.Duration) bool { return p.AwaitsAnswer() && now-p.waitStart >= d }

// Reset gives up the unanswered appends or chunk, so that they are sent again.
func (p *Peer) Reset() {
	p.inflight, p.chunkInFlight = 0, false
	if p.snapshot == nil {
		p.Next, p.Probing = p.Match+1, true
	}
}

// MayAppend reports whether another append may be sent, with at most maxInflight
// unanswered.
func (p *Peer) MayAppend(maxInflight int) bool {
	switch {
	case p.snapshot != nil:
		return false
	case p.Probing:
		return p.inflight == 0
	}
	return p.inflight < maxInflight
}

// AppendSent notes that an append with the n entries from Next on was sent.
func (p *Peer) AppendSent(now time.Duration, n int) {
	if p.inflight == 0 {
		p.waitStart = now
	}
	p.inflight++
	if !p.Probing {
		p.Next += uint64(n)
	}
}

// AppendAccepted notes that the peer has synced the log up to index i. It returns
// false when the answer is stale, or older than the snapshot being sent.
func (p *Peer) AppendAccepted(now time.Duration, i uint64) bool {
	p.inflight, p.waitStart = max(0, p.inflight-1), now
	if i < p.Match || p.snapshot != nil && i < p.snapshot.Index {
		return false
	}
	p.Match = i
	p.Next = max(p.Next, i+1)
	p.Probing, p.snapshot, p.chunkInFlight = false, nil, false
	return true
}

// AppendRejected notes that the peer's log does not match at index but may match at
// hint, and goes back to probing. It returns false when the answer is stale, or
// a snapshot is being sent.
func (p *Peer) AppendRejected(index, hint uint64) bool {
	stale := index <= p.Match || p.Probing && index != p.Next-1
	if stale || p.snapshot != nil {
		return false
	}
	p.Next = max(p.Match, min(index-1, hint)) + 1
	p.Probing, p.inflight = true, 0
	return true
}

// HeartbeatAnswered notes an answer to a heartbeat.
func (p *Peer) HeartbeatAnswered(now time.Duration, b wire.RaftHeartbeatAnswer) {
	p.AckSeq = max(p.AckSeq, b.Seq)
	if b.Epoch != p.Epoch || b.Sent > p.Echo {
		p.Epoch, p.Echo, p.EchoAt = b.Epoch, b.Sent, now
	}
}

// StartSnapshot starts sending the snapshot s to the peer.
func (p *Peer) StartSnapshot(s rlog.Snapshot) {
	p.snapshot, p.offset, p.chunkInFlight, p.inflight = &s, 0, false, 0
}

// Chunk returns the next chunk of the snapshot, of at most maxBytes of data. It
// returns false while a chunk is unanswered.
func (p *Peer) Chunk(now time.Duration, maxBytes int) (wire.RaftSnapshot, bool) {
	if p.chunkInFlight {
		return wire.RaftSnapshot{}, false
	}
	s := p.snapshot
	p.chunkInFlight, p.waitStart = true, now
	return wire.RaftSnapshot{
		Index: s.Index, Term: s.Term, Members: s.Members,
		Offset: uint64(p.offset), Total: uint64(len(s.Data)),
		Data: s.Data[p.offset:min(len(s.Data), p.offset+maxBytes)],
	}, true
}

// ChunkAnswered notes an answer to a snapshot chunk. It reports whether the peer has
// installed and synced the snapshot.
func (p *Peer) ChunkAnswered(b wire.RaftSnapshotAnswer) bool {
	if p.snapshot == nil || b.Index != p.snapshot.Index {
		return false
	}
	p.chunkInFlight = false
	p.offset = int(min(b.Offset, uint64(len(p.snapshot.Data))))
	return b.Done
}

// Peers are the other members of a group, sorted by ID.
type Peers []*Peer

// Update returns the peers for the membership m. Members that are known keep their
// progress; a new one is probed from index next on.
func (ps Peers) Update(m rlog.Membership, self rlog.ID, next uint64, now time.Duration) Peers {
	var out Peers
	for _, x := range m {
		if x.ID == self {
			continue
		}
		p := ps.Find(x.ID)
		if p == nil {
			p = &Peer{ID: x.ID, Next: next, Probing: true, ActiveAt: now}
		}
		p.Voter = x.Voter
		out = append(out, p)
	}
	return out
}

// Find returns the peer with the ID, nil when there is none.
func (ps Peers) Find(id rlog.ID) *Peer {
	for _, p := range ps {
		if p.ID == id {
			return p
		}
	}
	return nil
}

// Installed returns the index of the oldest snapshot that is being sent to a peer
// heard after since, or math.MaxUint64 when there is none.
func (ps Peers) Installed(since time.Duration) uint64 {
	oldest := uint64(math.MaxUint64)
	for _, p := range ps {
		if p.snapshot != nil && p.ActiveAt > since {
			oldest = min(oldest, p.snapshot.Index)
		}
	}
	return oldest
}

// Quorum returns the highest value that a quorum of the voters has reached. value
// gives the value of a peer; own is the leader's, left out if it does not vote.
func (ps Peers) Quorum(value func(*Peer) uint64, own ...uint64) uint64 {
	var buf [16]uint64
	vs := append(buf[:0], own...)
	for _, p := range ps {
		if p.Voter {
			vs = append(vs, value(p))
		}
	}
	slices.Sort(vs)
	return vs[(len(vs)-1)/2]
}

// MostAdvanced returns the voter with the highest Match of those heard after
// since, nil when there is none.
func (ps Peers) MostAdvanced(since time.Duration) *Peer {
	var best *Peer
	for _, p := range ps {
		if p.Voter && p.ActiveAt > since && (best == nil || p.Match > best.Match) {
			best = p
		}
	}
	return best
}
