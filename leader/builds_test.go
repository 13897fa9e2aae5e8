package leader_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/leader"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/member"
	"cyclamenrelay.example/wire"
)

// Guards against an evacuation that keepers of an older build refuse and newer ones apply, and
// against one that is refused because a keeper is down.
func TestKeepersOfOlderBuildsAreNoticed(t *testing.T) {
	d := newDeployment(t)
	var older atomic.Bool
	older.Store(true)
	var questions atomic.Int32
	var address string
	known := make(chan struct{}) // closed once address is set
	n := d.node("k1", keys.Keeper, func(mx *link.Mux) {
		link.Handle(mx, func(context.Context, link.Peer, wire.GetKeeperState) wire.Message {
			questions.Add(1)
			return wire.KeeperState{Evacuations: !older.Load()}
		}, keys.Entry)
		link.Handle(mx, func(context.Context, link.Peer, wire.FindNodes) wire.Message {
			<-known
			return wire.Nodes{Digest: 1, Nodes: []wire.Node{
				{Name: "k1", Address: address, Roles: []string{"keeper"}, Incarnation: 1},
				{Name: "k2", Address: "127.0.0.1:9", Roles: []string{"keeper"}, Incarnation: 1},
			}}
		}, keys.Entry)
	})
	address = n.Address()
	close(known)
	e := d.node("e1", keys.Entry, nil)
	clock := clockwork.NewRealClock()
	f := member.NewFinder(e, clock, zap.NewNop(), wire.Node{Name: "e1"}, []string{address})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = f.Run(ctx) }()
	c := &leader.Client{Node: e, Finder: f, Clock: clock, Log: zap.NewNop(), Groups: 1}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if trace.IsNotImplemented(c.CheckEvacuations(t.Context())) {
			return poll.Success()
		}
		return poll.Continue("the keeper of an older build is not noticed")
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
	older.Store(false)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		before := questions.Load()
		assert.NilError(t, c.CheckEvacuations(t.Context()))
		if questions.Load() == before {
			return poll.Success() // its answer is remembered
		}
		return poll.Continue("the keeper is asked each time")
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
}
