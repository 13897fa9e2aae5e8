package raft

import (
	"time"

	"cyclamenrelay.example/rlog"
	"cyclamenrelay.example/track"
	"cyclamenrelay.example/wire"
)

// Node is one replica of one Raft group. It is not safe for concurrent use.
type Node struct {
	cfg   Config
	epoch uint64 // random and not 0; tells this Node's heartbeat answers from those before a restart
	now   time.Duration
	// resumedAt is the time of the first step after a pause of this process, in which
	// it could not hear other replicas.
	resumedAt time.Duration

	role     rlog.Role
	hard     rlog.HardState
	leaderID rlog.ID
	log      rlog.Log
	snap     rlog.Snapshot
	// members is the membership history in the log. The newest membership is in
	// force as soon as it is appended, committed or not.
	members rlog.MembershipHistory
	// verified is the index up to which the log is known to match that of this
	// term's leader.
	verified uint64
	applied  uint64

	electionAt    time.Duration // when the election timeout expires
	leaderHeardAt time.Duration // when the last message of a leader was received
	lastLeader    rlog.ID       // the sender of that message
	votes         map[rlog.ID]bool
	ownVoteSeq    uint64 // sequence number of the write that holds the candidate's vote for itself

	writer           rlog.WriteCollector
	leadership       leaderState
	freshness        track.Freshness // the newest proof whose index is applied
	pendingFreshness track.Freshness // a proof whose index is not applied yet
	incomingSnapshot partialSnapshot

	bytesSinceSnapshot int  // bytes of entry data applied since the last snapshot
	snapshotRequested  bool // a snapshot was requested and not delivered yet
	reportedRole       rlog.RoleChanged

	// The effects of the current step.
	sends  []rlog.Send
	events []rlog.Effect
	out    []rlog.Effect
}

// New returns a follower that continues from the state in cfg.Stored.
func New(cfg Config) *Node {
	cfg = cfg.withDefaults()
	s := cfg.Stored
	n := &Node{cfg: cfg, epoch: cfg.Rand.Uint64() | 1, hard: s.Hard, snap: s.Snapshot}
	n.log = rlog.NewLog(s.Snapshot.Index, s.Snapshot.Term)
	n.members = rlog.NewMemberLog(s.Snapshot.Index, s.Snapshot.Members)
	for _, e := range s.Entries {
		if e.Index <= s.Snapshot.Index {
			continue
		}
		rlog.Invariant(e.Index == n.log.Last()+1 && e.Term >= n.log.LastTerm() && e.Term <= s.Hard.Term,
			"stored entry %d of term %d does not follow the last entry %d", e.Index, e.Term, n.log.Last())
		n.log.Append(e)
		n.members = n.members.With(e)
	}
	n.hard.Commit = max(n.hard.Commit, s.Snapshot.Index)
	rlog.Invariant(n.hard.Commit <= n.log.Last(), "stored commit index %d is after the last entry %d", n.hard.Commit, n.log.Last())
	n.applied, n.verified = s.Snapshot.Index, n.hard.Commit
	n.writer = rlog.NewWriter(n.log.Last())
	n.reportedRole = rlog.RoleChanged{Role: rlog.Follower, Term: n.hard.Term}
	n.cfg.Stored = rlog.StoredState{}
	return n
}

// Step handles the inputs and returns the effects, which are valid until the
// next step. now is read from the process's monotonic clock.
func (n *Node) Step(now time.Duration, inputs ...rlog.Input) []rlog.Effect {
	if now < n.now {
		rlog.InvariantBroken("the monotonic clock went back from %v to %v", n.now, now)
	}
	if n.electionAt == 0 {
		n.now = now
		n.resetElectionTimeout()
	}
	if now-n.now > n.cfg.ElectionTimeout/2 {
		n.resumedAt = now
	}
	n.now = now
	n.sends, n.events, n.out = n.sends[:0], n.events[:0], n.out[:0]
	term, commit := n.hard.Term, n.hard.Commit
	for _, in := range inputs {
		n.handle(in)
	}
	n.finishStep()
	if n.hard.Term < term || n.hard.Commit < commit {
		rlog.InvariantBroken("went back from term %d, commit %d to term %d, commit %d", term, commit, n.hard.Term, n.hard.Commit)
	}
	if n.applied > n.hard.Commit || n.hard.Commit > n.log.Last() {
		rlog.InvariantBroken("indexes are not in order: applied %d, commit %d, last %d", n.applied, n.hard.Commit, n.log.Last())
	}
	return n.out
}

func (n *Node) handle(in rlog.Input) {
	switch in := in.(type) {
	case rlog.Tick:
		n.tick()
	case rlog.Receive:
		n.receive(in)
	case rlog.Persisted:
		n.onPersisted(in.Seq)
	case rlog.Propose:
		n.onPropose(in)
	case rlog.Read:
		n.onRead(in.ID)
	case rlog.ChangeMember:
		n.onChangeMember(in)
	case rlog.TransferLeadership:
		n.startTransfer()
	case rlog.SnapshotTaken:
		n.onCompacted(in)
	}
}

func (n *Node) tick() {
	if n.role == rlog.Leader {
		n.leaderTick()
		return
	}
	if n.now < n.electionAt {
		return
	}
	n.resetElectionTimeout()
	if n.isVoter() {
		n.startPreVote()
	}
}

// isVoter reports whether this replica is a voter.
func (n *Node) isVoter() bool { return n.members.Current().IsVoter(n.cfg.ID) }

func (n *Node) receive(m rlog.Receive) {
	if m.Body == nil || m.From == n.cfg.ID {
		return
	}
	if m.Term < n.hard.Term {
		n.receiveOlderTerm(m)
		return
	}
	if m.Term > n.hard.Term && !n.receiveNewerTerm(m) {
		return
	}
	switch b := m.Body.(type) {
	case wire.RaftVote:
		n.onVoteRequest(m, b)
	case wire.RaftVoteAnswer:
		n.onVoteAnswer(m, b)
	case wire.RaftTimeoutNow:
		n.onTimeoutNow()
	case wire.RaftAppend:
		n.onLeaderMessage(m.From)
		n.onAppend(m.From, b)
	case wire.RaftHeartbeat:
		n.onLeaderMessage(m.From)
		n.onHeartbeat(m.From, b)
	case wire.RaftSnapshot:
		n.onLeaderMessage(m.From)
		n.onSnapshot(m.From, b)
	default:
		n.onAnswer(m)
	}
}

// receiveOlderTerm answers a message of an older term, so that its sender learns the
// current term.
func (n *Node) receiveOlderTerm(m rlog.Receive) {
	switch b := m.Body.(type) {
	case wire.RaftAppend, wire.RaftHeartbeat, wire.RaftSnapshot:
		n.sendAfterSync(m.From, wire.RaftHeartbeatAnswer{}, n.writer.HardSeq())
	case wire.RaftVote:
		if b.Pre {
			n.sendAfterSync(m.From, wire.RaftVoteAnswer{Pre: true}, n.writer.HardSeq())
		}
	}
}

// receiveNewerTerm handles the term of a message of a newer term, and reports whether
// the message itself is to be handled. A vote request is ignored while a leader
// is active, unless that leader transfers its leadership. Pre-vote requests and
// granted pre-votes do not change the term.
func (n *Node) receiveNewerTerm(m rlog.Receive) bool {
	switch b := m.Body.(type) {
	case wire.RaftVote:
		if n.leaderActive() && !b.Transfer {
			return false
		}
		if b.Pre {
			return true
		}
	case wire.RaftVoteAnswer:
		if b.Pre && b.Granted {
			return true
		}
	}
	n.becomeFollower(m.Term, rlog.ID{})
	return true
}

// finishStep completes a step once all inputs are handled, and collects its effects
// in n.out: the write first, then the messages, then the other events. Inputs of
// one step thus share a write, appends and a round of heartbeats.
func (n *Node) finishStep() {
	if n.role == rlog.Leader {
		n.advanceCommit()
		n.startReadRound()
		n.replicate()
	}
	n.applyCommitted()
	n.advanceFreshness()
	if n.role == rlog.Leader {
		n.completeReads()
		n.stepDownIfRemoved()
	}
	if r := (rlog.RoleChanged{Role: n.role, Term: n.hard.Term, Leader: n.leaderID}); r != n.reportedRole {
		n.reportedRole = r
		n.events = append(n.events, r)
	}
	if p, ok := n.writer.TakeWrite(n.hard, &n.log); ok {
		n.out = append(n.out, p)
	}
	for _, m := range n.sends {
		n.out = append(n.out, m)
	}
	n.out = append(n.out, n.events...)
}

// applyCommitted emits the committed entries that are not applied yet, and requests a
// snapshot when one is due.
func (n *Node) applyCommitted() {
	if n.applied == n.hard.Commit {
		return
	}
	es := n.log.Slice(n.applied+1, n.hard.Commit)
	for i := range es {
		n.bytesSinceSnapshot += len(es[i].Data)
	}
	n.events = append(n.events, rlog.Apply{Entries: es, Proposals: n.leadership.proposals.Take(es)})
	n.applied = n.hard.Commit
	due := n.applied-n.snap.Index >= n.cfg.SnapshotEntries || n.bytesSinceSnapshot >= n.cfg.SnapshotBytes
	if due && !n.snapshotRequested {
		n.snapshotRequested = true
		n.events = append(n.events, rlog.SnapshotWanted{})
	}
}

func (n *Node) commitTo(i uint64) { n.hard.Commit = max(n.hard.Commit, i) }

// send sends a message at once. The message must not depend on unsynced state.
func (n *Node) send(to rlog.ID, body wire.RaftBody) {
	n.sends = append(n.sends, rlog.Send{To: to, Term: n.hard.Term, Body: body})
}

// sendAfterSync sends a message, such as a vote or an acknowledgement, once the write
// with the sequence number seq is synced.
func (n *Node) sendAfterSync(to rlog.ID, body wire.RaftBody, seq uint64) {
	if seq <= n.writer.Synced() {
		n.send(to, body)
		return
	}
	n.writer.Hold(seq, rlog.Send{To: to, Term: n.hard.Term, Body: body})
}

// onPersisted handles the sync of all writes up to seq.
func (n *Node) onPersisted(seq uint64) {
	n.sends = append(n.sends, n.writer.Persisted(seq, n.hard.Term)...)
	if n.role == rlog.Candidate && n.ownVoteSeq <= seq {
		n.votes[n.cfg.ID] = true
		n.countVotes()
	}
}

// Status returns the state of the replica for logs and metrics.
func (n *Node) Status() rlog.Status {
	s := rlog.Status{
		Role: n.role, Term: n.hard.Term, Leader: n.leaderID, Commit: n.hard.Commit,
		Last: n.log.Last(), Members: n.members.Current(), Changing: n.hard.Commit < n.members.Newest(),
	}
	if n.role == rlog.Leader {
		s.Match = make(map[rlog.ID]uint64, len(n.leadership.peers))
		s.Silence = make(map[rlog.ID]time.Duration, len(n.leadership.peers))
		for _, p := range n.leadership.peers {
			s.Match[p.ID], s.Silence[p.ID] = p.Match, n.now-max(p.ActiveAt, n.resumedAt)
		}
	}
	return s
}
