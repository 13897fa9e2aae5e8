package raft

import (
	"time"

	"cyclamenrelay.example/rlog"
	"cyclamenrelay.example/track"
	"cyclamenrelay.example/wire"
)

// onRead accepts a linearizable read. It is served once a round of heartbeats that
// starts afterwards is confirmed by a quorum.
func (n *Node) onRead(id uint64) {
	if n.role != rlog.Leader {
		n.dropRequest(id, rlog.ReasonNotLeader)
		return
	}
	n.leadership.rounds.AddRead(id)
}

// termCommitted reports whether an entry of this term is committed. Only then is
// the commit index known to cover the entries committed in earlier terms.
func (n *Node) termCommitted() bool { return n.hard.Commit >= n.leadership.termStart }

// startReadRound starts a round of heartbeats for the waiting reads, unless a round
// for earlier reads is unconfirmed.
func (n *Node) startReadRound() {
	if n.leadership.rounds.ReadsNeedRound() && n.termCommitted() {
		n.startHeartbeatRound()
	}
}

// startHeartbeatRound sends a heartbeat to each peer. The round covers the waiting
// reads. It also carries the newest proof of freshness, with the echo of the peer's
// last answer.
func (n *Node) startHeartbeatRound() {
	r := &n.leadership.rounds
	r.Start(n.now, n.hard.Commit, n.termCommitted())
	for _, p := range n.leadership.peers {
		b := wire.RaftHeartbeat{Seq: r.Seq(), Commit: n.hard.Commit}
		if n.freshness.Known() && p.Epoch != 0 {
			b.Fresh, b.FreshIndex, b.Age = true, n.freshness.Index, n.now-n.freshness.At
			b.Epoch, b.Echo, b.Held = p.Epoch, p.Echo, n.now-p.EchoAt
		}
		n.send(p.ID, b)
	}
}

// completeReads serves the reads whose round a quorum has confirmed, and starts a
// round for those that wait. It also updates the leader's proof of freshness.
func (n *Node) completeReads() {
	r := &n.leadership.rounds
	confirmed := n.quorumValue(r.Seq(), func(p *track.Peer) uint64 { return p.AckSeq })
	if f := r.Confirm(confirmed); f.Newer(n.freshness) {
		n.freshness = f
	}
	if ready, ok := r.TakeConfirmedReads(confirmed); ok {
		n.events = append(n.events, ready)
		n.startReadRound()
	}
}

// adoptFreshness takes over the proof of freshness in a heartbeat. Its age on
// this replica's clock counts from when this replica sent the answer that the
// heartbeat echoes, so that network delay makes the proof older, never younger.
func (n *Node) adoptFreshness(b wire.RaftHeartbeat) {
	if !b.Fresh || b.Epoch != n.epoch || b.Age < 0 || b.Held < 0 {
		return
	}
	f := track.Freshness{Index: b.FreshIndex, At: min(b.Echo+b.Held, n.now) - b.Age}
	if !f.Newer(n.freshness) {
		return
	}
	if f.Index <= n.hard.Commit {
		n.freshness = f
	} else if !n.pendingFreshness.Known() {
		n.pendingFreshness = f
	}
}

// advanceFreshness adopts the pending proof once its index is applied.
func (n *Node) advanceFreshness() {
	if !n.pendingFreshness.Known() || n.pendingFreshness.Index > n.applied {
		return
	}
	if n.pendingFreshness.Newer(n.freshness) {
		n.freshness = n.pendingFreshness
	}
	n.pendingFreshness = track.Freshness{}
}

// Freshness returns an index that was the newest committed one in the group age
// before now; the entries up to it are applied. ok is false when there is no
// proof yet.
func (n *Node) Freshness(now time.Duration) (index uint64, age time.Duration, ok bool) {
	if !n.freshness.Known() {
		return 0, 0, false
	}
	return n.freshness.Index, max(0, now-n.freshness.At), true
}
