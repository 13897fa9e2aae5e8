package repair_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"cyclamenrelay.example/member"
	"cyclamenrelay.example/raft"
	"cyclamenrelay.example/repair"
	"cyclamenrelay.example/rlog"
	"cyclamenrelay.example/wire"
)

const (
	simTick = 10 * time.Millisecond
	// A keeper announces itself once a second, or after a time-out of a second more
	// while one that it knows does not answer.
	simAnnounce = 2 * time.Second
	// A new keeper announces itself to all keepers with its second poll.
	simJoin     = 400 * time.Millisecond
	simMaintain = 250 * time.Millisecond
)

// simKeeper is a keeper with one group. node is nil while its process is down.
type simKeeper struct {
	id       rlog.ID
	node     *raft.Node
	stored   rlog.StoredState // the synced state
	unsynced []simWrite
	clock    time.Duration // start of the process
	applied  uint64
	snapshot bool // one is wanted
	frozen   bool
	dc       string
	leaving  bool
	gone     bool // never starts again
	table    *member.Table
	members  *repair.Automatic
	announce time.Duration // when the next announcement is due
	maintain time.Duration
}

func (k *simKeeper) running() bool { return k.node != nil && !k.frozen }

// simGroup steps the replicas of one group and the automatic decisions on its
// members through losses and replacements, without a network.
type simGroup struct {
	t        *testing.T
	rng      *rand.Rand
	clock    *clockwork.FakeClock
	limits   repair.Limits
	now      time.Duration
	keepers  []*simKeeper
	inFlight []simMessage
	nextName int
	nextID   uint64
	events   []string
	// A message takes up to delay more than one tick, a sync up to syncDelay. The share
	// loss of the messages is lost once, and sent again by the transport after up to
	// resend.
	loss                     float64
	delay, syncDelay, resend time.Duration
	// dark is set while more machines are down than the deployment allows.
	dark bool
	// side is that of each machine while the network is cut in two.
	side      map[rlog.ID]bool
	committed map[uint64]uint64 // the terms of the committed entries, by index
	proposed  uint64
}

type simMessage struct {
	at       time.Duration
	from, to rlog.ID
	send     rlog.Send
}

type simWrite struct {
	at      time.Duration
	persist rlog.Persist
}

func newSimGroup(t *testing.T, seed uint64, voters int, l repair.Limits) *simGroup {
	s := &simGroup{t: t, rng: rand.New(rand.NewPCG(seed, 3)), clock: clockwork.NewFakeClock(), limits: l, now: time.Second, committed: map[uint64]uint64{}}
	var ms rlog.Membership
	for range voters {
		ms = ms.With(rlog.Member{ID: s.newID(), Voter: true})
	}
	for _, m := range ms {
		s.start(&simKeeper{id: m.ID, stored: rlog.Bootstrap(ms, nil)})
	}
	s.run(5 * time.Second)
	return s
}

func (s *simGroup) newID() rlog.ID {
	s.nextName++
	return rlog.ID{Name: fmt.Sprintf("k%d", s.nextName), Incarnation: 1}
}

// start starts the process of a keeper from its disk.
func (s *simGroup) start(k *simKeeper) {
	k.clock, k.unsynced, k.frozen, k.leaving, k.snapshot = s.now, nil, false, false, false
	k.applied = k.stored.Snapshot.Index
	st := k.stored
	st.Entries = slices.Clone(st.Entries)
	k.node = raft.New(raft.Config{ID: k.id, Stored: st, Rand: rand.New(rand.NewPCG(s.rng.Uint64(), 4)), SnapshotEntries: 100, KeepEntries: 10})
	k.table = member.NewTable(s.clock, member.NodeLease)
	k.members = repair.NewAutomatic(s.limits)
	k.announce, k.maintain = s.now+simJoin, s.now+time.Duration(s.rng.Int64N(int64(simMaintain)))
	if !slices.Contains(s.keepers, k) {
		s.keepers = append(s.keepers, k)
	}
	s.note("%s starts", k.id.Name)
}

// stop ends the process of a keeper. Its unsynced writes are lost.
func (s *simGroup) stop(k *simKeeper, forGood bool) {
	k.node, k.gone = nil, k.gone || forGood
	s.note("%s is down", k.id.Name)
}

// note records an event for the message of a failure.
func (s *simGroup) note(format string, args ...any) {
	s.events = append(s.events, fmt.Sprintf("%7.2f s  ", s.now.Seconds())+fmt.Sprintf(format, args...))
}

func (s *simGroup) find(id rlog.ID) *simKeeper {
	for _, k := range s.keepers {
		if k.id == id {
			return k
		}
	}
	return nil
}

func (s *simGroup) step(k *simKeeper, ins ...rlog.Input) {
	for _, e := range k.node.Step(s.now-k.clock, ins...) {
		switch e := e.(type) {
		case rlog.Persist:
			k.unsynced = append(k.unsynced, simWrite{s.later(s.syncDelay), e})
		case rlog.Send:
			m := simMessage{s.later(s.delay), k.id, e.To, e}
			if s.loss > 0 && s.rng.Float64() < s.loss {
				m.at = s.later(s.resend)
			}
			s.inFlight = append(s.inFlight, m)
		case rlog.Apply:
			s.apply(k, e.Entries)
		case rlog.InstallSnapshot:
			k.applied = e.Snapshot.Index
		case rlog.SnapshotWanted:
			k.snapshot = true
		}
	}
}

// apply fails the test when a committed entry is lost: another one is at its index.
func (s *simGroup) apply(k *simKeeper, es []rlog.Entry) {
	for _, e := range es {
		if term, ok := s.committed[e.Index]; ok && term != e.Term {
			s.t.Fatalf("entry %d of term %d was committed, %s applies one of term %d at %v:\n%s", e.Index, term, k.id.Name, e.Term, s.now, joinLines(s.events))
		}
		s.committed[e.Index] = e.Term
		k.applied = e.Index
	}
}

// later returns a time up to d after now.
func (s *simGroup) later(d time.Duration) time.Duration {
	if d == 0 {
		return s.now
	}
	return s.now + s.randomTime(d)
}

// run advances the simulation.
func (s *simGroup) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += simTick
		s.clock.Advance(simTick)
		delivered := s.inFlight
		s.inFlight = nil
		for _, m := range delivered {
			if m.at > s.now {
				s.inFlight = append(s.inFlight, m)
			} else if to := s.find(m.to); to != nil && to.running() && s.side[m.from] == s.side[m.to] {
				s.step(to, rlog.Receive{From: m.from, Term: m.send.Term, Body: m.send.Body})
			}
		}
		for _, k := range s.keepers {
			if k.running() {
				s.tick(k)
			}
		}
		s.checkQuorum()
	}
}

func (s *simGroup) tick(k *simKeeper) {
	ins := []rlog.Input{rlog.Tick{}}
	if k.snapshot {
		k.snapshot = false
		ins = append(ins, rlog.SnapshotTaken{Index: k.applied, Data: []byte("state")})
	}
	if k.node.Status().Role == rlog.Leader && s.rng.IntN(10) == 0 {
		s.proposed++
		ins = append(ins, rlog.Propose{ID: 1<<32 + s.proposed})
	}
	synced := 0
	for ; synced < len(k.unsynced) && k.unsynced[synced].at <= s.now; synced++ {
		p := k.unsynced[synced].persist
		applyPersist(&k.stored, p)
		ins = append(ins, rlog.Persisted{Seq: p.Seq})
	}
	k.unsynced = slices.Delete(k.unsynced, 0, synced)
	s.step(k, ins...)
	if s.now >= k.announce {
		k.announce = s.now + simAnnounce
		s.announceTo(k)
	}
	if s.now >= k.maintain {
		k.maintain = s.now + simMaintain
		s.decide(k)
	}
}

// announceTo has all running keepers store the announcement of k.
func (s *simGroup) announceTo(k *simKeeper) {
	n := wire.Node{Name: k.id.Name, Roles: []string{"keeper"}, Incarnation: k.id.Incarnation, Replica: k.id.Incarnation, Leaving: k.leaving, DataCentre: k.dc}
	for _, o := range s.keepers {
		if o.running() && s.side[k.id] == s.side[o.id] {
			o.table.Renew(n)
		}
	}
}

// decide makes the automatic change of a keeper that leads.
func (s *simGroup) decide(k *simKeeper) {
	st := k.node.Status()
	if st.Role != rlog.Leader {
		return
	}
	var live []repair.Announced
	for _, a := range k.table.Announcements() {
		live = append(live, repair.Announced{ID: rlog.ID{Name: a.Node.Name, Incarnation: a.Node.Replica}, Leaving: a.Node.Leaving, Age: a.Age, DataCentre: a.Node.DataCentre})
	}
	c, ok := k.members.Next(s.clock.Now(), st, live).(repair.Change)
	if !ok {
		return
	}
	s.nextID++
	c.ID = s.nextID
	s.note("%s: voter %t, remove %t (%d voters)", c.Member.ID.Name, c.Member.Voter, c.Remove, st.Members.Voters())
	s.step(k, c.ChangeMember)
}

// applyPersist applies a synced write to the state on disk.
func applyPersist(st *rlog.StoredState, p rlog.Persist) {
	st.Hard = p.Hard
	if p.Snapshot != nil {
		st.Snapshot = *p.Snapshot
	}
	if p.Truncate > 0 {
		st.Entries = slices.DeleteFunc(st.Entries, func(e rlog.Entry) bool { return e.Index >= p.Truncate })
	}
	st.Entries = append(st.Entries, p.Entries...)
}

// members returns the membership of the running replica with the newest log. That of
// a frozen one may not be in force.
func (s *simGroup) members() rlog.Membership {
	var newest rlog.Status
	for _, k := range s.keepers {
		if !k.running() {
			continue
		}
		if st := k.node.Status(); st.Term > newest.Term || st.Term == newest.Term && st.Last > newest.Last {
			newest = st
		}
	}
	return newest.Members
}

// checkQuorum fails the test when the running voters are not a quorum.
func (s *simGroup) checkQuorum() {
	if s.dark {
		return
	}
	ms := s.members()
	running := 0
	for _, m := range ms {
		if k := s.find(m.ID); m.Voter && k != nil && k.running() {
			running++
		}
	}
	if running < ms.Voters()/2+1 {
		s.t.Fatalf("%d of %d voters are running at %v:\n%s", running, ms.Voters(), s.now, joinLines(s.events))
	}
}

func joinLines(lines []string) string {
	out := ""
	for _, l := range lines {
		out += l + "\n"
	}
	return out
}

func (s *simGroup) leader() *simKeeper {
	for _, k := range s.keepers {
		if k.running() && k.node.Status().Role == rlog.Leader {
			return k
		}
	}
	return nil
}

// checkCommits fails the test unless a command commits within two election timeouts.
func (s *simGroup) checkCommits() {
	for range 300 {
		s.run(simTick)
		if l := s.leader(); l != nil && l.node.Status().Commit == l.node.Status().Last {
			return
		}
	}
	s.t.Fatalf("the group commits nothing at %v:\n%s", s.now, joinLines(s.events))
}

// pick returns n running keepers at random, the leader first in every other call.
func (s *simGroup) pick(n int) []*simKeeper {
	var all []*simKeeper
	for _, k := range s.keepers {
		if k.running() && !k.leaving {
			all = append(all, k)
		}
	}
	s.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	if i := slices.Index(all, s.leader()); i > 0 && s.rng.IntN(2) == 0 {
		all[0], all[i] = all[i], all[0]
	}
	return all[:n]
}

func (s *simGroup) randomTime(most time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(most))).Truncate(simTick)
}
