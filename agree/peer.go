package agree

import (
	"time"

	"cyclamenrelay.example/wire"
)

// peer is what a leader knows of another member.
type peer struct {
	id    ID
	voter bool
	match uint64 // the last index known to be synced there
	next  uint64 // the next index to send
	// probing is set until the follower's log is known to match up to next.
	probing  bool
	inflight int           // unanswered appends
	sentAt   time.Duration // last append, chunk or progress
	activeAt time.Duration // last message received
	ackSeq   uint64        // the newest heartbeat answered

	epoch  uint64        // of the last heartbeat answer
	echo   time.Duration // its time, on the follower's clock
	echoAt time.Duration // when it was received

	snapshot *Snapshot // being sent, nil for none
	offset   int       // bytes of it received
	chunked  bool      // the chunk at offset is unanswered
}

func (p *peer) waiting() bool { return p.inflight > 0 || p.chunked }

// reset sends again what was not answered.
func (p *peer) reset() {
	p.inflight, p.chunked = 0, false
	if p.snapshot == nil {
		p.next, p.probing = p.match+1, true
	}
}

func (l *leadership) peer(id ID) *peer {
	for _, p := range l.peers {
		if p.id == id {
			return p
		}
	}
	return nil
}

// replicate sends to each follower what it lacks.
func (n *Node) replicate() {
	for _, p := range n.lead.peers {
		if p.snapshot != nil {
			n.sendChunk(p)
			continue
		}
		for p.next <= n.log.last() && n.mayAppend(p) {
			n.sendAppend(p)
		}
	}
}

func (n *Node) mayAppend(p *peer) bool {
	if p.snapshot != nil {
		return false
	}
	if p.probing {
		return p.inflight == 0
	}
	return p.inflight < n.cfg.MaxInflight
}

func (n *Node) sendAppend(p *peer) {
	prev := p.next - 1
	prevTerm, ok := n.log.term(prev)
	if !ok {
		p.snapshot, p.offset, p.chunked, p.inflight = &n.snap, 0, false, 0
		snap := n.snap
		p.snapshot = &snap
		n.sendChunk(p)
		return
	}
	es := n.log.limited(p.next, n.cfg.MaxBytes)
	n.send(p.id, wire.AgreeAppend{PrevIndex: prev, PrevTerm: prevTerm, Commit: n.hard.Commit, Entries: es})
	if p.inflight == 0 {
		p.sentAt = n.now
	}
	p.inflight++
	if !p.probing {
		p.next += uint64(len(es))
	}
}

func (n *Node) sendChunk(p *peer) {
	if p.chunked {
		return
	}
	s := p.snapshot
	data := s.Data[p.offset:min(len(s.Data), p.offset+n.cfg.MaxBytes)]
	n.send(p.id, wire.AgreeSnapshot{
		Index: s.Index, Term: s.Term, Members: s.Members,
		Offset: uint64(p.offset), Total: uint64(len(s.Data)), Data: data,
	})
	p.chunked, p.sentAt = true, n.now
}

// onAnswer handles the followers' answers of this term.
func (n *Node) onAnswer(m Receive) {
	if n.role != Leader {
		return
	}
	p := n.lead.peer(m.From)
	if p == nil {
		return
	}
	p.activeAt = n.now
	switch b := m.Body.(type) {
	case wire.AgreeAppendAnswer:
		n.onAppendAnswer(p, b)
	case wire.AgreeHeartbeatAnswer:
		n.onHeartbeatAnswer(p, b)
	case wire.AgreeSnapshotAnswer:
		n.onSnapshotAnswer(p, b)
	}
}

func (n *Node) onAppendAnswer(p *peer, b wire.AgreeAppendAnswer) {
	if !b.Reject {
		n.matched(p, b.Index)
		p.inflight, p.sentAt = max(0, p.inflight-1), n.now
		return
	}
	stale := b.Index <= p.match || p.probing && b.Index != p.next-1
	if stale || p.snapshot != nil {
		return
	}
	p.next = max(p.match, min(b.Index-1, b.Hint)) + 1
	p.probing, p.inflight = true, 0
	if p.next > n.log.last() {
		n.sendAppend(p)
	}
}

// matched notes that the follower has synced the log up to i.
func (n *Node) matched(p *peer, i uint64) {
	invariant(i <= n.log.last(), "%v acknowledges %d, the last entry is %d", p.id, i, n.log.last())
	if i < p.match || p.snapshot != nil && i < p.snapshot.Index {
		return
	}
	p.match = i
	p.next = max(p.next, i+1)
	p.probing, p.snapshot, p.chunked = false, nil, false
	n.continueTransfer(p)
}

func (n *Node) onHeartbeatAnswer(p *peer, b wire.AgreeHeartbeatAnswer) {
	if b.Epoch == 0 {
		return
	}
	p.ackSeq = max(p.ackSeq, b.Seq)
	if b.Epoch != p.epoch || b.Sent > p.echo {
		p.epoch, p.echo, p.echoAt = b.Epoch, b.Sent, n.now
	}
	// An idle follower that does not know how far its log matches is told again.
	if !p.waiting() && p.snapshot == nil && b.Verified < n.log.last() && p.next > n.log.last() {
		p.reset()
		n.sendAppend(p)
	}
}

func (n *Node) onSnapshotAnswer(p *peer, b wire.AgreeSnapshotAnswer) {
	s := p.snapshot
	if s == nil || b.Index != s.Index {
		return
	}
	p.chunked = false
	if b.Done {
		n.matched(p, s.Index)
		return
	}
	p.offset = int(min(b.Offset, uint64(len(s.Data))))
}
