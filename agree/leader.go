package agree

import (
	"time"

	"cyclamenrelay.example/rlog"
	"cyclamenrelay.example/track"
	"cyclamenrelay.example/wire"
)

// leadership is the state that only a leader has; the zero value in other roles.
type leadership struct {
	peers     track.Peers
	firstOwn  uint64        // index of the first entry of this term, a no-op
	beatAt    time.Duration // when the next round of heartbeats is due
	checkedAt time.Duration // when contact with a quorum was last checked
	proposals track.Proposals
	rounds    track.Rounds
	transfer  transfer
}

// transfer is a leadership transfer in progress, the zero value when there is none.
type transfer struct {
	to    rlog.ID
	until time.Duration // when the transfer is given up
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

// resign ends the leadership. Uncommitted proposals are dropped with an unknown
// outcome, because the next leader may still commit them; reads are dropped as
// not served.
func (n *Node) resign() {
	for _, id := range n.lead.proposals.IDs() {
		n.drop(id, rlog.ReasonUnknown)
	}
	for _, id := range n.lead.rounds.Reads() {
		n.drop(id, rlog.ReasonNotLeader)
	}
	n.lead = leadership{}
}

// drop reports that this replica will not deliver the outcome of a request.
// Entries without a request have the ID 0.
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

// appendOwn appends an entry of this term to the leader's log. id is that of the
// request, 0 for none.
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

// changeMember appends a membership that differs in one member. It needs the
// previous change and an entry of this term to be committed.
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

// caughtUp reports whether a learner holds all committed entries and was heard
// within the election timeout.
func (n *Node) caughtUp(id rlog.ID) bool {
	p := n.lead.peers.Find(id)
	return p != nil && p.Match >= n.hard.Commit && n.now-p.ActiveAt < n.cfg.Election
}

// syncPeers updates the peers to the newest membership.
func (n *Node) syncPeers() {
	n.lead.peers = n.lead.peers.Sync(n.members.Current(), n.cfg.ID, n.log.Last()+1, n.now)
}

// quorum returns the highest value that a quorum of the voters has reached: of
// gives a peer's value, own is that of this replica, counted if it is a voter.
func (n *Node) quorum(own uint64, of func(*track.Peer) uint64) uint64 {
	if n.self() {
		return n.lead.peers.Quorum(of, own)
	}
	return n.lead.peers.Quorum(of)
}

// advanceCommit commits the entries that a quorum of the voters has synced.
func (n *Node) advanceCommit() {
	i := n.quorum(n.writer.Stable(), func(p *track.Peer) uint64 { return p.Match })
	if i <= n.hard.Commit {
		return
	}
	// An entry of an earlier term can still be replaced by another leader, even
	// when a quorum holds it; it is committed along with one of the current term.
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
		// Aligned to multiples of the interval, so that the heartbeats of all
		// groups share batches.
		n.lead.beatAt = n.now.Truncate(n.cfg.Heartbeat) + n.cfg.Heartbeat
	}
}

// checkQuorum reports whether a quorum of the voters was heard within the
// election timeout.
func (n *Node) checkQuorum() bool {
	heard := n.quorum(1, func(p *track.Peer) uint64 {
		if n.now-p.ActiveAt < n.cfg.Election {
			return 1
		}
		return 0
	})
	return heard == 1
}

// leaveIfRemoved steps down once the removal of this leader from the voters is
// committed, and has the most advanced voter start an election at once.
func (n *Node) leaveIfRemoved() {
	newest := n.members.Newest()
	if !n.self() && newest <= n.hard.Commit {
		if p := n.lead.peers.MostAdvanced(n.now - n.cfg.Election); p != nil {
			n.send(p.ID, wire.AgreeTimeoutNow{})
		}
		n.becomeFollower(n.hard.Term, rlog.ID{})
	}
}

// startTransfer starts to transfer the leadership to the most advanced voter.
// Proposals and membership changes are dropped until it succeeds or an election
// timeout has passed.
func (n *Node) startTransfer() {
	if n.role != rlog.Leader || n.lead.transfer.active() {
		return
	}
	if p := n.lead.peers.MostAdvanced(n.now - n.cfg.Election); p != nil {
		n.lead.transfer = transfer{to: p.ID, until: n.now + n.cfg.Election}
		n.continueTransfer(p)
	}
}

// continueTransfer tells the transfer's target to start an election once it
// holds the whole log.
func (n *Node) continueTransfer(p *track.Peer) {
	if n.lead.transfer.to == p.ID && p.Match == n.log.Last() {
		n.send(p.ID, wire.AgreeTimeoutNow{})
	}
}
