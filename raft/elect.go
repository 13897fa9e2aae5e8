package raft

import (
	"time"

	"cyclamenrelay.example/rlog"
	"cyclamenrelay.example/wire"
)

// resetElectionTimeout restarts the election timeout, drawn at random from 1 to 2
// times Config.ElectionTimeout.
func (n *Node) resetElectionTimeout() {
	e := n.cfg.ElectionTimeout
	n.electionAt = n.now + e + time.Duration(n.cfg.Rand.Int64N(int64(e)))
}

// leaderActive reports whether this replica leads, or has heard the leader within the
// election timeout. Votes for other candidates are refused then.
func (n *Node) leaderActive() bool {
	return n.role == rlog.Leader || n.leaderID != rlog.ID{} && n.now-n.leaderHeardAt < n.cfg.ElectionTimeout
}

// enterTerm enters a newer term without a vote and a known leader.
func (n *Node) enterTerm(term uint64) {
	n.hard.Term, n.hard.Vote = term, rlog.ID{}
	n.leaderID = rlog.ID{}
	n.verified = n.hard.Commit
	n.incomingSnapshot = partialSnapshot{}
	n.writer.MarkHard()
}

func (n *Node) becomeFollower(term uint64, leader rlog.ID) {
	if n.role == rlog.Leader {
		n.endLeadership()
	}
	if term > n.hard.Term {
		n.enterTerm(term)
	}
	if n.role != rlog.Follower {
		n.resetElectionTimeout()
	}
	n.role, n.leaderID = rlog.Follower, leader
}

// onLeaderMessage notes a message from the leader of the current term.
func (n *Node) onLeaderMessage(from rlog.ID) {
	if n.leaderID != from {
		rlog.Invariant(n.leaderID == rlog.ID{}, "term %d has the leaders %v and %v", n.hard.Term, n.leaderID, from)
		n.becomeFollower(n.hard.Term, from)
	}
	n.leaderHeardAt, n.lastLeader = n.now, from
	n.resetElectionTimeout()
}

// startPreVote asks the voters whether they would vote for this replica in the
// next term. No term changes, so that a replica that cannot win does not depose
// a leader.
func (n *Node) startPreVote() {
	n.role, n.leaderID = rlog.PreCandidate, rlog.ID{}
	n.votes = map[rlog.ID]bool{n.cfg.ID: true}
	for _, m := range n.members.Current() {
		if m.Voter && m.ID != n.cfg.ID {
			n.sends = append(n.sends, rlog.Send{To: m.ID, Term: n.hard.Term + 1, Body: n.voteRequest(true, false)})
		}
	}
	n.countVotes()
}

// startElection starts an election in a new term. The vote requests are sent once the
// vote for itself is synced. transfer marks an election that the leader asked for.
func (n *Node) startElection(transfer bool) {
	n.enterTerm(n.hard.Term + 1)
	n.role, n.hard.Vote = rlog.Candidate, n.cfg.ID
	n.resetElectionTimeout()
	n.votes = map[rlog.ID]bool{}
	n.ownVoteSeq = n.writer.Seq()
	for _, m := range n.members.Current() {
		if m.Voter && m.ID != n.cfg.ID {
			n.sendAfterSync(m.ID, n.voteRequest(false, transfer), n.ownVoteSeq)
		}
	}
}

func (n *Node) voteRequest(pre, transfer bool) wire.RaftVote {
	return wire.RaftVote{LastIndex: n.log.Last(), LastTerm: n.log.LastTerm(), Pre: pre, Transfer: transfer}
}

func (n *Node) onVoteRequest(m rlog.Receive, b wire.RaftVote) {
	mayVote := n.hard.Vote == m.From || n.hard.Vote == rlog.ID{} && n.leaderID == rlog.ID{} || b.Pre && m.Term > n.hard.Term
	last, lastTerm := n.log.Last(), n.log.LastTerm()
	upToDate := b.LastTerm > lastTerm || b.LastTerm == lastTerm && b.LastIndex >= last
	granted := mayVote && upToDate
	if b.Pre {
		a := rlog.Send{To: m.From, Term: n.hard.Term, Body: wire.RaftVoteAnswer{Pre: true, Granted: granted}}
		if granted {
			a.Term = m.Term
		}
		n.sends = append(n.sends, a)
		return
	}
	if granted && n.hard.Vote != m.From {
		n.hard.Vote = m.From
		n.writer.MarkHard()
		n.resetElectionTimeout()
	}
	n.sendAfterSync(m.From, wire.RaftVoteAnswer{Granted: granted}, n.writer.HardSeq())
}

func (n *Node) onVoteAnswer(m rlog.Receive, b wire.RaftVoteAnswer) {
	switch {
	case !b.Granted:
		return
	case b.Pre && (n.role != rlog.PreCandidate || m.Term != n.hard.Term+1):
		return
	case !b.Pre && (n.role != rlog.Candidate || m.Term != n.hard.Term):
		return
	}
	n.votes[m.From] = true
	n.countVotes()
}

// countVotes proceeds to the election, or to leadership, when a majority of the
// voters has granted its vote.
func (n *Node) countVotes() {
	granted, members := 0, n.members.Current()
	for _, m := range members {
		if m.Voter && n.votes[m.ID] {
			granted++
		}
	}
	if granted <= members.Voters()/2 {
		return
	}
	if n.role == rlog.PreCandidate {
		n.startElection(false)
		return
	}
	n.becomeLeader()
}

// onTimeoutNow starts an election at once, without a pre-vote, for a leader that
// hands over its leadership.
func (n *Node) onTimeoutNow() {
	if n.role == rlog.Follower && n.isVoter() {
		n.startElection(true)
	}
}
