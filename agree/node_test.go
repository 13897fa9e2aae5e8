package agree_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"cyclamenrelay.example/agree"
	"cyclamenrelay.example/rlog"
	"cyclamenrelay.example/wire"

	"gotest.tools/v3/assert"
)

var calm = faults{maxDelay: time.Millisecond}

func id(name string) rlog.ID { return rlog.ID{Name: name, Incarnation: 1} }

func threeVoters() rlog.Membership {
	var m rlog.Membership
	for _, x := range []string{"a", "b", "c"} {
		m = m.With(rlog.Member{ID: id(x), Voter: true})
	}
	return m
}

func newNode(st rlog.Stored) *agree.Node {
	return agree.New(agree.Config{ID: id("a"), Stored: st, Rand: rand.New(rand.NewPCG(1, 1)), Election: election, KeepEntries: 1})
}

func receive(from string, term uint64, b wire.AgreeBody) rlog.Input {
	return rlog.Receive{From: id(from), Term: term, Body: b}
}

// sent returns the first message of type B among the effects.
func sent[B wire.AgreeBody](es []rlog.Effect) (B, bool) {
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

// pass advances the simulation by d.
func (s *sim) pass(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.advance()
	}
}

// elect waits until a leader has committed an entry of its term, and returns it.
func (s *sim) elect() *replica {
	for s.leader() == nil || s.leader().node.Status().Commit < 2 {
		s.advance()
	}
	return s.leader()
}

// write runs the client until n more operations have succeeded.
func (s *sim) write(n int) {
	for end := s.acked + n; s.acked < end; s.advance() {
		s.client()
	}
}

// isolate partitions a replica from all others.
func (s *sim) isolate(r *replica) { s.cut = map[string]int{r.id.Name: 1} }

func TestOnlyEntriesOfTheOwnTermAreCommittedByCounting(t *testing.T) {
	st := rlog.Bootstrap(threeVoters(), nil)
	st.Hard.Term = 3
	st.Entries = []rlog.Entry{{Index: 2, Term: 2}}
	n := newNode(st)
	n.Step(time.Second, rlog.Tick{})
	n.Step(2*time.Second, rlog.Tick{})
	n.Step(2*time.Second, receive("b", 4, wire.AgreeVoteAnswer{Pre: true, Granted: true}))
	n.Step(2*time.Second, rlog.Persisted{Seq: 1})
	n.Step(2*time.Second, receive("b", 4, wire.AgreeVoteAnswer{Granted: true}))
	n.Step(2*time.Second, rlog.Persisted{Seq: 2})
	assert.Equal(t, n.Status().Role, rlog.Leader)
	n.Step(2*time.Second, receive("b", 4, wire.AgreeAppendAnswer{Index: 2}))
	assert.Equal(t, n.Status().Commit, uint64(1))
	n.Step(2*time.Second, receive("b", 4, wire.AgreeAppendAnswer{Index: 3}))
	assert.Equal(t, n.Status().Commit, uint64(3))
}

func TestPromisesWaitForTheDisk(t *testing.T) {
	n := newNode(rlog.Bootstrap(threeVoters(), nil))
	out := n.Step(time.Second, receive("b", 2, wire.AgreeVote{LastIndex: 1, LastTerm: 1}))
	_, ok := sent[wire.AgreeVoteAnswer](out)
	assert.Assert(t, !ok, "the vote was sent before it was synced")
	v, ok := sent[wire.AgreeVoteAnswer](n.Step(time.Second, rlog.Persisted{Seq: 1}))
	assert.Assert(t, ok && v.Granted)
	out = n.Step(time.Second, receive("b", 2, wire.AgreeAppend{PrevIndex: 1, PrevTerm: 1, Entries: []rlog.Entry{{Index: 2, Term: 2}}}))
	_, ok = sent[wire.AgreeAppendAnswer](out)
	assert.Assert(t, !ok, "the acknowledgement was sent before the entry was synced")
	a, ok := sent[wire.AgreeAppendAnswer](n.Step(time.Second, rlog.Persisted{Seq: 2}))
	assert.Assert(t, ok && a.Index == 2)
	v, ok = sent[wire.AgreeVoteAnswer](n.Step(time.Second, receive("c", 2, wire.AgreeVote{LastIndex: 9, LastTerm: 2})))
	assert.Assert(t, ok && !v.Granted, "a second vote was granted in the same term")
}

// newLeader returns a leader of term 2 whose first entry, 2, is not synced yet.
func newLeader() *agree.Node {
	n := newNode(rlog.Bootstrap(threeVoters(), nil))
	n.Step(time.Second)
	n.Step(2*time.Second, rlog.Tick{}, receive("b", 2, wire.AgreeVoteAnswer{Pre: true, Granted: true}))
	n.Step(2*time.Second, rlog.Persisted{Seq: 1}, receive("b", 2, wire.AgreeVoteAnswer{Granted: true}))
	return n
}

func TestLogBehindASentSnapshotIsKept(t *testing.T) {
	n := newLeader()
	n.Step(2*time.Second, rlog.Propose{ID: 1}, rlog.Propose{ID: 2}, rlog.Propose{ID: 3})
	n.Step(2*time.Second, rlog.Persisted{Seq: 3}, receive("c", 2, wire.AgreeAppendAnswer{Index: 5}))
	assert.Equal(t, n.Status().Commit, uint64(5))
	out := n.Step(2*time.Second, receive("b", 2, wire.AgreeAppendAnswer{Index: 1, Reject: true}))
	s, ok := sent[wire.AgreeSnapshot](out)
	assert.Assert(t, ok && s.Index == 1)
	n.Step(2*time.Second, rlog.Compacted{Index: 5})
	out = n.Step(2*time.Second, receive("b", 2, wire.AgreeSnapshotAnswer{Index: 1, Done: true}))
	a, ok := sent[wire.AgreeAppend](out)
	assert.Assert(t, ok && a.PrevIndex == 1 && len(a.Entries) == 4)
}

func TestSnapshotThatTheLogCoversKeepsTheTail(t *testing.T) {
	n := newNode(rlog.Bootstrap(threeVoters(), nil))
	es := []rlog.Entry{{Index: 2, Term: 2}, {Index: 3, Term: 2}, {Index: 4, Term: 2}}
	n.Step(time.Second, receive("b", 2, wire.AgreeAppend{PrevIndex: 1, PrevTerm: 1, Entries: es}))
	n.Step(time.Second, receive("b", 2, wire.AgreeSnapshot{Index: 3, Term: 2, Members: threeVoters()}))
	assert.Equal(t, n.Status().Last, uint64(4), "an entry that may have been acknowledged was dropped")
	assert.Equal(t, n.Status().Commit, uint64(3))
}

func TestLeaderCountsItselfOnceSynced(t *testing.T) {
	n := newLeader()
	n.Step(2*time.Second, receive("b", 2, wire.AgreeAppendAnswer{Index: 2}))
	assert.Equal(t, n.Status().Commit, uint64(1))
	n.Step(2*time.Second, rlog.Persisted{Seq: 2})
	assert.Equal(t, n.Status().Commit, uint64(2))
}

func TestLateAppendsDoNotTruncate(t *testing.T) {
	n := newNode(rlog.Bootstrap(threeVoters(), nil))
	es := []rlog.Entry{{Index: 2, Term: 2}, {Index: 3, Term: 2}, {Index: 4, Term: 2}}
	n.Step(time.Second, receive("b", 2, wire.AgreeAppend{PrevIndex: 1, PrevTerm: 1, Entries: es}))
	n.Step(time.Second, receive("b", 2, wire.AgreeAppend{PrevIndex: 1, PrevTerm: 1, Entries: es[:1], Commit: 2}))
	n.Step(time.Second, receive("b", 1, wire.AgreeAppend{PrevIndex: 1, PrevTerm: 1, Commit: 4}))
	assert.Equal(t, n.Status().Last, uint64(4))
	assert.Equal(t, n.Status().Commit, uint64(2))
}

func TestPartitionedFollowerDoesNotDisturb(t *testing.T) {
	s := newSim(t, 1, 3, calm)
	l := s.elect()
	term := l.node.Status().Term
	for _, r := range s.reps {
		if r != l {
			s.isolate(r)
			s.pass(2 * time.Second)
			s.cut = nil
			s.pass(2 * time.Second)
		}
	}
	assert.Equal(t, l.node.Status().Term, term)
	assert.Equal(t, l.node.Status().Role, rlog.Leader)
}

func TestFollowerWithoutALinkToTheLeaderDoesNotDisturb(t *testing.T) {
	s := newSim(t, 1, 3, calm)
	l := s.elect()
	term := l.node.Status().Term
	for _, r := range s.reps {
		if r != l {
			s.severed = [2]rlog.ID{l.id, r.id}
			s.pass(2 * time.Second)
		}
	}
	assert.Equal(t, l.node.Status().Term, term)
	assert.Equal(t, l.node.Status().Role, rlog.Leader)
}

func TestCutOffLeaderServesNothingAndStepsDown(t *testing.T) {
	s := newSim(t, 1, 3, calm)
	old := s.elect()
	s.isolate(old)
	s.ops[1<<40] = op{call: s.now, at: old.id}
	s.step(old, rlog.Read{ID: 1 << 40})
	s.step(old, rlog.Propose{ID: 1 << 41})
	s.pass(3 * election)
	assert.Equal(t, old.node.Status().Role, rlog.Follower)
	assert.Equal(t, s.drops[1<<40], rlog.ReasonNotLeader)
	assert.Equal(t, s.drops[1<<41], rlog.ReasonUnknown)
	s.write(5)
	s.cut = nil
	s.pass(time.Second)
	s.converged()
}

func TestLaggingFollowerGetsASnapshot(t *testing.T) {
	s := newSim(t, 1, 3, calm)
	l := s.elect()
	f := s.reps[0]
	if f == l {
		f = s.reps[1]
	}
	s.crash(f)
	f.upAt = 1 << 60
	s.write(300)
	f.upAt = s.now
	s.pass(time.Second)
	assert.Assert(t, s.installs > 0)
	s.converged()
}

func TestGroupGrowsFromOneVoter(t *testing.T) {
	s := newSim(t, 1, 1, calm)
	s.elect()
	s.write(100)
	s.reps = append(s.reps, &replica{id: id("b")}, &replica{id: id("c")})
	for range 20 {
		s.pass(50 * time.Millisecond)
		s.operator()
		s.client()
	}
	assert.Equal(t, s.leader().node.Status().Members.Voters(), 3)
	s.converged()
}

func TestSecondHostLostRightAfterRepair(t *testing.T) {
	s := newSim(t, 1, 3, calm)
	s.elect()
	s.write(100)
	first, second := s.reps[0], s.reps[1]
	s.wipe(first)
	for s.repairing {
		s.pass(20 * time.Millisecond)
		s.operator()
		s.client()
	}
	s.crash(second)
	second.lost = true
	s.pass(time.Second)
	s.write(100)
	s.pass(time.Second)
	s.converged()
	_, in := s.leader().node.Status().Members.Find(first.id)
	assert.Assert(t, !in, "the replica whose disk was lost is still a member")
}

func TestMembershipChangesAreRefused(t *testing.T) {
	s := newSim(t, 1, 3, calm)
	s.elect()
	again := rlog.ID{Name: "a", Incarnation: 2}
	assert.Equal(t, s.drops[s.change(rlog.Member{ID: id("x"), Voter: true}, false)], rlog.ReasonInvalid)
	ok := s.change(rlog.Member{ID: again}, false)
	assert.Equal(t, s.drops[s.change(rlog.Member{ID: id("y")}, false)], rlog.ReasonChanging)
	s.pass(time.Second)
	assert.Assert(t, s.changes[ok])
	assert.Equal(t, s.drops[s.change(rlog.Member{ID: again, Voter: true}, false)], rlog.ReasonInvalid, "a host got a second vote")
	s.change(rlog.Member{ID: id("y")}, false)
	s.pass(time.Second)
	assert.Equal(t, s.drops[s.change(rlog.Member{ID: id("y"), Voter: true}, false)], rlog.ReasonLagging)
}

func TestRemovedLeaderHandsOver(t *testing.T) {
	s := newSim(t, 1, 3, calm)
	old := s.elect()
	s.change(rlog.Member{ID: old.id}, true)
	s.pass(time.Second)
	l := s.leader()
	assert.Assert(t, l != nil && l != old)
	term := l.node.Status().Term
	s.pass(3 * time.Second)
	assert.Equal(t, s.leader().node.Status().Term, term, "the removed replica caused an election")
}

func TestTransferLosesNoTime(t *testing.T) {
	s := newSim(t, 1, 3, calm)
	old := s.elect()
	s.step(old, rlog.Transfer{})
	s.pass(election / 2)
	assert.Assert(t, s.leader() != nil && s.leader() != old)
}
