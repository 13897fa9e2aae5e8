package raft

import (
	"cyclamenrelay.example/rlog"
	"cyclamenrelay.example/track"
	"cyclamenrelay.example/wire"
)

// replicate sends each follower the entries or snapshot chunks that it lacks,
// within its flow-control window.
func (n *Node) replicate() {
	for _, p := range n.leadership.peers {
		if p.SendingSnapshot() {
			n.sendSnapshotChunk(p)
			continue
		}
		for p.Next <= n.log.Last() && p.MayAppend(n.cfg.MaxInflight) {
			n.sendAppend(p)
		}
	}
}

// sendAppend sends the entries from p.Next on, or starts to send a snapshot when
// the log no longer holds them.
func (n *Node) sendAppend(p *track.Peer) {
	prev := p.Next - 1
	prevTerm, ok := n.log.Term(prev)
	if !ok {
		p.StartSnapshot(n.snap)
		n.sendSnapshotChunk(p)
		return
	}
	es := n.log.Limited(p.Next, n.cfg.MaxMessageBytes)
	n.send(p.ID, wire.RaftAppend{PrevIndex: prev, PrevTerm: prevTerm, Commit: n.hard.Commit, Entries: es})
	p.AppendSent(n.now, len(es))
}

func (n *Node) sendSnapshotChunk(p *track.Peer) {
	if c, ok := p.Chunk(n.now, n.cfg.MaxMessageBytes); ok {
		n.send(p.ID, c)
	}
}

// onAnswer handles a follower's answer that belongs to the current term.
func (n *Node) onAnswer(m rlog.Receive) {
	if n.role != rlog.Leader {
		return
	}
	p := n.leadership.peers.Find(m.From)
	if p == nil {
		return
	}
	p.ActiveAt = n.now
	switch b := m.Body.(type) {
	case wire.RaftAppendAnswer:
		n.onAppendAnswer(p, b)
	case wire.RaftHeartbeatAnswer:
		n.onHeartbeatAnswer(p, b)
	case wire.RaftSnapshotAnswer:
		if p.ChunkAnswered(b) {
			n.onAcknowledged(p, b.Index)
		}
	}
}

func (n *Node) onAppendAnswer(p *track.Peer, b wire.RaftAppendAnswer) {
	if !b.Reject {
		n.onAcknowledged(p, b.Index)
		return
	}
	if p.AppendRejected(b.Index, b.Hint) && p.Next > n.log.Last() {
		n.sendAppend(p)
	}
}

// onAcknowledged handles the acknowledgement of p that its log is synced up to
// index i.
func (n *Node) onAcknowledged(p *track.Peer, i uint64) {
	if i > n.log.Last() {
		rlog.InvariantBroken("%v acknowledges entry %d, the last entry is %d", p.ID, i, n.log.Last())
	}
	if p.AppendAccepted(n.now, i) {
		n.continueTransfer(p)
	}
}

func (n *Node) onHeartbeatAnswer(p *track.Peer, b wire.RaftHeartbeatAnswer) {
	if b.Epoch == 0 {
		return
	}
	p.HeartbeatAnswered(n.now, b)
	// The follower's verified index is behind although nothing is in flight to it,
	// as after its restart: probe it with another append.
	if !p.AwaitsAnswer() && !p.SendingSnapshot() && b.Verified < n.log.Last() && p.Next > n.log.Last() {
		p.Reset()
		n.sendAppend(p)
	}
}
