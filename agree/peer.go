package agree

import (
	"cyclamenrelay.example/rlog"
	"cyclamenrelay.example/track"
	"cyclamenrelay.example/wire"
)

// replicate sends to each follower what it lacks.
func (n *Node) replicate() {
	for _, p := range n.lead.peers {
		if p.Installing() {
			n.sendChunk(p)
			continue
		}
		for p.Next <= n.log.Last() && p.MayAppend(n.cfg.MaxInflight) {
			n.sendAppend(p)
		}
	}
}

func (n *Node) sendAppend(p *track.Peer) {
	prev := p.Next - 1
	prevTerm, ok := n.log.Term(prev)
	if !ok {
		p.Install(n.snap)
		n.sendChunk(p)
		return
	}
	es := n.log.Limited(p.Next, n.cfg.MaxBytes)
	n.send(p.ID, wire.AgreeAppend{PrevIndex: prev, PrevTerm: prevTerm, Commit: n.hard.Commit, Entries: es})
	p.Appended(n.now, len(es))
}

func (n *Node) sendChunk(p *track.Peer) {
	if c, ok := p.Chunk(n.now, n.cfg.MaxBytes); ok {
		n.send(p.ID, c)
	}
}

// onAnswer handles the followers' answers of this term.
func (n *Node) onAnswer(m rlog.Receive) {
	if n.role != rlog.Leader {
		return
	}
	p := n.lead.peers.Find(m.From)
	if p == nil {
		return
	}
	p.ActiveAt = n.now
	switch b := m.Body.(type) {
	case wire.AgreeAppendAnswer:
		n.onAppendAnswer(p, b)
	case wire.AgreeHeartbeatAnswer:
		n.onHeartbeatAnswer(p, b)
	case wire.AgreeSnapshotAnswer:
		if p.Received(b) {
			n.accepted(p, b.Index)
		}
	}
}

func (n *Node) onAppendAnswer(p *track.Peer, b wire.AgreeAppendAnswer) {
	if !b.Reject {
		n.accepted(p, b.Index)
		return
	}
	if p.Rejected(b.Index, b.Hint) && p.Next > n.log.Last() {
		n.sendAppend(p)
	}
}

func (n *Node) accepted(p *track.Peer, i uint64) {
	if i > n.log.Last() {
		rlog.Broken("%v acknowledges %d, the last entry is %d", p.ID, i, n.log.Last())
	}
	if p.Accepted(n.now, i) {
		n.continueTransfer(p)
	}
}

func (n *Node) onHeartbeatAnswer(p *track.Peer, b wire.AgreeHeartbeatAnswer) {
	if b.Epoch == 0 {
		return
	}
	p.Beat(n.now, b)
	// An idle follower that does not know how far its log matches is told again.
	if !p.Waiting() && !p.Installing() && b.Verified < n.log.Last() && p.Next > n.log.Last() {
		p.Reset()
		n.sendAppend(p)
	}
}
