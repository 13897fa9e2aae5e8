package raft

import (
	"time"

	"cyclamenrelay.example/rlog"
	"cyclamenrelay.example/track"
	"cyclamenrelay.example/wire"
)

// leaderState is the state that only a leader has; the zero value in other roles.
type leaderState struct {
	peers           track.Peers
	termStart       uint64        // index of the first entry of this term, a no-op
	heartbeatDue    time.Duration // when the next round of heartbeats is due
	quorumCheckedAt time.Duration // when contact with a quorum was last checked
	proposals       track.Proposals
	rounds          track.HeartbeatRounds
	transfer        transfer
}

// transfer is a leadership transfer in progress, the zero value when there is none.
type transfer struct {
	to       rlog.ID
	deadline time.Duration // when the transfer is given up
}

func (t transfer) active() bool { return t.to != rlog.ID{} }

func (n *Node) becomeLeader() {
	n.role, n.leaderID = rlog.Leader, n.cfg.ID
	first := n.log.Last() + 1
	n.leadership = leaderState{termStart: first, proposals: track.NewProposals(first), quorumCheckedAt: n.now, heartbeatDue: n.now}
	n.updatePeers()
	// The former leader may have been lost for the whole election.
	if p := n.leadership.peers.Find(n.lastLeader); p != nil {
		p.ActiveAt = n.leaderHeardAt
	}
	n.appendAsLeader(rlog.KindNoop, nil, 0)
	n.startHeartbeatRound()
}

// endLeadership ends the leadership. Uncommitted proposals are dropped with an
// unknown outcome, because the next leader may still commit them; reads are dropped
// as not served.
func (n *Node) endLeadership() {
	for _, id := range n.leadership.proposals.IDs() {
		n.dropRequest(id, rlog.ReasonUnknown)
	}
	for _, id := range n.leadership.rounds.Reads() {
		n.dropRequest(id, rlog.ReasonNotLeader)
	}
	n.leadership = leaderState{}
}

// dropRequest reports that this replica will not deliver the outcome of a request.
// Entries without a request have the ID 0.
func (n *Node) dropRequest(id uint64, r rlog.Reason) {
	if id == 0 {
		return
	}
	d := rlog.Dropped{ID: id, Reason: r}
	if n.leaderID != n.cfg.ID {
		d.Leader = n.leaderID
	}
	n.events = append(n.events, d)
}

// appendAsLeader appends an entry of this term to the leader's log. id is that of the
// request, 0 for none.
func (n *Node) appendAsLeader(kind uint8, data []byte, id uint64) {
	e := rlog.Entry{Index: n.log.Last() + 1, Term: n.hard.Term, Kind: kind, Data: data}
	n.log.Append(e)
	n.members = n.members.With(e)
	n.writer.MarkAppend(e.Index)
	n.leadership.proposals.Add(id, len(data))
}

func (n *Node) onPropose(p rlog.Propose) {
	switch {
	case n.role != rlog.Leader || n.leadership.transfer.active():
		n.dropRequest(p.ID, rlog.ReasonNotLeader)
	case n.leadership.proposals.Bytes() > n.cfg.MaxUncommittedBytes:
		n.dropRequest(p.ID, rlog.ReasonBusy)
	default:
		n.appendAsLeader(rlog.KindCommand, p.Data, p.ID)
	}
}

// onChangeMember appends a membership that differs in one member. It needs the
// previous change and an entry of this term to be committed.
func (n *Node) onChangeMember(c rlog.ChangeMember) {
	if n.role != rlog.Leader || n.leadership.transfer.active() {
		n.dropRequest(c.ID, rlog.ReasonNotLeader)
		return
	}
	next, ok := n.members.Current().Change(c)
	newest := n.members.Newest()
	switch {
	case !ok:
		n.dropRequest(c.ID, rlog.ReasonInvalid)
	case n.hard.Commit < max(newest, n.leadership.termStart):
		n.dropRequest(c.ID, rlog.ReasonChanging)
	case !c.Remove && c.Member.Voter && !n.caughtUp(c.Member.ID):
		n.dropRequest(c.ID, rlog.ReasonLagging)
	default:
		data, err := wire.MarshalValue(next)
		rlog.Invariant(err == nil, "encoding the membership: %v", err)
		n.appendAsLeader(rlog.KindMembers, data, c.ID)
		n.updatePeers()
	}
}

// caughtUp reports whether a learner holds all committed entries and was heard
// within the election timeout.
func (n *Node) caughtUp(id rlog.ID) bool {
	p := n.leadership.peers.Find(id)
	return p != nil && p.Match >= n.hard.Commit && n.now-p.ActiveAt < n.cfg.ElectionTimeout
}

// updatePeers updates the peers to the newest membership.
func (n *Node) updatePeers() {
	n.leadership.peers = n.leadership.peers.Update(n.members.Current(), n.cfg.ID, n.log.Last()+1, n.now)
}

// quorumValue returns the highest value that a quorum of the voters has reached:
// value gives a peer's value, own is that of this replica, counted if it is a
// voter.
func (n *Node) quorumValue(own uint64, value func(*track.Peer) uint64) uint64 {
	if n.isVoter() {
		return n.leadership.peers.Quorum(value, own)
	}
	return n.leadership.peers.Quorum(value)
}

// advanceCommit commits the entries that a quorum of the voters has synced.
func (n *Node) advanceCommit() {
	i := n.quorumValue(n.writer.SyncedIndex(), func(p *track.Peer) uint64 { return p.Match })
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
	if n.now-n.leadership.quorumCheckedAt >= n.cfg.ElectionTimeout {
		n.leadership.quorumCheckedAt = n.now
		if !n.quorumActive() {
			n.becomeFollower(n.hard.Term, rlog.ID{})
			return
		}
	}
	if t := &n.leadership.transfer; t.active() && n.now >= t.deadline {
		*t = transfer{}
	}
	for _, p := range n.leadership.peers {
		if p.Overdue(n.now, n.cfg.ResendAfter) {
			p.Reset()
		}
	}
	if n.now >= n.leadership.heartbeatDue {
		n.startHeartbeatRound()
		// Aligned to multiples of the interval, so that the heartbeats of all
		// groups share batches.
		n.leadership.heartbeatDue = n.now.Truncate(n.cfg.HeartbeatInterval) + n.cfg.HeartbeatInterval
	}
}

// quorumActive reports whether a quorum of the voters was heard within the
// election timeout.
func (n *Node) quorumActive() bool {
	heard := n.quorumValue(1, func(p *track.Peer) uint64 {
		if n.now-p.ActiveAt < n.cfg.ElectionTimeout {
			return 1
		}
		return 0
	})
	return heard == 1
}

// stepDownIfRemoved steps down once the removal of this leader from the voters is
// committed, and has the most advanced voter start an election at once.
func (n *Node) stepDownIfRemoved() {
	newest := n.members.Newest()
	if !n.isVoter() && newest <= n.hard.Commit {
		if p := n.leadership.peers.MostAdvanced(n.now - n.cfg.ElectionTimeout); p != nil {
			n.send(p.ID, wire.RaftTimeoutNow{})
		}
		n.becomeFollower(n.hard.Term, rlog.ID{})
	}
}

// startTransfer starts to transfer the leadership to the most advanced voter.
// Proposals and membership changes are dropped until it succeeds or an election
// timeout has passed.
func (n *Node) startTransfer() {
	if n.role != rlog.Leader || n.leadership.transfer.active() {
		return
	}
	if p := n.leadership.peers.MostAdvanced(n.now - n.cfg.ElectionTimeout); p != nil {
		n.leadership.transfer = transfer{to: p.ID, deadline: n.now + n.cfg.ElectionTimeout}
		n.continueTransfer(p)
	}
}

// continueTransfer tells the transfer's target to start an election once it
// holds the whole log.
func (n *Node) continueTransfer(p *track.Peer) {
	if n.leadership.transfer.to == p.ID && p.Match == n.log.Last() {
		n.send(p.ID, wire.RaftTimeoutNow{})
	}
}
