package repair_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"cyclamenrelay.example/repair"
	"cyclamenrelay.example/rlog"
	"cyclamenrelay.example/wire"
)

// overlap loses machines of a group one after the other, each as soon as the
// deployment allows it: at most Limits.Tolerance count as lost at the same time.
type overlap struct {
	*simGroup
	due []dueEvent
	// counted has the time until which each lost machine counts, for ever while it is
	// not back.
	counted map[*simKeeper]time.Duration
	kinds   []func(*overlap, *simKeeper)
	planned bool // planned replacements beside the losses
	allHit  bool // all machines are hit at times
}

type dueEvent struct {
	at time.Duration
	do func()
}

// simGrace is the time between SIGTERM and the end of a process.
const simGrace = 6 * time.Second

const forEver = time.Duration(1<<63 - 1)

func (o *overlap) after(d time.Duration, do func()) {
	o.due = append(o.due, dueEvent{o.now + d, do})
}

// back notes that lost, or its successor, runs from now on.
func (o *overlap) back(lost *simKeeper) { o.counted[lost] = o.now + o.limits.CatchUp }

// replaceLater loses a machine for good. Its empty successor starts up to 2 s later.
func replaceLater(o *overlap, k *simKeeper) {
	o.stop(k, true)
	o.after(o.randomTime(2*time.Second), func() {
		o.start(&simKeeper{id: o.newID(), dc: k.dc})
		o.back(k)
	})
}

// wipeLater takes a machine down. It is back up to 2 s later, without its disk.
func wipeLater(o *overlap, k *simKeeper) {
	o.stop(k, true)
	o.after(o.randomTime(2*time.Second), func() {
		o.start(&simKeeper{id: rlog.ID{Name: k.id.Name, Incarnation: k.id.Incarnation + 1}, dc: k.dc})
		o.back(k)
	})
}

// restartLater takes a machine down. It is back up to 6 s later, with its disk.
func restartLater(o *overlap, k *simKeeper) {
	o.stop(k, false)
	o.after(o.randomTime(6*time.Second), func() {
		o.start(k)
		o.back(k)
	})
}

// freezeLater suspends a machine for up to 6 s.
func freezeLater(o *overlap, k *simKeeper) {
	k.frozen = true
	o.note("%s freezes", k.id.Name)
	o.after(o.randomTime(6*time.Second), func() {
		k.frozen = false
		o.note("%s thaws", k.id.Name)
		o.back(k)
	})
}

// dataCentre returns one at random, or none while the machines have none.
func (o *overlap) dataCentre() string { return o.keepers[o.rng.IntN(len(o.keepers))].dc }

// loseDataCentre takes all machines of a data centre down once none counts as lost. They
// are back up to 6 s later, with their disks.
func (o *overlap) loseDataCentre() {
	if o.lost() > 0 {
		o.after(simTick, o.loseDataCentre)
		return
	}
	dc := o.dataCentre()
	o.note("data centre %s is lost", dc)
	for _, k := range o.keepers {
		if k.dc == dc && k.running() && !k.leaving {
			o.counted[k] = forEver
			restartLater(o, k)
		}
	}
	o.after(10*time.Second, o.loseDataCentre)
}

// hitAll kills all processes at the same moment, or cuts the machines into two halves.
// The deployment allows both beside any losses, which are suspended until the machines
// have had their time.
func (o *overlap) hitAll() {
	o.dark = true
	kill := o.rng.IntN(2) == 0
	o.side = map[rlog.ID]bool{}
	var all []*simKeeper
	for i, k := range o.keepers {
		if k.node == nil {
			continue
		}
		all = append(all, k)
		o.counted[k] = forEver
		o.side[k.id] = !kill && i%2 == 0
		if kill {
			o.stop(k, false)
			o.after(o.randomTime(time.Second), func() { o.start(k) })
		}
	}
	o.note("all are hit, killed %t", kill)
	o.after(time.Second+o.randomTime(3*time.Second), func() {
		o.dark, o.side = false, nil
		for _, k := range all {
			o.back(k)
		}
	})
	o.after(20*time.Second, o.hitAll)
}

// victim returns a machine that does not count as lost, the leader in two cases of
// three.
func (o *overlap) victim() *simKeeper {
	if l := o.leader(); l != nil && o.counted[l] <= o.now && o.rng.IntN(3) > 0 {
		return l
	}
	var all []*simKeeper
	for _, k := range o.keepers {
		if k.running() && o.counted[k] <= o.now && o.members().IsVoter(k.id) {
			all = append(all, k)
		}
	}
	if len(all) == 0 {
		return nil
	}
	return all[o.rng.IntN(len(all))]
}

func (o *overlap) lost() int {
	n := 0
	for _, until := range o.counted {
		if until > o.now {
			n++
		}
	}
	return n
}

// planReplacement starts a successor, and shuts down a machine once that one has had
// its time, so that the machine never counts as lost.
func (o *overlap) planReplacement() {
	next := &simKeeper{id: o.newID(), dc: o.dataCentre()}
	o.start(next)
	o.counted[next] = o.now + o.limits.CatchUp
	var shutDown func()
	shutDown = func() {
		old := o.victim()
		if old == nil || old == next || old.dc != next.dc || o.counted[next] > o.now {
			o.after(200*time.Millisecond, shutDown)
			return
		}
		o.note("%s shuts down", old.id.Name)
		old.leaving = true
		o.announceTo(old)
		o.drain(old, next, o.now+simGrace)
	}
	o.after(o.limits.CatchUp+o.randomTime(time.Second), shutDown)
}

// drain does what Keeper.Drain does, in steps.
func (o *overlap) drain(old, next *simKeeper, until time.Duration) {
	if old.gone || !old.running() {
		o.after(4*time.Second, o.planReplacement)
		return
	}
	again := func() { o.drain(old, next, until) }
	if st := old.node.Status(); st.Role == rlog.Leader && o.now < until {
		o.step(old, rlog.TransferLeadership{})
		o.after(100*time.Millisecond, again)
		return
	}
	asked := 0
	var others []wire.KeeperState
	for _, a := range old.table.Announcements() {
		for _, k := range o.keepers {
			if k == old || k.id.Name != a.Node.Name || a.Node.Leaving {
				continue
			}
			asked++
			if k.running() && o.rng.Float64() >= o.loss {
				st := k.node.Status()
				others = append(others, wire.KeeperState{Self: k.id, Groups: []wire.GroupState{{
					Members: st.Members, IsLeader: st.Role == rlog.Leader, Term: st.Term, Commit: st.Commit, Last: st.Last, Changing: st.Changing,
				}}})
			}
		}
	}
	o.rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	if o.now < until && repair.AwaitsReplacement(old.id, asked, others, o.limits) {
		o.after(100*time.Millisecond, again)
		return
	}
	o.stop(old, true)
	o.counted[old] = 0
	o.after(o.randomTime(6*time.Second), o.planReplacement)
}

// play runs for d, and loses a machine up to pause after that is allowed.
func (o *overlap) play(d, pause time.Duration) {
	var loseAt time.Duration
	if o.planned {
		o.planReplacement()
	}
	switch {
	case o.limits.SpreadVoters:
		o.after(o.limits.CatchUp, o.loseDataCentre)
	case o.allHit:
		o.after(10*time.Second, o.hitAll)
	}
	for end := o.now + d; o.now < end; o.run(simTick) {
		due := o.due
		o.due = slices.DeleteFunc(slices.Clone(due), func(e dueEvent) bool { return e.at <= o.now })
		for _, e := range due {
			if e.at <= o.now {
				e.do()
			}
		}
		if o.lost() >= o.limits.Tolerance {
			loseAt = 0
			continue
		}
		if loseAt == 0 {
			loseAt = o.now + o.randomTime(pause)
		}
		if k := o.victim(); o.now >= loseAt && k != nil && !k.leaving {
			o.counted[k] = forEver
			o.kinds[o.rng.IntN(len(o.kinds))](o, k)
			loseAt = 0
		}
	}
}

// Guards against a quorum that is lost when machines are lost a moment apart, leaders
// among them: a leader that is lost between two changes, and one whose successor
// takes the others for lost anew.
func TestOverlappingLossesKeepAQuorum(t *testing.T) {
	kinds := map[string][]func(*overlap, *simKeeper){
		"replaced": {replaceLater},
		"wiped":    {wipeLater},
		"mixed":    {replaceLater, wipeLater, restartLater, freezeLater},
		"all hit":  {replaceLater, wipeLater, restartLater, freezeLater},
		"planned":  {replaceLater, wipeLater, restartLater, freezeLater},
	}
	three, five := repair.Limits{Tolerance: 1, CatchUp: 4 * time.Second}, repair.Limits{Tolerance: 2, CatchUp: 6 * time.Second}
	for _, l := range []repair.Limits{three, five} {
		for name, ks := range kinds {
			t.Run(fmt.Sprintf("%s/%d", name, l.Voters()), func(t *testing.T) {
				for seed := range uint64(overlapSeeds) {
					s := newSimGroup(t, seed, l.Voters(), l)
					s.loss, s.delay, s.resend, s.syncDelay = 0.05, 20*time.Millisecond, 300*time.Millisecond, 50*time.Millisecond
					o := &overlap{simGroup: s, counted: map[*simKeeper]time.Duration{}, kinds: ks, planned: name == "planned", allHit: name == "all hit"}
					o.play(2*time.Minute, []time.Duration{simTick, time.Second, 4 * time.Second}[seed%3])
					s.checkCommits()
				}
			})
		}
	}
}

// Guards against a voter that is replaced too late because the leader that was about to
// is lost too, and the next one takes it for lost anew.
func TestTwoLeadersLostInARowAreReplacedInTime(t *testing.T) {
	l := repair.Limits{Tolerance: 2, CatchUp: 6 * time.Second}
	for seed := range uint64(100) {
		s := newSimGroup(t, seed, l.Voters(), l)
		s.loss, s.delay, s.resend, s.syncDelay = 0.05, 20*time.Millisecond, 300*time.Millisecond, 50*time.Millisecond
		s.checkCommits()
		replaceLeader := func() rlog.ID {
			k := s.leader()
			s.stop(k, true)
			s.start(&simKeeper{id: s.newID()})
			return k.id
		}
		first, at := replaceLeader(), s.now
		for s.now-at < l.CatchUp {
			if k := s.leader(); k != nil && k.node.Status().Silence[first] >= l.Detection()-200*time.Millisecond {
				replaceLeader()
				break
			}
			s.run(simTick)
		}
		for s.members().IsVoter(first) {
			if s.run(simTick); s.now-at > l.CatchUp {
				t.Fatalf("seed %d: %s votes %v after its loss:\n%s", seed, first.Name, s.now-at, joinLines(s.events))
			}
		}
	}
}

// Guards against a new cluster whose seeds are too few for the tolerance once its
// keepers no longer count as lost.
func TestSeedsAreJoinedWithinTheCatchUpTime(t *testing.T) {
	l := repair.Limits{Tolerance: 2, CatchUp: 6 * time.Second}
	for seed := range uint64(50) {
		s := newSimGroup(t, seed, 3, l)
		s.loss, s.delay, s.resend, s.syncDelay = 0.05, 20*time.Millisecond, 300*time.Millisecond, 50*time.Millisecond
		for range 2 {
			s.start(&simKeeper{id: s.newID()})
		}
		s.run(l.CatchUp)
		if n := s.members().Voters(); n != 5 {
			t.Fatalf("seed %d: %d voters:\n%s", seed, n, joinLines(s.events))
		}
	}
}

// Guards against the loss of a data centre that ends the quorum, beside planned
// replacements and the losses of single machines in turn.
func TestLossesOfDataCentresKeepAQuorum(t *testing.T) {
	l := repair.Limits{Tolerance: 2, CatchUp: 6 * time.Second, SpreadVoters: true}
	for seed := range uint64(overlapSeeds) {
		s := newSimGroup(t, seed, l.Voters(), l)
		for i, dc := range []string{"a", "a", "b", "b", "c"} {
			s.keepers[i].dc = dc
		}
		s.run(2 * simAnnounce)
		s.loss, s.delay, s.resend, s.syncDelay = 0.05, 20*time.Millisecond, 300*time.Millisecond, 50*time.Millisecond
		o := &overlap{simGroup: s, counted: map[*simKeeper]time.Duration{}, kinds: []func(*overlap, *simKeeper){replaceLater, wipeLater}, planned: seed%2 == 0}
		o.play(2*time.Minute, 8*time.Second)
		s.checkCommits()
	}
}

const overlapSeeds = 20
