package repair_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/repair"
	"cyclamenrelay.example/rlog"
)

// applyAutomatic applies automatic changes until there are none left. It checks
// after each that the live keepers, if at least three, are a quorum.
func applyAutomatic(t *testing.T, m rlog.Membership, live map[string]rlog.ID, absent map[string]bool) rlog.Membership {
	for range 30 {
		st := rlog.Status{Members: m, Commit: 7, Match: map[rlog.ID]uint64{}}
		for _, i := range live {
			st.Match[i] = 7
		}
		c, ok := repair.NextChange(st, repair.AutoMembers(st, live, absent), live)
		if !ok {
			return m
		}
		if c.Remove {
			m = m.Without(c.Member.ID)
		} else {
			m = m.With(c.Member)
		}
		votes := 0
		for _, i := range live {
			if m.IsVoter(i) {
				votes++
			}
		}
		assert.Assert(t, 2*votes > m.Voters() || len(live) < 3, "the live keepers are no longer a quorum: %v", m)
	}
	t.Fatal("the membership still changes after 30 changes")
	return nil
}

func absentNames(names ...string) map[string]bool {
	out := map[string]bool{}
	for _, n := range names {
		out[n] = true
	}
	return out
}

func TestAutomaticMembership(t *testing.T) {
	e := id("e", 1)
	for name, x := range map[string]struct {
		members rlog.Membership
		live    map[string]rlog.ID
		absent  map[string]bool
		want    rlog.Membership
	}{
		"a new keeper joins":                      {voters(a, b, c), liveReplicas(a, b, c, d), nil, voters(a, b, c, d)},
		"one of three stays though it is absent":  {voters(a, b, c), liveReplicas(a, b), absentNames("c"), voters(a, b, c)},
		"a new keeper replaces an absent one":     {voters(a, b, c), liveReplicas(a, b, d), absentNames("c"), voters(a, b, d)},
		"a briefly absent member stays":           {voters(a, b, c), liveReplicas(a, b, d), nil, voters(a, b, c, d)},
		"a keeper that lost its data is re-added": {voters(a, b, c), liveReplicas(a, b, c2), nil, voters(a, b, c2)},
		"one of four is replaced":                 {voters(a, b, c, d), liveReplicas(a, c, d, e), absentNames("b"), voters(a, c, d, e)},
	} {
		t.Run(name, func(t *testing.T) { assert.DeepEqual(t, applyAutomatic(t, x.members, x.live, x.absent), x.want) })
	}
}

func TestAbsenceIsTimed(t *testing.T) {
	now, away := time.Unix(1_700_000_000, 0), repair.AbsentSince{}
	ms := voters(a, b, c)
	assert.DeepEqual(t, away.Absent(ms, liveReplicas(a, b), now), map[string]bool{"c": false})
	assert.DeepEqual(t, away.Absent(ms, liveReplicas(a, b), now.Add(time.Second)), map[string]bool{"c": true})
	assert.DeepEqual(t, away.Absent(ms, liveReplicas(a, b, c), now.Add(2*time.Second)), map[string]bool{})
	assert.DeepEqual(t, away.Absent(ms, liveReplicas(a, b), now.Add(3*time.Second)), map[string]bool{"c": false})
}

func TestAutomaticMembershipIsBounded(t *testing.T) {
	var live []rlog.ID
	for _, n := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"} {
		live = append(live, id(n, 1))
	}
	assert.Equal(t, applyAutomatic(t, voters(a, b, c), liveReplicas(live...), nil).Voters(), 7)
}
