package keeper_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/rlog"
	"cyclamenrelay.example/wire"
)

// Guards against a keeper that ends between the promotion of its successor and its own
// removal, as an election beside it takes longer than one change.
func TestStoppingKeeperWaitsAsLongAsItMay(t *testing.T) {
	const answers = 25
	c := newCluster(t, "k1", "k2")
	k1 := c.initial[0].Address
	var asked atomic.Int32
	other := c.newNode("k2", c.initial[1].Address, keys.Keeper)
	announce := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		self := wire.Node{Name: "k2", Address: c.initial[1].Address, Roles: []string{string(keys.Keeper)}, Incarnation: 1, Replica: 7}
		_, err := other.Call(ctx, link.Dest{Address: k1, Role: keys.Keeper}, wire.FindNodes{Self: self})
		return err
	}
	link.Handle(other.Mux(), func(context.Context, link.Peer, wire.GetKeeperState) wire.Message {
		n := asked.Add(1)
		go func() { _ = announce() }()
		time.Sleep(100 * time.Millisecond)
		s := wire.KeeperState{Self: rlog.ID{Name: "k2", Incarnation: 7}}
		for g := range uint64(2) {
			s.Groups = append(s.Groups, wire.GroupState{
				Group: g, Members: rlog.Membership{{ID: s.Self, Voter: true}}, IsLeader: true, Term: 2, Last: 9, Changing: n < answers,
			})
		}
		return s
	}, keys.Keeper)
	c.runNode(other)
	stop := c.start("k1", k1, clockwork.NewRealClock(), nil)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if announce() != nil {
			return poll.Continue("k1 has not started")
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	stop()
	assert.Assert(t, asked.Load() >= answers, "k1 has stopped after %d answers", asked.Load())
}
