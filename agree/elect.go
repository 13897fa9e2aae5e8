package agree

import (
	"time"

	"cyclamenrelay.example/rlog"
	"cyclamenrelay.example/wire"
)

func (n *Node) resetElection() {
	e := n.cfg.Election
	n.electionAt = n.now + e + time.Duration(n.cfg.Rand.Int64N(int64(e)))
}

// leased reports whether a leader is in office, so that votes are not given.
func (n *Node) leased() bool {
	return n.role == rlog.Leader || n.leader != rlog.ID{} && n.now-n.heardAt < n.cfg.Election
}

// setTerm enters a newer term.
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

// heard notes a message of the leader of this term.
func (n *Node) heard(from rlog.ID) {
	if n.leader != from {
		rlog.Invariant(n.leader == rlog.ID{}, "term %d has the leaders %v and %v", n.hard.Term, n.leader, from)
		n.becomeFollower(n.hard.Term, from)
	}
	n.heardAt = n.now
	n.resetElection()
}

// preCampaign asks whether an election could be won, without disturbing anyone.
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

// campaign starts an election. The requests leave once the own vote is synced.
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

func (n *Node) onTimeoutNow() {
	if n.role == rlog.Follower && n.self() {
		n.campaign(true)
	}
}
