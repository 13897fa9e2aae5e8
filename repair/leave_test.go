package repair_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/repair"
	"cyclamenrelay.example/rlog"
	"cyclamenrelay.example/wire"
)

// Guards against a keeper that stops before it is replaced, and one that waits for a
// replacement that cannot come.
func TestStoppingKeeperWaitsWhileItCanBeReplaced(t *testing.T) {
	group := func(leads bool, term uint64, ms rlog.Membership) wire.KeeperState {
		return wire.KeeperState{Groups: []wire.GroupState{{IsLeader: leads, Term: term, Members: ms}}}
	}
	changing := wire.KeeperState{Groups: []wire.GroupState{{IsLeader: true, Term: 2, Members: voters(b, c, d), Changing: true}}}
	standby := voters(a, b, c).With(rlog.Member{ID: d})
	for name, x := range map[string]struct {
		others []wire.KeeperState
		want   bool
	}{
		"a standby can vote":               {[]wire.KeeperState{group(true, 2, standby)}, true},
		"more voters than needed":          {[]wire.KeeperState{group(true, 2, voters(a, b, c, d))}, true},
		"no other keeper":                  {[]wire.KeeperState{group(true, 2, voters(a, b, c))}, false},
		"replaced":                         {[]wire.KeeperState{group(true, 2, voters(b, c, d)), group(false, 2, standby)}, false},
		"a follower does not know it yet":  {[]wire.KeeperState{group(false, 2, standby), group(true, 2, voters(b, c, d))}, false},
		"a former leader does not know it": {[]wire.KeeperState{group(true, 2, standby), group(true, 3, voters(b, c, d))}, false},
		"no leader yet":                    {[]wire.KeeperState{group(false, 2, standby), group(false, 2, standby)}, true},
		"the change is not committed":      {[]wire.KeeperState{changing, group(false, 2, standby)}, true},
		"nobody has answered":              {nil, true},
		"a new keeper answers first":       {[]wire.KeeperState{group(false, 0, nil), group(false, 2, standby)}, true},
		"a new keeper answers alone":       {[]wire.KeeperState{group(false, 0, nil)}, true},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, repair.AwaitsReplacement(a, 2, x.others, threeKeepers), x.want) })
	}
	assert.Assert(t, !repair.AwaitsReplacement(a, 0, nil, threeKeepers), "there is no other keeper")
}
