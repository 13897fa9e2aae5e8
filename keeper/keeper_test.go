package keeper_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cyclamenrelay.example/keeper"
	"cyclamenrelay.example/kernel"
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/member"
	"cyclamenrelay.example/repair"
	"cyclamenrelay.example/rlog"
	"cyclamenrelay.example/wire"
)

// cluster runs keepers in the test's process, on loopback addresses.
type cluster struct {
	t       *testing.T
	initial []keeper.InitialMember
	caller  *link.Node // for calls to the keepers
}

func freeAddress(t *testing.T) string {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	return c.LocalAddr().String()
}

func newCluster(t *testing.T, names ...string) *cluster {
	c := &cluster{t: t}
	for _, n := range names {
		c.initial = append(c.initial, keeper.InitialMember{Name: n, Address: freeAddress(t)})
	}
	c.caller = c.newNode("e1", freeAddress(t), keys.Entry)
	c.runNode(c.caller)
	return c
}

// runNode starts a node, and runs it until the test ends.
func (c *cluster) runNode(n *link.Node) {
	assert.NilError(c.t, n.Start(nil))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = n.Run(ctx)
		close(done)
	}()
	c.t.Cleanup(func() {
		cancel()
		<-done
	})
}

func (c *cluster) newNode(name, addr string, role keys.Role) *link.Node {
	clock := clockwork.NewRealClock()
	id, err := keys.NewEphemeral(clock, name, []keys.Role{role})
	assert.NilError(c.t, err)
	return link.New(link.Options{Address: addr, Keys: id, Log: zap.NewNop(), Clock: clock})
}

// run runs services until the test ends or stop is called.
func run(t *testing.T, services ...kernel.Service) (stop func()) {
	k := kernel.New(zap.NewNop())
	for _, s := range services {
		k.Add(s)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- k.Run(ctx, 10*time.Second) }()
	stop = sync.OnceFunc(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	t.Cleanup(stop)
	return stop
}

// addresses returns those of the initial members.
func (c *cluster) addresses() []string {
	var out []string
	for _, m := range c.initial {
		out = append(out, m.Address)
	}
	return out
}

// start starts a keeper. clock is that of its Keeper service only.
func (c *cluster) start(name, addr string, clock clockwork.Clock, initial []keeper.InitialMember) (stop func()) {
	return c.startWithFinder(name, addr, clock, clockwork.NewRealClock(), initial)
}

func (c *cluster) startWithFinder(name, addr string, clock, finderClock clockwork.Clock, initial []keeper.InitialMember) (stop func()) {
	n := c.newNode(name, addr, keys.Keeper)
	self := wire.Node{Name: name, Address: addr, DataCentre: "dc", Roles: []string{string(keys.Keeper)}, Incarnation: 1}
	finder := member.NewFinder(n, finderClock, zap.NewNop(), self, c.addresses())
	k := keeper.New(keeper.Options{
		Folder: c.t.TempDir(), Groups: 1, InitialMembers: initial, Retention: time.Hour, SnapshotEntries: 100,
		AutoMembers: true, Limits: repair.Limits{Tolerance: 1, CatchUp: time.Minute}, Clock: clock, Log: zap.NewNop(),
	})
	return run(c.t, finder, k, n)
}

// state returns the state of the keeper at addr.
func (c *cluster) state(addr string) (wire.KeeperState, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	a, err := c.caller.Call(ctx, link.Dest{Address: addr, Role: keys.Keeper}, wire.GetKeeperState{})
	s, ok := a.(wire.KeeperState)
	return s, ok && err == nil
}

// leaderMembers returns the members of a group by its leader among the keepers.
func (c *cluster) leaderMembers(group uint64, addrs ...string) (rlog.Membership, bool) {
	for _, addr := range addrs {
		if s, ok := c.state(addr); ok && s.Groups[group].IsLeader {
			return s.Groups[group].Members, true
		}
	}
	return nil, false
}

// await waits until the leaders of both groups have the voters and the number of
// learners.
func (c *cluster) await(learners int, addrs []string, voters ...string) {
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		for group := range uint64(2) {
			ms, ok := c.leaderMembers(group, addrs...)
			if !ok || ms.Voters() != len(voters) || len(ms) != len(voters)+learners {
				return poll.Continue("group %d has the members %v", group, ms)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(60*time.Second), poll.WithDelay(20*time.Millisecond))
}

// Guards against a keeper that stops for good and is missing from the quorum until
// the leader takes it for lost, although a standby can vote in its place.
func TestStoppingKeeperIsReplacedFirst(t *testing.T) {
	c := newCluster(t, "k1", "k2", "k3")
	var stops []func()
	for _, m := range c.initial {
		stops = append(stops, c.start(m.Name, m.Address, clockwork.NewRealClock(), c.initial))
	}
	all := append(c.addresses(), freeAddress(t))
	c.start("k4", all[3], clockwork.NewRealClock(), nil)
	c.await(1, all, "k1", "k2", "k3")
	stops[0]()
	left := all[1:]
	for group := range uint64(2) {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			ms, ok := c.leaderMembers(group, left...)
			if !ok {
				return poll.Continue("no leader")
			}
			for _, m := range ms {
				if m.Voter && m.ID.Name == "k1" {
					return poll.Error(trace.CompareFailed("k1 has stopped, and votes: %v", ms))
				}
			}
			return poll.Success()
		}, poll.WithTimeout(20*time.Second))
	}
}

// Guards against a keeper that asks the other initial keepers for their states after
// the groups have started: each pass of its maintenance waits for one that is lost.
func TestInitialKeepersAreAskedUntilTheGroupsHaveStarted(t *testing.T) {
	c := newCluster(t, "k1", "k2")
	var calls atomic.Int32
	other := c.newNode("k2", c.initial[1].Address, keys.Keeper)
	link.Handle(other.Mux(), func(context.Context, link.Peer, wire.GetKeeperState) wire.Message {
		calls.Add(1)
		return wire.KeeperState{Self: rlog.ID{Name: "k2", Incarnation: 7}, Groups: make([]wire.GroupState, 2)}
	}, keys.Keeper)
	c.runNode(other)
	clock := clockwork.NewFakeClock()
	k1 := c.initial[0].Address
	c.start("k1", k1, clock, c.initial)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		clock.Advance(50 * time.Millisecond)
		if s, ok := c.state(k1); !ok || len(s.Groups[0].Members) == 0 || len(s.Groups[1].Members) == 0 {
			return poll.Continue("the groups have not started")
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(10*time.Millisecond))
	before := calls.Load()
	for range 100 {
		clock.Advance(50 * time.Millisecond)
		_, _ = c.state(k1)
	}
	assert.Equal(t, calls.Load(), before)
}

// Guards against a successor that the leader cannot reach until a poll of the other
// keepers' lists has ended, which waits for the one that is lost.
func TestNewKeeperIsReachedAtItsAnnouncedAddress(t *testing.T) {
	c := newCluster(t, "k1", "k2", "k3")
	for _, m := range c.initial {
		// Its finder polls once.
		c.startWithFinder(m.Name, m.Address, clockwork.NewRealClock(), clockwork.NewFakeClock(), c.initial)
	}
	c.await(0, c.addresses(), "k1", "k2", "k3")
	k4 := freeAddress(t)
	c.start("k4", k4, clockwork.NewRealClock(), nil)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s, ok := c.state(k4); !ok || s.Groups[0].Leader == "" || s.Groups[1].Leader == "" {
			return poll.Continue("k4 has not heard the leaders")
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
}
