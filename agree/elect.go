package agree

import (
	"time"

	"cyclamenrelay.example/rlog"
	"cyclamenrelay.example/wire"
)

// resetElection restarts the election timeout, drawn at random from 1 to 2 times
// Config.Election.
func (n *Node) resetElection() {
	e := n.cfg.Election
	n.electionAt = n.now + e + time.Duration(n.cfg.Rand.Int64N(int64(e)))
}

// leased reports whether this replica leads, or has heard the leader within the
// election timeout. Votes for other candidates are refused then.
func (n *Node) leased() bool {
	return n.role == rlog.Leader || n.leader != rlog.ID{} && n.now-n.heardAt < n.cfg.Election
}

// setTerm enters a newer term without a vote and a known leader.
func (n *Node) setTerm(term uint64) {
	n.hard.Term, n.hard.Vote = term, rlog.ID{}
	n.leader = rlog.ID{}
	n.verified = n.hard.Commit
	n.partial = partialSnapshot{}
	n.writer.MarkHard()
}

func (n *Node) becomeFollower(term uint64, leader rlog.ID) {
	if n.role == rlog.Leader {
		n.resign()
	}
	if term > n.hard.Term {
		n.setTerm(term)
	}
	if n.role != rlog.Follower {
		n.resetElection()
	}
	n.role, n.leader = rlog.Follower, leader
}

// heard notes a message from the leader of the current term.
func (n *Node) heard(from rlog.ID) {
	if n.leader != from {
		rlog.Invariant(n.leader == rlog.ID{}, "term %d has the leaders %v and %v", n.hard.Term, n.leader, from)
		n.becomeFollower(n.hard.Term, from)
	}
	n.heardAt = n.now
	n.resetElection()
}

// preCampaign asks the voters whether they would vote for this replica in the
// next term. No term changes, so that a replica that cannot win does not depose
// a leader.
func (n *Node) preCampaign() {
	n.role, n.leader = rlog.PreCandidate, rlog.ID{}
	n.votes = map[rlog.ID]bool{n.cfg.ID: true}
	for _, m := range n.members.Current() {
		if m.Voter && m.ID != n.cfg.ID {
			n.sends = append(n.sends, rlog.Send{To: m.ID, Term: n.hard.Term + 1, Body: n.voteRequest(true, false)})
		}
	}
	n.countVotes()
}

// campaign starts an election in a new term. The vote requests are sent once the
// vote for itself is synced. transfer marks an election that the leader asked for.
func (n *Node) campaign(transfer bool) {
	n.setTerm(n.hard.Term + 1)
	n.role, n.hard.Vote = rlog.Candidate, n.cfg.ID
	n.resetElection()
	n.votes = map[rlog.ID]bool{}
	n.ownVote = n.writer.Seq()
	for _, m := range n.members.Current() {
		if m.Voter && m.ID != n.cfg.ID {
			n.promise(m.ID, n.voteRequest(false, transfer), n.ownVote)
		}
	}
}

func (n *Node) voteRequest(pre, transfer bool) wire.AgreeVote {
	return wire.AgreeVote{LastIndex: n.log.Last(), LastTerm: n.log.LastTerm(), Pre: pre, Transfer: transfer}
}

func (n *Node) onVote(m rlog.Receive, b wire.AgreeVote) {
	free := n.hard.Vote == m.From || n.hard.Vote == rlog.ID{} && n.leader == rlog.ID{} || b.Pre && m.Term > n.hard.Term
	last, lastTerm := n.log.Last(), n.log.LastTerm()
	upToDate := b.LastTerm > lastTerm || b.LastTerm == lastTerm && b.LastIndex >= last
	granted := free && upToDate
	if b.Pre {
		a := rlog.Send{To: m.From, Term: n.hard.Term, Body: wire.AgreeVoteAnswer{Pre: true, Granted: granted}}
		if granted {
			a.Term = m.Term
		}
		n.sends = append(n.sends, a)
		return
	}
	if granted && n.hard.Vote != m.From {
		n.hard.Vote = m.From
		n.writer.MarkHard()
		n.resetElection()
	}
	n.promise(m.From, wire.AgreeVoteAnswer{Granted: granted}, n.writer.HardSeq())
}

func (n *Node) onVoteAnswer(m rlog.Receive, b wire.AgreeVoteAnswer) {
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
		n.campaign(false)
		return
	}
	n.becomeLeader()
}

// onTimeoutNow starts an election at once, without a pre-vote, for a leader that
// hands over its leadership.
func (n *Node) onTimeoutNow() {
	if n.role == rlog.Follower && n.self() {
		n.campaign(true)
	}
}
