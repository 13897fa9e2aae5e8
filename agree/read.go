package agree

import (
	"time"

	"cyclamenrelay.example/rlog"
	"cyclamenrelay.example/track"
	"cyclamenrelay.example/wire"
)

// read accepts a linearizable read. It is served once a round of heartbeats that
// starts afterwards is confirmed by a quorum.
func (n *Node) read(id uint64) {
	if n.role != rlog.Leader {
		n.drop(id, rlog.ReasonNotLeader)
		return
	}
	n.lead.rounds.Read(id)
}

// ownCommitted reports whether an entry of this term is committed. Only then is
// the commit index known to cover the entries committed in earlier terms.
func (n *Node) ownCommitted() bool { return n.hard.Commit >= n.lead.firstOwn }

// serveReads starts a round of heartbeats for the waiting reads, unless a round
// for earlier reads is unconfirmed.
func (n *Node) serveReads() {
	if n.lead.rounds.Due() && n.ownCommitted() {
		n.startRound()
	}
}

// startRound sends a heartbeat to each peer. The round covers the waiting reads.
// It also carries the newest proof of freshness, with the echo of the peer's
// last answer.
func (n *Node) startRound() {
	r := &n.lead.rounds
	r.Start(n.now, n.hard.Commit, n.ownCommitted())
	for _, p := range n.lead.peers {
		b := wire.AgreeHeartbeat{Seq: r.Seq(), Commit: n.hard.Commit}
		if n.fresh.Known() && p.Epoch != 0 {
			b.Fresh, b.FreshIndex, b.Age = true, n.fresh.Index, n.now-n.fresh.At
			b.Epoch, b.Echo, b.Held = p.Epoch, p.Echo, n.now-p.EchoAt
		}
		n.send(p.ID, b)
	}
}

// releaseReads serves the reads whose round a quorum has confirmed, and starts a
// round for those that wait. It also updates the leader's proof of freshness.
func (n *Node) releaseReads() {
	r := &n.lead.rounds
	confirmed := n.quorum(r.Seq(), func(p *track.Peer) uint64 { return p.AckSeq })
	if f := r.Confirm(confirmed); f.Newer(n.fresh) {
		n.fresh = f
	}
	if ready, ok := r.Served(confirmed); ok {
		n.events = append(n.events, ready)
		n.serveReads()
	}
}

// learnFreshness takes over the proof of freshness in a heartbeat. Its age on
// this replica's clock counts from when this replica sent the answer that the
// heartbeat echoes, so that network delay makes the proof older, never younger.
func (n *Node) learnFreshness(b wire.AgreeHeartbeat) {
	if !b.Fresh || b.Epoch != n.epoch || b.Age < 0 || b.Held < 0 {
		return
	}
	f := track.Freshness{Index: b.FreshIndex, At: min(b.Echo+b.Held, n.now) - b.Age}
	if !f.Newer(n.fresh) {
		return
	}
	if f.Index <= n.hard.Commit {
		n.fresh = f
	} else if !n.pending.Known() {
		n.pending = f
	}
}

// advanceFreshness adopts the pending proof once its index is applied.
func (n *Node) advanceFreshness() {
	if !n.pending.Known() || n.pending.Index > n.applied {
		return
	}
	if n.pending.Newer(n.fresh) {
		n.fresh = n.pending
	}
	n.pending = track.Freshness{}
}

// Fresh returns an index that was the newest committed one in the group age
// before now; the entries up to it are applied. ok is false when there is no
// proof yet.
func (n *Node) Fresh(now time.Duration) (index uint64, age time.Duration, ok bool) {
	if !n.fresh.Known() {
		return 0, 0, false
	}
	return n.fresh.Index, max(0, now-n.fresh.At), true
}
