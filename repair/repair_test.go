package repair_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/repair"
	"cyclamenrelay.example/rlog"
	"cyclamenrelay.example/wire"
)

func id(name string, inc uint64) rlog.ID { return rlog.ID{Name: name, Incarnation: inc} }

func voters(ids ...rlog.ID) rlog.Membership {
	var m rlog.Membership
	for _, i := range ids {
		m = m.With(rlog.Member{ID: i, Voter: true})
	}
	return m
}

// applyChanges applies the changes that NextChange returns until there are none left, as
// a leader whose learners catch up at once.
func applyChanges(t *testing.T, m rlog.Membership, wanted map[string]bool, live map[string]rlog.ID) (rlog.Membership, []rlog.ChangeMember) {
	var done []rlog.ChangeMember
	for range 20 {
		st := rlog.Status{Members: m, Commit: 7, Match: map[rlog.ID]uint64{}}
		for _, i := range live {
			st.Match[i] = 7
		}
		c, ok := repair.NextChange(st, wanted, live)
		if !ok {
			return m, done
		}
		done = append(done, c)
		if c.Remove {
			m = m.Without(c.Member.ID)
		} else {
			m = m.With(c.Member)
		}
	}
	t.Fatalf("the membership still changes after 20 changes: %v", done)
	return nil, nil
}

var a, b, c, c2, d = id("a", 1), id("b", 1), id("c", 1), id("c", 2), id("d", 1)

func liveReplicas(ids ...rlog.ID) map[string]rlog.ID {
	out := map[string]rlog.ID{}
	for _, i := range ids {
		out[i.Name] = i
	}
	return out
}

func TestHealthyMembershipStays(t *testing.T) {
	_, done := applyChanges(t, voters(a, b, c), nil, liveReplicas(a, b, c))
	assert.Equal(t, len(done), 0)
	_, done = applyChanges(t, voters(a, b, c), nil, liveReplicas(a, b))
	assert.Equal(t, len(done), 0, "a member that is down was removed")
}

func TestLostReplicaIsReplaced(t *testing.T) {
	m, done := applyChanges(t, voters(a, b, c), nil, liveReplicas(a, b, c2))
	assert.DeepEqual(t, m, voters(a, b, c2))
	assert.DeepEqual(t, done, []rlog.ChangeMember{
		{Member: rlog.Member{ID: c2}},
		{Member: rlog.Member{ID: c, Voter: true}, Remove: true},
		{Member: rlog.Member{ID: c2, Voter: true}},
	})
}

func TestLaggingLearnerIsNotPromoted(t *testing.T) {
	m := voters(a, b, c).With(rlog.Member{ID: c2})
	st := rlog.Status{Members: m, Commit: 7, Match: map[rlog.ID]uint64{c2: 6}}
	_, ok := repair.NextChange(st, nil, liveReplicas(a, b, c2))
	assert.Assert(t, !ok, "the lost replica was removed before the learner has caught up")
}

func TestDecidedKeepersJoinAndLeave(t *testing.T) {
	m, done := applyChanges(t, voters(a, b, c), map[string]bool{"d": true, "c": false}, liveReplicas(a, b, c, d))
	assert.DeepEqual(t, m, voters(a, b, d))
	assert.DeepEqual(t, done[len(done)-1], rlog.ChangeMember{Member: rlog.Member{ID: c, Voter: true}, Remove: true})
}

func TestMemberStaysUntilItsReplacementVotes(t *testing.T) {
	_, done := applyChanges(t, voters(a, b, c), map[string]bool{"d": true, "c": false}, liveReplicas(a, b, c))
	assert.Equal(t, len(done), 0)
}

func TestUnwantedKeeperIsNotAdded(t *testing.T) {
	_, done := applyChanges(t, voters(a, b, c), nil, liveReplicas(a, b, c, d))
	assert.Equal(t, len(done), 0)
}

func keeper(self rlog.ID, members rlog.Membership, last uint64) wire.KeeperState {
	return wire.KeeperState{Self: self, Groups: []wire.GroupState{{Members: members, Last: last}}}
}

func TestInitialMembership(t *testing.T) {
	all := voters(a, b, c)
	for _, x := range []struct {
		name   string
		others []wire.KeeperState
		want   rlog.Membership
	}{
		{"no keeper has state", []wire.KeeperState{keeper(b, nil, 0), keeper(c, nil, 0)}, all},
		{"one has just bootstrapped", []wire.KeeperState{keeper(b, all, 1), keeper(c, nil, 0)}, all},
		{"one has committed more entries", []wire.KeeperState{keeper(b, all, 5), keeper(c, nil, 0)}, nil},
		{"this keeper lost its folder", []wire.KeeperState{keeper(b, voters(id("a", 9), b, c), 1), keeper(c, nil, 0)}, nil},
		{"a keeper has fewer groups", []wire.KeeperState{{Self: b}}, nil},
	} {
		assert.DeepEqual(t, repair.InitialMembers(a, 0, x.others), x.want)
	}
}
