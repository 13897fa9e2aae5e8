package repair_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/repair"
	"cyclamenrelay.example/rlog"
)

var (
	threeKeepers = repair.Limits{Tolerance: 1, CatchUp: 4 * time.Second}
	fiveKeepers  = repair.Limits{Tolerance: 2, CatchUp: 6 * time.Second}
	start        = time.Unix(1_700_000_000, 0)
)

// seen is what a leader knows of a group: the silence of each member that is not
// heard now, and the announcements.
type seen struct {
	members rlog.Membership
	silent  map[rlog.ID]time.Duration
	keepers []repair.Announced
}

func (x seen) status() rlog.Status {
	st := rlog.Status{Role: rlog.Leader, Members: x.members, Commit: 7, Match: map[rlog.ID]uint64{}, Silence: map[rlog.ID]time.Duration{}}
	for _, m := range x.members {
		st.Match[m.ID], st.Silence[m.ID] = 7, x.silent[m.ID]
	}
	return st
}

// applyAutomatic applies automatic changes until there are none left. It checks
// after each that the voters that are heard, if at least three, are a quorum.
func applyAutomatic(t *testing.T, l repair.Limits, x seen) (rlog.Membership, repair.Decision) {
	auto := repair.NewAutomatic(l)
	for range 30 {
		d := auto.Next(start, x.status(), x.keepers)
		c, ok := d.(repair.Change)
		if !ok {
			return x.members, d
		}
		if c.Remove {
			x.members = x.members.Without(c.Member.ID)
		} else {
			var allowed bool
			x.members, allowed = x.members.Change(c.ChangeMember)
			assert.Assert(t, allowed, "the group would drop the change %v", c)
		}
		heard := 0
		for _, k := range x.keepers {
			if x.members.IsVoter(k.ID) && x.silent[k.ID] == 0 {
				heard++
			}
		}
		assert.Assert(t, 2*heard > x.members.Voters() || len(x.keepers) < 3, "the live keepers are no longer a quorum: %v", x.members)
	}
	t.Fatal("the membership still changes after 30 changes")
	return nil, nil
}

func announced(ids ...rlog.ID) []repair.Announced {
	var out []repair.Announced
	for _, i := range ids {
		out = append(out, repair.Announced{ID: i})
	}
	return out
}

func silentFor(d time.Duration, ids ...rlog.ID) map[rlog.ID]time.Duration {
	out := map[rlog.ID]time.Duration{}
	for _, i := range ids {
		out[i] = d
	}
	return out
}

func TestAutomaticMembership(t *testing.T) {
	e, f := id("e", 1), id("f", 1)
	lost := silentFor(threeKeepers.Detection(), a, b, c)
	only := func(ids ...rlog.ID) map[rlog.ID]time.Duration {
		out := map[rlog.ID]time.Duration{}
		for _, i := range ids {
			out[i] = lost[i]
		}
		return out
	}
	for name, x := range map[string]struct {
		limits repair.Limits
		seen   seen
		want   rlog.Membership
	}{
		"a fourth keeper stands by":                {threeKeepers, seen{voters(a, b, c), nil, announced(a, b, c, d)}, voters(a, b, c).With(rlog.Member{ID: d})},
		"two more keepers vote":                    {threeKeepers, seen{voters(a, b, c), nil, announced(a, b, c, d, e)}, voters(a, b, c, d, e)},
		"a standby makes four voters five":         {threeKeepers, seen{voters(a, b, c, d), nil, announced(a, b, c, d, e)}, voters(a, b, c, d, e)},
		"one of three stays though it is lost":     {threeKeepers, seen{voters(a, b, c), only(c), announced(a, b)}, voters(a, b, c)},
		"a new keeper replaces a lost one":         {threeKeepers, seen{voters(a, b, c), only(c), announced(a, b, d)}, voters(a, b, d)},
		"a lost one that is still listed goes too": {threeKeepers, seen{voters(a, b, c), only(c), append(announced(a, b, d), repair.Announced{ID: c, Age: 2 * time.Second})}, voters(a, b, d)},
		"a keeper that lost its data is re-added":  {threeKeepers, seen{voters(a, b, c), nil, announced(a, b, c2)}, voters(a, b, c2)},
		"one of four goes":                         {threeKeepers, seen{voters(a, b, c, d), only(b), announced(a, c, d)}, voters(a, c, d)},
		"one of four is replaced by a standby":     {threeKeepers, seen{voters(a, b, c, d), only(b), announced(a, c, d, e)}, voters(a, c, d).With(rlog.Member{ID: e})},
		"two of five stay":                         {fiveKeepers, seen{voters(a, b, c, d, e), silentFor(fiveKeepers.Detection(), a, b), announced(c, d, e)}, voters(a, b, c, d, e)},
		"one of two lost ones is replaced":         {fiveKeepers, seen{voters(a, b, c, d, e), map[rlog.ID]time.Duration{a: 9 * time.Second, b: 8 * time.Second}, announced(c, d, e, f)}, voters(b, c, d, e, f)},
		"seeds are joined up to the tolerance":     {fiveKeepers, seen{voters(a, b, c), nil, announced(a, b, c, d, e)}, voters(a, b, c, d, e)},
		"a seed that lost its data, with too few":  {fiveKeepers, seen{voters(a, b, c), nil, announced(a, b, c2)}, voters(a, b, c2)},
	} {
		t.Run(name, func(t *testing.T) {
			got, _ := applyAutomatic(t, x.limits, x.seen)
			assert.DeepEqual(t, got, x.want)
		})
	}
}

// Guards against two live voters of four: a successor that votes beside a voter
// that is silent but not yet taken for lost.
func TestNoVoterIsAddedBesideASilentOne(t *testing.T) {
	silent := silentFor(threeKeepers.Detection()-time.Millisecond, c)
	ms := voters(a, b, c).With(rlog.Member{ID: d}).With(rlog.Member{ID: id("e", 1)})
	got, d := applyAutomatic(t, threeKeepers, seen{ms, silent, announced(a, b, d, id("e", 1))})
	assert.DeepEqual(t, got, ms)
	assert.DeepEqual(t, d, repair.Wait{Reason: "a voter is silent, and not yet taken for lost"})
}

// Guards against a voter that stops and leaves the group one short, although another
// keeper can vote in its place.
func TestLeavingVoterIsReplaced(t *testing.T) {
	leaving := []repair.Announced{{ID: a}, {ID: b, Leaving: true}, {ID: c}, {ID: d}}
	got, _ := applyAutomatic(t, threeKeepers, seen{voters(a, b, c).With(rlog.Member{ID: d}), nil, leaving})
	assert.DeepEqual(t, got, voters(a, c, d))
	got, d := applyAutomatic(t, threeKeepers, seen{voters(a, b, c), nil, leaving[:3]})
	assert.DeepEqual(t, got, voters(a, b, c))
	assert.DeepEqual(t, d, repair.Wait{Reason: "no other keeper can take the place of b, which leaves"})
}

// Guards against a leaving voter that stays because no further voter is allowed.
func TestLeavingVoterOfTheLargestGroupIsReplaced(t *testing.T) {
	var ids []rlog.ID
	for _, n := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		ids = append(ids, id(n, 1))
	}
	keepers := announced(ids...)
	keepers[0].Leaving = true
	got, _ := applyAutomatic(t, repair.Limits{Tolerance: 3, CatchUp: 6 * time.Second}, seen{voters(ids[:7]...).With(rlog.Member{ID: ids[7]}), nil, keepers})
	assert.DeepEqual(t, got, voters(ids[1:]...))
}

// Guards against a leader that removes live voters because it has heard nobody.
func TestLeaderWithoutAQuorumChangesNoVoter(t *testing.T) {
	got, _ := applyAutomatic(t, threeKeepers, seen{voters(a, b, c, d), silentFor(time.Hour, b, c, d), announced(a)})
	assert.DeepEqual(t, got, voters(a, b, c, d))
}

// Guards against a lost keeper that becomes a learner again by the announcement that
// it made before its loss.
func TestRemovedKeeperIsReaddedByANewAnnouncementOnly(t *testing.T) {
	auto := repair.NewAutomatic(threeKeepers)
	x := seen{voters(a, b, c, d), silentFor(threeKeepers.Detection(), d), append(announced(a, b, c), repair.Announced{ID: d, Age: 1500 * time.Millisecond})}
	removed, ok := auto.Next(start, x.status(), x.keepers).(repair.Change)
	assert.Assert(t, ok && removed.Remove && removed.Member.ID == d)
	x.members = x.members.Without(d)
	now := start.Add(time.Second)
	x.keepers[3].Age = 2500 * time.Millisecond
	assert.DeepEqual(t, auto.Next(now, x.status(), x.keepers), repair.Decision(repair.Settled{}))
	x.keepers[3].Age = 100 * time.Millisecond
	assert.DeepEqual(t, auto.Next(now, x.status(), x.keepers), repair.Decision(repair.Change{ChangeMember: rlog.ChangeMember{Member: rlog.Member{ID: d}}}))
}

// Guards against a new keeper that is added and dropped by turns until the leader
// reaches it.
func TestLearnerThatAnnouncesItselfIsKept(t *testing.T) {
	x := seen{voters(a, b, c).With(rlog.Member{ID: d}), silentFor(time.Hour, d), announced(a, b, c, d)}
	got, _ := applyAutomatic(t, threeKeepers, x)
	assert.DeepEqual(t, got, x.members)
	x.keepers[3].Age = 4 * time.Second
	got, _ = applyAutomatic(t, threeKeepers, x)
	assert.DeepEqual(t, got, voters(a, b, c))
}

// Guards against a time to take a voter for lost that leaves none for its replacement.
func TestDetectionLeavesTimeForTheReplacement(t *testing.T) {
	for catchUp := 4 * time.Second; catchUp < time.Minute; catchUp += 100 * time.Millisecond {
		l := repair.Limits{Tolerance: 1, CatchUp: catchUp}
		assert.NilError(t, l.Check())
		assert.Assert(t, l.Detection() >= time.Second && l.Detection() <= 5*time.Second, "%v", l.Detection())
	}
	assert.ErrorContains(t, repair.Limits{Tolerance: 1, CatchUp: 3900 * time.Millisecond}.Check(), "after 4s")
}

func TestAutomaticMembershipIsBounded(t *testing.T) {
	var live []rlog.ID
	for _, n := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"} {
		live = append(live, id(n, 1))
	}
	got, _ := applyAutomatic(t, threeKeepers, seen{voters(a, b, c), nil, announced(live...)})
	assert.Equal(t, got.Voters(), 7)
	assert.Equal(t, len(got), 8, "voters and one standby")
}

// BenchmarkNext decides on a settled group of the largest size among 21 keepers.
func BenchmarkNext(b *testing.B) {
	l := repair.Limits{Tolerance: 3, CatchUp: 6 * time.Second}
	x := seen{}
	for n := range 21 {
		i := id(string(rune('a'+n)), 1)
		x.keepers = append(x.keepers, repair.Announced{ID: i, Age: time.Second})
		if n < 8 {
			x.members = x.members.With(rlog.Member{ID: i, Voter: n < 7})
		}
	}
	st, auto := x.status(), repair.NewAutomatic(l)
	for b.Loop() {
		auto.Next(start, st, x.keepers)
	}
}

// Guards against a lost voter that is never replaced, as no successor comes that fits.
func TestCrowdingSuccessorVotesInTheEnd(t *testing.T) {
	l := repair.Limits{Tolerance: 1, CatchUp: 4 * time.Second, SpreadVoters: true}
	x := seen{voters(a, b, c), silentFor(l.Detection(), c), announced(a, b, d)}
	for i, dc := range []string{"x", "y", "x"} {
		x.keepers[i].DataCentre = dc
	}
	got, d1 := applyAutomatic(t, l, x)
	assert.DeepEqual(t, got, voters(a, b, c).With(rlog.Member{ID: d}))
	assert.DeepEqual(t, d1, repair.Wait{Reason: "no successor of lost voter c has caught up"})
	x.silent[c] = l.Detection() + l.CatchUp
	got, _ = applyAutomatic(t, l, x)
	assert.DeepEqual(t, got, voters(a, b, d))
}

// Guards against a majority of the voters in one data centre after a wiped keeper is not
// heard for a moment: the next standby took its place.
func TestSuccessorThatFitsIsWaitedFor(t *testing.T) {
	l := repair.Limits{Tolerance: 1, CatchUp: 4 * time.Second, SpreadVoters: true}
	ms := voters(a, b).With(rlog.Member{ID: c2}).With(rlog.Member{ID: d})
	x := seen{ms, silentFor(600*time.Millisecond, c2), announced(a, b, c2, d)}
	for i, dc := range []string{"x", "y", "z", "x"} {
		x.keepers[i].DataCentre = dc
	}
	got, waits := applyAutomatic(t, l, x)
	assert.DeepEqual(t, got, ms)
	assert.DeepEqual(t, waits, repair.Wait{Reason: "a successor in another data centre has not caught up"})
	x.silent[c2] = l.CatchUp
	got, _ = applyAutomatic(t, l, x)
	assert.DeepEqual(t, got, voters(a, b, d).With(rlog.Member{ID: c2}))
}
