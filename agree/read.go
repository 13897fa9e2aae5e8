package agree

import (
	"time"

	"cyclamenrelay.example/wire"
)

// maxRounds bounds the heartbeat rounds that are remembered until confirmed.
const maxRounds = 64

// reads are the linearizable reads at the leader. A read is served once a round
// of heartbeats that started after it is confirmed by a quorum.
type reads struct {
	seq       uint64 // the newest round
	confirmed uint64 // the newest round that a quorum answered
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

func (r *reads) all() []uint64 { return append(r.flying, r.waiting...) }

// freshness is the proof that index was the newest commit index at a time.
type freshness struct {
	index uint64
	at    time.Duration
}

func (n *Node) read(id uint64) {
	if n.role != Leader {
		n.drop(id, ReasonNotLeader)
		return
	}
	n.lead.reads.waiting = append(n.lead.reads.waiting, id)
}

// ownCommitted reports whether the commit index covers all earlier terms.
func (n *Node) ownCommitted() bool { return n.hard.Commit >= n.lead.firstOwn }

// serveReads starts a round for the waiting reads when none is on its way.
func (n *Node) serveReads() {
	r := &n.lead.reads
	if len(r.waiting) > 0 && len(r.flying) == 0 && n.ownCommitted() {
		n.startRound()
	}
}

// startRound sends a heartbeat to all members; it covers the reads that wait.
func (n *Node) startRound() {
	r := &n.lead.reads
	r.seq++
	if n.ownCommitted() {
		if len(r.rounds) == maxRounds {
			r.rounds = append(r.rounds[:0], r.rounds[1:]...)
		}
		r.rounds = append(r.rounds, round{r.seq, n.now, n.hard.Commit})
		if len(r.flying) == 0 && len(r.waiting) > 0 {
			r.flying, r.waiting = r.waiting, nil
			r.flyingSeq, r.index = r.seq, n.hard.Commit
		}
	}
	for _, p := range n.lead.peers {
		b := wire.AgreeHeartbeat{Seq: r.seq, Commit: n.hard.Commit}
		if n.fresh.index > 0 && p.epoch != 0 {
			b.Fresh, b.FreshIndex, b.Age = true, n.fresh.index, n.now-n.fresh.at
			b.Epoch, b.Echo, b.Held = p.epoch, p.echo, n.now-p.echoAt
		}
		n.send(p.id, b)
	}
}

// releaseReads answers the reads whose round is confirmed, and starts the next.
func (n *Node) releaseReads() {
	r := &n.lead.reads
	r.confirmed = n.quorum(r.seq, func(p *peer) uint64 { return p.ackSeq })
	done := 0
	for ; done < len(r.rounds) && r.rounds[done].seq <= r.confirmed; done++ {
		n.fresh = freshness{r.rounds[done].commit, r.rounds[done].sent}
	}
	r.rounds = append(r.rounds[:0], r.rounds[done:]...)
	if len(r.flying) == 0 || r.confirmed < r.flyingSeq {
		return
	}
	n.events = append(n.events, ReadReady{IDs: r.flying, Index: r.index})
	r.flying = nil
	n.serveReads()
}

// learnFreshness takes the leader's proof. Its age is counted from when this
// replica sent the answer that the proof echoes, so that no delay is missed.
func (n *Node) learnFreshness(b wire.AgreeHeartbeat) {
	if !b.Fresh || b.Epoch != n.epoch || b.Age < 0 || b.Held < 0 {
		return
	}
	f := freshness{b.FreshIndex, min(b.Echo+b.Held, n.now) - b.Age}
	if f.at <= n.fresh.at && n.fresh.index > 0 {
		return
	}
	if f.index <= n.hard.Commit {
		n.fresh = f
	} else if n.pending.index == 0 {
		n.pending = f
	}
}

func (n *Node) advanceFreshness() {
	if n.pending.index == 0 || n.pending.index > n.applied {
		return
	}
	if n.pending.at > n.fresh.at {
		n.fresh = n.pending
	}
	n.pending = freshness{}
}

// Fresh returns an index that was the newest committed one age ago; the state
// machine has it applied. It is false when nothing was proven yet.
func (n *Node) Fresh(now time.Duration) (index uint64, age time.Duration, ok bool) {
	if n.fresh.index == 0 {
		return 0, 0, false
	}
	return n.fresh.index, max(0, now-n.fresh.at), true
}
