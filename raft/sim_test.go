package raft_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cyclamenrelay.example/raft"
	"cyclamenrelay.example/rlog"
	"cyclamenrelay.example/wire"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"
)

const (
	tick      = 5 * time.Millisecond
	heartbeat = 20 * time.Millisecond
	election  = 100 * time.Millisecond
	registers = 4
)

// faults are probabilities, of loss and dup per message, of the others per tick.
type faults struct {
	loss, dup, crash, partition, diskLoss, removal, transfer float64
	maxDelay                                                 time.Duration
}

// replica is a host with its disk; node is nil while it is down.
type replica struct {
	id         rlog.ID
	node       *raft.Node
	stored     rlog.StoredState // the synced state
	unsynced   []rlog.Persist   // writes that are not synced yet
	syncedAt   time.Duration    // when these are synced
	clockStart time.Duration    // simulated time at which the host's clock shows 0
	state      [registers]uint64
	applied    uint64
	restartAt  time.Duration // when a crashed host starts again
	lost       bool          // the disk is lost, the host never starts again
}

// packet is a message in flight, delivered at the time at.
type packet struct {
	at       time.Duration
	from, to rlog.ID
	send     rlog.Send
}

// op is a client's operation on one register.
type op struct {
	key   int
	value uint64 // the value to write, 0 for a read
	call  time.Duration
	at    rlog.ID // the replica that was asked
}

// sim runs replicas over a faulty network and checks the safety of Raft: one
// leader a term, the same committed entries everywhere, no stale proof of
// freshness, and linearizable registers.
type sim struct {
	t            testing.TB
	rng          *rand.Rand
	rates        faults
	now          time.Duration
	replicas     []*replica
	inFlight     []packet
	partition    map[string]int     // side of the partition by host name
	brokenLink   [2]rlog.ID         // the ends of one broken link
	healAt       time.Duration      // when the partition ends
	leaders      map[uint64]rlog.ID // by term
	committed    []rlog.Entry       // by index; the first two are placeholders
	appliedAt    []time.Duration    // when each committed entry was first applied
	ops          map[uint64]op      // unanswered operations
	nextOp       uint64
	history      []porcupine.Operation
	acked        int
	repairing    bool // the membership lacks a voter
	installs     int
	requestsDone map[uint64]bool // IDs of the requests that were committed
	dropped      map[uint64]rlog.Reason
}

func newSim(t testing.TB, seed uint64, voters int, f faults) *sim {
	s := &sim{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), rates: f, now: time.Second, leaders: map[uint64]rlog.ID{},
		committed: make([]rlog.Entry, 2), appliedAt: make([]time.Duration, 2),
		ops: map[uint64]op{}, requestsDone: map[uint64]bool{}, dropped: map[uint64]rlog.Reason{},
	}
	var m rlog.Membership
	for i := range voters {
		m = m.With(rlog.Member{ID: rlog.ID{Name: string(rune('a' + i)), Incarnation: 1}, Voter: true})
	}
	for _, x := range m {
		s.replicas = append(s.replicas, &replica{id: x.ID, stored: rlog.Bootstrap(m, s.encode([registers]uint64{}))})
	}
	for _, r := range s.replicas {
		s.start(r)
	}
	return s
}

func (s *sim) encode(state [registers]uint64) []byte {
	b, err := wire.MarshalValue(state)
	assert.NilError(s.t, err)
	// The padding makes a snapshot exceed MaxMessageBytes, so that it takes several
	// chunks.
	return append(b, make([]byte, 700)...)
}

func (s *sim) decode(b []byte) (state [registers]uint64) {
	assert.NilError(s.t, wire.UnmarshalValue(b[:len(b)-700], &state))
	return state
}

func (s *sim) start(r *replica) {
	r.clockStart = s.now - time.Duration(s.rng.Int64N(int64(time.Second)))
	r.unsynced = nil
	st := r.stored
	st.Entries = slices.Clone(st.Entries)
	r.applied = st.Snapshot.Index
	r.state = [registers]uint64{}
	if len(st.Snapshot.Data) > 0 {
		r.state = s.decode(st.Snapshot.Data)
	}
	r.node = raft.New(raft.Config{
		ID: r.id, Stored: st, Rand: rand.New(rand.NewPCG(s.rng.Uint64(), 2)),
		HeartbeatInterval: heartbeat, ElectionTimeout: election, ResendAfter: 3 * heartbeat,
		MaxMessageBytes: 300, MaxInflight: 4, SnapshotEntries: 40, KeepEntries: 10,
	})
}

// crash stops a replica. Of its unsynced writes, a random number of the last ones
// are lost.
func (s *sim) crash(r *replica) {
	for _, p := range r.unsynced[:s.rng.IntN(len(r.unsynced)+1)] {
		applyWrite(&r.stored, p)
	}
	r.node, r.unsynced = nil, nil
	for id, o := range s.ops {
		if o.at == r.id {
			s.opUnknown(id)
		}
	}
}

// applyWrite applies a write to the state on disk.
func applyWrite(st *rlog.StoredState, p rlog.Persist) {
	st.Hard = p.Hard
	if p.Snapshot != nil {
		st.Snapshot = *p.Snapshot
		st.Entries = slices.DeleteFunc(slices.Clone(st.Entries), func(e rlog.Entry) bool { return e.Index <= p.Snapshot.Index })
	}
	if p.Truncate > 0 {
		st.Entries = slices.DeleteFunc(slices.Clone(st.Entries), func(e rlog.Entry) bool { return e.Index >= p.Truncate })
	}
	st.Entries = append(st.Entries, p.Entries...)
}

func (s *sim) find(id rlog.ID) *replica {
	for _, r := range s.replicas {
		if r.id == id {
			return r
		}
	}
	return nil
}

func (s *sim) step(r *replica, ins ...rlog.Input) {
	if r.node == nil {
		return
	}
	for _, e := range slices.Clone(r.node.Step(s.now-r.clockStart, ins...)) {
		s.handleEffect(r, e)
	}
}

func (s *sim) handleEffect(r *replica, e rlog.Effect) {
	switch e := e.(type) {
	case rlog.Persist:
		if len(r.unsynced) == 0 {
			// One sync in ten takes 32 times as long.
			r.syncedAt = s.now + time.Duration(s.rng.Int64N(int64(4*time.Millisecond)))<<(5*s.chance(0.1))
		}
		r.unsynced = append(r.unsynced, e)
	case rlog.Send:
		s.transmit(r.id, e)
	case rlog.Apply:
		s.apply(r, e)
	case rlog.InstallSnapshot:
		s.installs++
		r.state, r.applied = s.decode(e.Snapshot.Data), e.Snapshot.Index
	case rlog.ReadReady:
		assert.Assert(s.t, r.applied >= e.Index)
		for _, id := range e.IDs {
			if o, ok := s.ops[id]; ok {
				s.opDone(id, o, r.state[o.key])
			}
		}
	case rlog.SnapshotWanted:
		s.step(r, rlog.SnapshotTaken{Index: r.applied, Data: s.encode(r.state)})
	case rlog.Dropped:
		s.dropped[e.ID] = e.Reason
		if e.Reason == rlog.ReasonUnknown {
			s.opUnknown(e.ID)
		}
		delete(s.ops, e.ID)
	case rlog.RoleChanged:
		if e.Role == rlog.Leader {
			old, ok := s.leaders[e.Term]
			assert.Assert(s.t, !ok || old == r.id, "term %d has two leaders", e.Term)
			s.leaders[e.Term] = r.id
			last := r.node.Status().Last
			assert.Assert(s.t, last >= uint64(len(s.committed)-1), "the leader of term %d lacks committed entries", e.Term)
		}
	}
}

func (s *sim) apply(r *replica, a rlog.Apply) {
	for i, e := range a.Entries {
		assert.Equal(s.t, e.Index, r.applied+1)
		r.applied = e.Index
		if e.Index < uint64(len(s.committed)) {
			assert.DeepEqual(s.t, e, s.committed[e.Index])
		} else {
			assert.Equal(s.t, e.Index, uint64(len(s.committed)))
			s.committed, s.appliedAt = append(s.committed, e), append(s.appliedAt, s.now)
		}
		if e.Kind == rlog.KindCommand {
			var c [2]uint64
			assert.NilError(s.t, wire.UnmarshalValue(e.Data, &c))
			r.state[c[0]] = c[1]
		}
		if len(a.Proposals) > 0 {
			id := a.Proposals[i]
			if o, ok := s.ops[id]; ok {
				s.opDone(id, o, 0)
			}
			if id != 0 {
				s.requestsDone[id] = true
			}
		}
	}
}

// transmit sends a message over the network, which may lose, delay or duplicate it.
func (s *sim) transmit(from rlog.ID, m rlog.Send) {
	for range 1 + s.chance(s.rates.dup) {
		if s.chance(s.rates.loss) == 0 {
			at := s.now + 500*time.Microsecond + time.Duration(s.rng.Int64N(int64(s.rates.maxDelay)+1))
			s.inFlight = append(s.inFlight, packet{at, from, m.To, m})
		}
	}
}

// chance returns 1 with probability p, else 0.
func (s *sim) chance(p float64) int {
	if s.rng.Float64() < p {
		return 1
	}
	return 0
}

// opDone records a successful operation.
func (s *sim) opDone(id uint64, o op, read uint64) {
	s.recordOp(id, o, read, s.now)
	s.acked++
}

// opUnknown ends an operation without an outcome. A write may still take effect at
// any later time.
func (s *sim) opUnknown(id uint64) {
	if o, ok := s.ops[id]; ok && o.value != 0 {
		s.recordOp(id, o, 0, 1<<60)
	}
	delete(s.ops, id)
}

func (s *sim) recordOp(id uint64, o op, read uint64, end time.Duration) {
	delete(s.ops, id)
	s.history = append(s.history, porcupine.Operation{
		ClientId: int(id), Input: o, Call: int64(o.call), Output: read, Return: int64(end),
	})
}

// startOp starts a random read or write at a random replica.
func (s *sim) startOp() {
	r := s.replicas[s.rng.IntN(len(s.replicas))]
	if r.node == nil || len(s.ops) > 12 {
		return
	}
	s.nextOp++
	o := op{key: s.rng.IntN(registers), call: s.now, at: r.id}
	if s.rng.IntN(2) == 0 {
		s.ops[s.nextOp] = o
		s.step(r, rlog.Read{ID: s.nextOp})
		return
	}
	o.value = s.nextOp
	s.ops[s.nextOp] = o
	data, err := wire.MarshalValue([2]uint64{uint64(o.key), o.value})
	assert.NilError(s.t, err)
	s.step(r, rlog.Propose{ID: s.nextOp, Data: data})
}

func (s *sim) disconnected(a, b rlog.ID) bool {
	return s.partition[a.Name] != s.partition[b.Name] || s.brokenLink == [2]rlog.ID{a, b} || s.brokenLink == [2]rlog.ID{b, a}
}

// advance runs the simulation for one tick.
func (s *sim) advance() {
	for end := s.now + tick; s.now < end; s.now += 500 * time.Microsecond {
		due := s.inFlight[:0:0]
		rest := s.inFlight[:0]
		for _, l := range s.inFlight {
			if l.at <= s.now {
				due = append(due, l)
			} else {
				rest = append(rest, l)
			}
		}
		s.inFlight = rest
		for _, l := range due {
			if r := s.find(l.to); r != nil && !s.disconnected(l.from, l.to) {
				s.step(r, rlog.Receive{From: l.from, Term: l.send.Term, Body: l.send.Body})
			}
		}
		for _, r := range s.replicas {
			s.syncWrites(r)
		}
	}
	for _, r := range s.replicas {
		if r.node == nil && s.now >= r.restartAt && !r.lost {
			s.start(r)
		}
		s.step(r, rlog.Tick{})
		s.checkFresh(r)
	}
}

func (s *sim) syncWrites(r *replica) {
	if r.node == nil || len(r.unsynced) == 0 || s.now < r.syncedAt {
		return
	}
	for _, p := range r.unsynced {
		applyWrite(&r.stored, p)
	}
	seq := r.unsynced[len(r.unsynced)-1].Seq
	r.unsynced = nil
	s.step(r, rlog.Persisted{Seq: seq})
}

// checkFresh checks a replica's proof of freshness: the entry after its index was
// not applied anywhere before the proven time.
func (s *sim) checkFresh(r *replica) {
	if r.node == nil {
		return
	}
	i, age, ok := r.node.Freshness(s.now - r.clockStart)
	if ok && i+1 < uint64(len(s.appliedAt)) {
		assert.Assert(s.t, s.appliedAt[i+1] >= s.now-age, "%v claims that %d was the newest index %v ago; the next one was committed %v ago",
			r.id, i, age, s.now-s.appliedAt[i+1])
	}
}

// leader returns the leader of the newest term, nil when there is none.
func (s *sim) leader() *replica {
	var best *replica
	for _, r := range s.replicas {
		if r.node != nil && r.node.Status().Role == rlog.Leader &&
			(best == nil || best.node.Status().Term < r.node.Status().Term) {
			best = r
		}
	}
	return best
}

// changeMember asks the leader for a change of the membership and returns the ID of
// the request.
func (s *sim) changeMember(m rlog.Member, remove bool) uint64 {
	s.nextOp++
	s.step(s.leader(), rlog.ChangeMember{ID: s.nextOp, Member: m, Remove: remove})
	return s.nextOp
}

// repairMembership takes the next step to repair the membership: it removes a lost
// replica, adds a replacement as a learner, or promotes a learner to voter.
func (s *sim) repairMembership() {
	l := s.leader()
	if l == nil {
		return
	}
	members := l.node.Status().Members
	repaired := true
	for _, r := range s.replicas {
		m, in := members.Find(r.id)
		switch {
		case r.lost && in:
			s.changeMember(m, true)
		case !r.lost && !in:
			s.changeMember(rlog.Member{ID: r.id}, false)
		case !r.lost && !m.Voter:
			s.changeMember(rlog.Member{ID: r.id, Voter: true}, false)
		default:
			continue
		}
		repaired = false
		break
	}
	if repaired && s.repairing && l.node.Status().Commit == l.node.Status().Last {
		s.repairing = false
	}
}

// loseDisk destroys the disk of a replica. The host comes back as another replica,
// with a new incarnation and an empty disk.
func (s *sim) loseDisk(r *replica) {
	s.crash(r)
	r.lost, r.stored = true, rlog.StoredState{}
	s.repairing = true
	n := &replica{id: rlog.ID{Name: r.id.Name, Incarnation: r.id.Incarnation + 1}, restartAt: s.now + 50*time.Millisecond}
	s.replicas = append(s.replicas, n)
}

// injectFaults injects faults at random: a crash, a lost disk, a leadership transfer,
// the removal of a member, or a partition.
func (s *sim) injectFaults() {
	r := s.replicas[s.rng.IntN(len(s.replicas))]
	if r.node != nil && s.chance(s.rates.crash) == 1 {
		s.crash(r)
		r.restartAt = s.now + time.Duration(s.rng.Int64N(int64(time.Second)))
	}
	if !r.lost && !s.repairing && s.chance(s.rates.diskLoss) == 1 {
		s.loseDisk(r)
	}
	if l := s.leader(); l != nil && s.chance(s.rates.transfer) == 1 {
		s.step(l, rlog.TransferLeadership{})
	}
	if !r.lost && !s.repairing && s.chance(s.rates.removal) == 1 {
		if l := s.leader(); l != nil {
			s.repairing = true
			s.changeMember(rlog.Member{ID: r.id}, true)
		}
	}
	if s.now >= s.healAt {
		s.partition = nil
		if s.chance(s.rates.partition) == 1 {
			s.partition = map[string]int{}
			for _, x := range s.replicas {
				s.partition[x.id.Name] = s.rng.IntN(2)
			}
			s.healAt = s.now + time.Duration(s.rng.Int64N(int64(2*time.Second)))
		}
	}
}

// runWithFaults injects faults for d, then ends them and checks that the replicas
// converge.
func (s *sim) runWithFaults(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.advance()
		s.injectFaults()
		s.startOp()
		if s.rng.IntN(20) == 0 {
			s.repairMembership()
		}
	}
	s.rates, s.partition = faults{}, nil
	for range 1000 {
		s.advance()
		if s.rng.IntN(20) == 0 {
			s.repairMembership()
		}
	}
	s.checkConverged()
}

// checkConverged checks that there is a leader, that all replicas have its state
// and a recent proof of freshness, and that the history is linearizable.
func (s *sim) checkConverged() {
	l := s.leader()
	for _, r := range s.replicas {
		if r.node != nil && l == nil {
			s.t.Logf("%v: %+v", r.id, r.node.Status())
		}
	}
	assert.Assert(s.t, l != nil, "there is no leader after the faults ended")
	assert.Equal(s.t, int(l.applied), len(s.committed)-1)
	for _, r := range s.replicas {
		if !r.lost {
			assert.Equal(s.t, r.applied, l.applied, "%v lags behind the leader", r.id)
			assert.Equal(s.t, r.state, l.state)
			_, age, ok := r.node.Freshness(s.now - r.clockStart)
			assert.Assert(s.t, ok && age <= 4*heartbeat, "%v: no recent proof of freshness, age %v", r.id, age)
		}
	}
	for id := range s.ops {
		s.opUnknown(id)
	}
	assert.Equal(s.t, porcupine.CheckOperationsTimeout(model, s.history, 20*time.Second), porcupine.Ok)
}

// model is a set of independent registers.
var model = porcupine.Model{
	Partition: func(h []porcupine.Operation) [][]porcupine.Operation {
		out := make([][]porcupine.Operation, registers)
		for _, o := range h {
			k := o.Input.(op).key
			out[k] = append(out[k], o)
		}
		return out
	},
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		if v := input.(op).value; v != 0 {
			return true, v
		}
		return output.(uint64) == state.(uint64), state
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%v -> %v", input, output) },
}
