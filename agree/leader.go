package agree

import (
	"time"

	"cyclamenrelay.example/rlog"
	"cyclamenrelay.example/track"
	"cyclamenrelay.example/wire"
)

// leadership is the state of a leader; the zero value for others.
type leadership struct {
	peers     track.Peers
	firstOwn  uint64 // the index of the first entry of this term
	beatAt    time.Duration
	checkedAt time.Duration
	proposals track.Proposals
	rounds    track.Rounds
	transfer  transfer
}

// transfer is a hand-over of leadership, the zero value when there is none.
type transfer struct {
	to    rlog.ID
	until time.Duration
}

func (t transfer) active() bool { return t.to != rlog.ID{} }

func (n *Node) becomeLeader() {
	n.role, n.leader = rlog.Leader, n.cfg.ID
	first := n.log.Last() + 1
	n.lead = leadership{firstOwn: first, proposals: track.NewProposals(first), checkedAt: n.now, beatAt: n.now}
	n.syncPeers()
	n.appendOwn(rlog.KindNoop, nil, 0)
	n.startRound()
}

// resign ends a leadership: callers learn that the outcome is not known here.
func (n *Node) resign() {
	for _, id := range n.lead.proposals.IDs() {
		n.drop(id, rlog.ReasonUnknown)
	}
	for _, id := range n.lead.rounds.Reads() {
		n.drop(id, rlog.ReasonNotLeader)
	}
	n.lead = leadership{}
}

func (n *Node) drop(id uint64, r rlog.Reason) {
	if id == 0 {
		return
	}
	d := rlog.Dropped{ID: id, Reason: r}
	if n.leader != n.cfg.ID {
		d.Leader = n.leader
	}
	n.events = append(n.events, d)
}

func (n *Node) appendOwn(kind uint8, data []byte, id uint64) {
	e := rlog.Entry{Index: n.log.Last() + 1, Term: n.hard.Term, Kind: kind, Data: data}
	n.log.Append(e)
	n.members = n.members.With(e)
	n.writer.MarkAppend(e.Index)
	n.lead.proposals.Add(id, len(data))
}

func (n *Node) propose(p rlog.Propose) {
	switch {
	case n.role != rlog.Leader || n.lead.transfer.active():
		n.drop(p.ID, rlog.ReasonNotLeader)
	case n.lead.proposals.Bytes() > n.cfg.MaxUncommitted:
		n.drop(p.ID, rlog.ReasonBusy)
	default:
		n.appendOwn(rlog.KindCommand, p.Data, p.ID)
	}
}

func (n *Node) changeMember(c rlog.ChangeMember) {
	if n.role != rlog.Leader || n.lead.transfer.active() {
		n.drop(c.ID, rlog.ReasonNotLeader)
		return
	}
	next, ok := n.members.Current().Change(c)
	newest := n.members.Newest()
	switch {
	case !ok:
		n.drop(c.ID, rlog.ReasonInvalid)
	case n.hard.Commit < max(newest, n.lead.firstOwn):
		n.drop(c.ID, rlog.ReasonChanging)
	case !c.Remove && c.Member.Voter && !n.caughtUp(c.Member.ID):
		n.drop(c.ID, rlog.ReasonLagging)
	default:
		data, err := wire.MarshalValue(next)
		rlog.Invariant(err == nil, "encoding the membership: %v", err)
		n.appendOwn(rlog.KindMembers, data, c.ID)
		n.syncPeers()
	}
}

// caughtUp reports whether a learner holds all that is committed.
func (n *Node) caughtUp(id rlog.ID) bool {
	p := n.lead.peers.Find(id)
	return p != nil && p.Match >= n.hard.Commit && n.now-p.ActiveAt < n.cfg.Election
}

// syncPeers makes the peers those of the current membership.
func (n *Node) syncPeers() {
	n.lead.peers = n.lead.peers.Sync(n.members.Current(), n.cfg.ID, n.log.Last()+1, n.now)
}

// quorum returns the highest value that a quorum of the voters has reached.
func (n *Node) quorum(own uint64, of func(*track.Peer) uint64) uint64 {
	if n.self() {
		return n.lead.peers.Quorum(of, own)
	}
	return n.lead.peers.Quorum(of)
}

func (n *Node) advanceCommit() {
	i := n.quorum(n.writer.Stable(), func(p *track.Peer) uint64 { return p.Match })
	if i <= n.hard.Commit {
		return
	}
	// Only an entry of the own term proves that no other leader can replace it.
	if t, _ := n.log.Term(i); t == n.hard.Term {
		n.commitTo(i)
		n.verified = n.hard.Commit
	}
}

func (n *Node) leaderTick() {
	if n.now-n.lead.checkedAt >= n.cfg.Election {
		n.lead.checkedAt = n.now
		if !n.checkQuorum() {
			n.becomeFollower(n.hard.Term, rlog.ID{})
			return
		}
	}
	if t := &n.lead.transfer; t.active() && n.now >= t.until {
		*t = transfer{}
	}
	for _, p := range n.lead.peers {
		if p.Overdue(n.now, n.cfg.Resend) {
			p.Reset()
		}
	}
	if n.now >= n.lead.beatAt {
		n.startRound()
		// Aligned, so that the heartbeats of all groups fall together.
		n.lead.beatAt = n.now.Truncate(n.cfg.Heartbeat) + n.cfg.Heartbeat
	}
}

// checkQuorum reports whether a quorum was heard within an election timeout.
func (n *Node) checkQuorum() bool {
	heard := n.quorum(1, func(p *track.Peer) uint64 {
		if n.now-p.ActiveAt < n.cfg.Election {
			return 1
		}
		return 0
	})
	return heard == 1
}

// leaveIfRemoved steps down once the own removal is committed.
func (n *Node) leaveIfRemoved() {
	newest := n.members.Newest()
	if !n.self() && newest <= n.hard.Commit {
		if p := n.lead.peers.MostAdvanced(n.now - n.cfg.Election); p != nil {
			n.send(p.ID, wire.AgreeTimeoutNow{})
		}
		n.becomeFollower(n.hard.Term, rlog.ID{})
	}
}

func (n *Node) startTransfer() {
	if n.role != rlog.Leader || n.lead.transfer.active() {
		return
	}
	if p := n.lead.peers.MostAdvanced(n.now - n.cfg.Election); p != nil {
		n.lead.transfer = transfer{to: p.ID, until: n.now + n.cfg.Election}
		n.continueTransfer(p)
	}
}

// continueTransfer hands over once the follower holds the whole log.
func (n *Node) continueTransfer(p *track.Peer) {
	if n.lead.transfer.to == p.ID && p.Match == n.log.Last() {
		n.send(p.ID, wire.AgreeTimeoutNow{})
	}
}
