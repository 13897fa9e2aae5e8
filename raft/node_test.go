package raft_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"cyclamenrelay.example/raft"
	"cyclamenrelay.example/rlog"
	"cyclamenrelay.example/wire"

	"gotest.tools/v3/assert"
)

var reliable = faults{maxDelay: time.Millisecond}

func id(name string) rlog.ID { return rlog.ID{Name: name, Incarnation: 1} }

func threeVoters() rlog.Membership {
	var m rlog.Membership
	for _, x := range []string{"a", "b", "c"} {
		m = m.With(rlog.Member{ID: id(x), Voter: true})
	}
	return m
}

func newNode(st rlog.StoredState) *raft.Node {
	return raft.New(raft.Config{ID: id("a"), Stored: st, Rand: rand.New(rand.NewPCG(1, 1)), ElectionTimeout: election, KeepEntries: 1})
}

func receive(from string, term uint64, b wire.RaftBody) rlog.Input {
	return rlog.Receive{From: id(from), Term: term, Body: b}
}

// sent returns the first message of type B among the effects.
func sent[B wire.RaftBody](es []rlog.Effect) (B, bool) {
	for _, e := range es {
		if s, ok := e.(rlog.Send); ok {
			if b, ok := s.Body.(B); ok {
				return b, true
			}
		}
	}
	var none B
	return none, false
}

// runFor advances the simulation by d.
func (s *sim) runFor(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.advance()
	}
}

// awaitLeader waits until a leader has committed an entry of its term, and returns
// it.
func (s *sim) awaitLeader() *replica {
	for s.leader() == nil || s.leader().node.Status().Commit < 2 {
		s.advance()
	}
	return s.leader()
}

// completeOps runs the client until n more operations have succeeded.
func (s *sim) completeOps(n int) {
	for end := s.acked + n; s.acked < end; s.advance() {
		s.startOp()
	}
}

// isolate partitions a replica from all others.
func (s *sim) isolate(r *replica) { s.partition = map[string]int{r.id.Name: 1} }

func TestOnlyEntriesOfTheOwnTermAreCommittedByCounting(t *testing.T) {
	st := rlog.Bootstrap(threeVoters(), nil)
	st.Hard.Term = 3
	st.Entries = []rlog.Entry{{Index: 2, Term: 2}}
	n := newNode(st)
	n.Step(time.Second, rlog.Tick{})
	n.Step(2*time.Second, rlog.Tick{})
	n.Step(2*time.Second, receive("b", 4, wire.RaftVoteAnswer{Pre: true, Granted: true}))
	n.Step(2*time.Second, rlog.Persisted{Seq: 1})
	n.Step(2*time.Second, receive("b", 4, wire.RaftVoteAnswer{Granted: true}))
	n.Step(2*time.Second, rlog.Persisted{Seq: 2})
	assert.Equal(t, n.Status().Role, rlog.Leader)
	n.Step(2*time.Second, receive("b", 4, wire.RaftAppendAnswer{Index: 2}))
	assert.Equal(t, n.Status().Commit, uint64(1))
	n.Step(2*time.Second, receive("b", 4, wire.RaftAppendAnswer{Index: 3}))
	assert.Equal(t, n.Status().Commit, uint64(3))
}

func TestVotesAndAcknowledgementsWaitForSync(t *testing.T) {
	n := newNode(rlog.Bootstrap(threeVoters(), nil))
	out := n.Step(time.Second, receive("b", 2, wire.RaftVote{LastIndex: 1, LastTerm: 1}))
	_, ok := sent[wire.RaftVoteAnswer](out)
	assert.Assert(t, !ok, "the vote was sent before it was synced")
	v, ok := sent[wire.RaftVoteAnswer](n.Step(time.Second, rlog.Persisted{Seq: 1}))
	assert.Assert(t, ok && v.Granted)
	out = n.Step(time.Second, receive("b", 2, wire.RaftAppend{PrevIndex: 1, PrevTerm: 1, Entries: []rlog.Entry{{Index: 2, Term: 2}}}))
	_, ok = sent[wire.RaftAppendAnswer](out)
	assert.Assert(t, !ok, "the acknowledgement was sent before the entry was synced")
	a, ok := sent[wire.RaftAppendAnswer](n.Step(time.Second, rlog.Persisted{Seq: 2}))
	assert.Assert(t, ok && a.Index == 2)
	v, ok = sent[wire.RaftVoteAnswer](n.Step(time.Second, receive("c", 2, wire.RaftVote{LastIndex: 9, LastTerm: 2})))
	assert.Assert(t, ok && !v.Granted, "a second vote was granted in the same term")
}

// newLeader returns a leader of term 2 whose first entry, 2, is not synced yet.
func newLeader() *raft.Node {
	n := newNode(rlog.Bootstrap(threeVoters(), nil))
	n.Step(time.Second)
	n.Step(2*time.Second, rlog.Tick{}, receive("b", 2, wire.RaftVoteAnswer{Pre: true, Granted: true}))
	n.Step(2*time.Second, rlog.Persisted{Seq: 1}, receive("b", 2, wire.RaftVoteAnswer{Granted: true}))
	return n
}

func TestEntriesAfterASentSnapshotAreKept(t *testing.T) {
	n := newLeader()
	n.Step(2*time.Second, rlog.Propose{ID: 1}, rlog.Propose{ID: 2}, rlog.Propose{ID: 3})
	n.Step(2*time.Second, rlog.Persisted{Seq: 3}, receive("c", 2, wire.RaftAppendAnswer{Index: 5}))
	assert.Equal(t, n.Status().Commit, uint64(5))
	out := n.Step(2*time.Second, receive("b", 2, wire.RaftAppendAnswer{Index: 1, Reject: true}))
	s, ok := sent[wire.RaftSnapshot](out)
	assert.Assert(t, ok && s.Index == 1)
	n.Step(2*time.Second, rlog.SnapshotTaken{Index: 5})
	out = n.Step(2*time.Second, receive("b", 2, wire.RaftSnapshotAnswer{Index: 1, Done: true}))
	a, ok := sent[wire.RaftAppend](out)
	assert.Assert(t, ok && a.PrevIndex == 1 && len(a.Entries) == 4)
}

func TestSnapshotCoveredByTheLogKeepsLaterEntries(t *testing.T) {
	n := newNode(rlog.Bootstrap(threeVoters(), nil))
	es := []rlog.Entry{{Index: 2, Term: 2}, {Index: 3, Term: 2}, {Index: 4, Term: 2}}
	n.Step(time.Second, receive("b", 2, wire.RaftAppend{PrevIndex: 1, PrevTerm: 1, Entries: es}))
	n.Step(time.Second, receive("b", 2, wire.RaftSnapshot{Index: 3, Term: 2, Members: threeVoters()}))
	assert.Equal(t, n.Status().Last, uint64(4), "an entry that may have been acknowledged was dropped")
	assert.Equal(t, n.Status().Commit, uint64(3))
}

func TestLeaderCountsItselfOnceSynced(t *testing.T) {
	n := newLeader()
	n.Step(2*time.Second, receive("b", 2, wire.RaftAppendAnswer{Index: 2}))
	assert.Equal(t, n.Status().Commit, uint64(1))
	n.Step(2*time.Second, rlog.Persisted{Seq: 2})
	assert.Equal(t, n.Status().Commit, uint64(2))
}

func TestStaleAppendsDoNotTruncate(t *testing.T) {
	n := newNode(rlog.Bootstrap(threeVoters(), nil))
	es := []rlog.Entry{{Index: 2, Term: 2}, {Index: 3, Term: 2}, {Index: 4, Term: 2}}
	n.Step(time.Second, receive("b", 2, wire.RaftAppend{PrevIndex: 1, PrevTerm: 1, Entries: es}))
	n.Step(time.Second, receive("b", 2, wire.RaftAppend{PrevIndex: 1, PrevTerm: 1, Entries: es[:1], Commit: 2}))
	n.Step(time.Second, receive("b", 1, wire.RaftAppend{PrevIndex: 1, PrevTerm: 1, Commit: 4}))
	assert.Equal(t, n.Status().Last, uint64(4))
	assert.Equal(t, n.Status().Commit, uint64(2))
}

func TestPartitionedFollowerDoesNotDeposeTheLeader(t *testing.T) {
	s := newSim(t, 1, 3, reliable)
	l := s.awaitLeader()
	term := l.node.Status().Term
	for _, r := range s.replicas {
		if r != l {
			s.isolate(r)
			s.runFor(2 * time.Second)
			s.partition = nil
			s.runFor(2 * time.Second)
		}
	}
	assert.Equal(t, l.node.Status().Term, term)
	assert.Equal(t, l.node.Status().Role, rlog.Leader)
}

func TestFollowerCutOffFromTheLeaderDoesNotDeposeIt(t *testing.T) {
	s := newSim(t, 1, 3, reliable)
	l := s.awaitLeader()
	term := l.node.Status().Term
	for _, r := range s.replicas {
		if r != l {
			s.brokenLink = [2]rlog.ID{l.id, r.id}
			s.runFor(2 * time.Second)
		}
	}
	assert.Equal(t, l.node.Status().Term, term)
	assert.Equal(t, l.node.Status().Role, rlog.Leader)
}

func TestPartitionedLeaderServesNothingAndStepsDown(t *testing.T) {
	s := newSim(t, 1, 3, reliable)
	old := s.awaitLeader()
	s.isolate(old)
	s.ops[1<<40] = op{call: s.now, at: old.id}
	s.step(old, rlog.Read{ID: 1 << 40})
	s.step(old, rlog.Propose{ID: 1 << 41})
	s.runFor(3 * election)
	assert.Equal(t, old.node.Status().Role, rlog.Follower)
	assert.Equal(t, s.dropped[1<<40], rlog.ReasonNotLeader)
	assert.Equal(t, s.dropped[1<<41], rlog.ReasonUnknown)
	s.completeOps(5)
	s.partition = nil
	s.runFor(time.Second)
	s.checkConverged()
}

func TestLaggingFollowerGetsASnapshot(t *testing.T) {
	s := newSim(t, 1, 3, reliable)
	l := s.awaitLeader()
	f := s.replicas[0]
	if f == l {
		f = s.replicas[1]
	}
	s.crash(f)
	f.restartAt = 1 << 60
	s.completeOps(300)
	f.restartAt = s.now
	s.runFor(time.Second)
	assert.Assert(t, s.installs > 0)
	s.checkConverged()
}

func TestGroupGrowsFromOneVoter(t *testing.T) {
	s := newSim(t, 1, 1, reliable)
	s.awaitLeader()
	s.completeOps(100)
	s.replicas = append(s.replicas, &replica{id: id("b")}, &replica{id: id("c")})
	for range 20 {
		s.runFor(50 * time.Millisecond)
		s.repairMembership()
		s.startOp()
	}
	assert.Equal(t, s.leader().node.Status().Members.Voters(), 3)
	s.checkConverged()
}

func TestSecondHostLostRightAfterRepair(t *testing.T) {
	s := newSim(t, 1, 3, reliable)
	s.awaitLeader()
	s.completeOps(100)
	first, second := s.replicas[0], s.replicas[1]
	s.loseDisk(first)
	for s.repairing {
		s.runFor(20 * time.Millisecond)
		s.repairMembership()
		s.startOp()
	}
	s.crash(second)
	second.lost = true
	s.runFor(time.Second)
	s.completeOps(100)
	s.runFor(time.Second)
	s.checkConverged()
	_, in := s.leader().node.Status().Members.Find(first.id)
	assert.Assert(t, !in, "the replica whose disk was lost is still a member")
}

func TestMembershipChangesAreRefused(t *testing.T) {
	s := newSim(t, 1, 3, reliable)
	s.awaitLeader()
	again := rlog.ID{Name: "a", Incarnation: 2}
	assert.Equal(t, s.dropped[s.changeMember(rlog.Member{ID: id("x"), Voter: true}, false)], rlog.ReasonInvalid)
	ok := s.changeMember(rlog.Member{ID: again}, false)
	assert.Equal(t, s.dropped[s.changeMember(rlog.Member{ID: id("y")}, false)], rlog.ReasonChanging)
	s.runFor(time.Second)
	assert.Assert(t, s.requestsDone[ok])
	assert.Equal(t, s.dropped[s.changeMember(rlog.Member{ID: again, Voter: true}, false)], rlog.ReasonInvalid, "a host got a second vote")
	s.changeMember(rlog.Member{ID: id("y")}, false)
	s.runFor(time.Second)
	assert.Equal(t, s.dropped[s.changeMember(rlog.Member{ID: id("y"), Voter: true}, false)], rlog.ReasonLagging)
}

func TestRemovedLeaderTransfersLeadership(t *testing.T) {
	s := newSim(t, 1, 3, reliable)
	old := s.awaitLeader()
	s.changeMember(rlog.Member{ID: old.id}, true)
	s.runFor(time.Second)
	l := s.leader()
	assert.Assert(t, l != nil && l != old)
	term := l.node.Status().Term
	s.runFor(3 * time.Second)
	assert.Equal(t, s.leader().node.Status().Term, term, "the removed replica caused an election")
}

func TestTransferNeedsNoElectionTimeout(t *testing.T) {
	s := newSim(t, 1, 3, reliable)
	old := s.awaitLeader()
	s.step(old, rlog.TransferLeadership{})
	s.runFor(election / 2)
	assert.Assert(t, s.leader() != nil && s.leader() != old)
}

// Guards against a leader that takes the others for silent because it did not run
// itself.
func TestSilenceExcludesTheLeadersOwnPause(t *testing.T) {
	n := newLeader()
	n.Step(2*time.Second+10*time.Millisecond, receive("b", 2, wire.RaftHeartbeatAnswer{}), receive("c", 2, wire.RaftHeartbeatAnswer{}))
	n.Step(9*time.Second, receive("b", 2, wire.RaftHeartbeatAnswer{}), rlog.Tick{})
	assert.Equal(t, n.Status().Role, rlog.Leader)
	assert.Equal(t, n.Status().Silence[id("c")], time.Duration(0))
	n.Step(9*time.Second+20*time.Millisecond, receive("b", 2, wire.RaftHeartbeatAnswer{}), rlog.Tick{})
	assert.Equal(t, n.Status().Silence[id("c")], 20*time.Millisecond)
}

// Guards against a loss of the leader that is noticed later than that of a follower
// by the time of an election.
func TestSilenceOfTheFormerLeaderCountsFromItsLastMessage(t *testing.T) {
	n := newNode(rlog.Bootstrap(threeVoters(), nil))
	n.Step(2*time.Second, receive("c", 1, wire.RaftHeartbeat{}))
	for now := 2 * time.Second; now < 2*time.Second+3*election; now += tick {
		n.Step(now, rlog.Tick{})
	}
	at := 2*time.Second + 3*election
	n.Step(at, receive("b", 2, wire.RaftVoteAnswer{Pre: true, Granted: true}))
	n.Step(at, rlog.Persisted{Seq: 1}, receive("b", 2, wire.RaftVoteAnswer{Granted: true}))
	assert.Equal(t, n.Status().Role, rlog.Leader)
	assert.Equal(t, n.Status().Silence[id("c")], 3*election)
	assert.Equal(t, n.Status().Silence[id("b")], time.Duration(0))
}

// Guards against a change of the members that is taken for done before it is committed.
func TestStatusTellsUncommittedChange(t *testing.T) {
	n := newLeader()
	n.Step(2*time.Second, rlog.Persisted{Seq: 2}, receive("b", 2, wire.RaftAppendAnswer{Index: 2}))
	n.Step(2*time.Second, rlog.ChangeMember{Member: rlog.Member{ID: id("c"), Voter: true}, Remove: true})
	st := n.Status()
	assert.Assert(t, st.Changing && st.Members.Voters() == 2, "%v", st)
	n.Step(2*time.Second, rlog.Persisted{Seq: 3}, receive("b", 2, wire.RaftAppendAnswer{Index: 3}))
	assert.Assert(t, !n.Status().Changing)
}
