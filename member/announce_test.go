package member_test

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/member"
	"cyclamenrelay.example/wire"
)

func newCA(t *testing.T) (ca *keys.CA, dir string) {
	dir = t.TempDir()
	ca, err := keys.NewCA("test", time.Now(), time.Hour)
	assert.NilError(t, err)
	assert.NilError(t, ca.Write(filepath.Join(dir, "ca.pem"), filepath.Join(dir, "ca.key")))
	return ca, dir
}

// silentAddress returns an address from which nothing is ever answered, as that of a
// machine without power.
func silentAddress(t *testing.T) string {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c.LocalAddr().String()
}

// connect has a node connect to others, so that no handshake counts in the time-out of
// a call.
func connect(t *testing.T, n *link.Node, others ...*link.Node) {
	for _, o := range others {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			if _, err := n.Call(ctx, link.Dest{Address: o.Address()}, wire.GetPendingCalls{}); err != nil {
				return poll.Continue("%v", err)
			}
			return poll.Success()
		}, poll.WithTimeout(30*time.Second))
	}
}

// Guards against announcements that wait for a lost keeper: the live ones must hear the
// next ones while a call to it is in progress, and it must not get a second call.
func TestLostKeeperDelaysNoAnnouncement(t *testing.T) {
	ca, dir := newCA(t)
	var heard, lostCalls, lostEnded atomic.Int32
	live := node(t, ca, dir, "k1", keys.Keeper, func(mx *link.Mux) {
		link.Handle(mx, func(context.Context, link.Peer, wire.FindNodes) wire.Message {
			n := heard.Add(1)
			a := wire.Nodes{Digest: uint64(n)}
			for i := range n {
				a.Nodes = append(a.Nodes, wire.Node{Name: fmt.Sprint("e", i), Roles: []string{"entry"}, Incarnation: 1})
			}
			return a
		}, keys.Entry)
	})
	lost := node(t, ca, dir, "k2", keys.Keeper, func(mx *link.Mux) {
		link.Handle(mx, func(ctx context.Context, _ link.Peer, _ wire.FindNodes) wire.Message {
			lostCalls.Add(1)
			<-ctx.Done()
			lostEnded.Add(1)
			return wire.Refused{}
		}, keys.Entry)
	})
	caller := node(t, ca, dir, "e", keys.Entry, func(*link.Mux) {})
	connect(t, caller, live, lost)
	// The call to the lost keeper may time out before the last announcement on a busy
	// machine, but not in each attempt.
	for range 5 {
		heard.Store(0)
		lostCalls.Store(0)
		lostEnded.Store(0)
		clock := clockwork.NewFakeClock()
		f := member.NewFinder(caller, clock, zap.NewNop(), wire.Node{Name: "e", Roles: []string{"entry"}},
			[]string{live.Address(), lost.Address(), silentAddress(t)})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			_ = f.Run(ctx)
			close(done)
		}()
		answered := func(n int) {
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if len(f.Nodes(keys.Entry)) < n || lostCalls.Load() == 0 {
					return poll.Continue("%d answers", len(f.Nodes(keys.Entry)))
				}
				return poll.Success()
			}, poll.WithTimeout(30*time.Second), poll.WithDelay(time.Millisecond))
		}
		answered(1)
		for i, pause := range []time.Duration{100, 200, 400} {
			assert.NilError(t, clock.BlockUntilContext(ctx, 1))
			clock.Advance(pause * time.Millisecond)
			answered(i + 2)
		}
		calls, ended := lostCalls.Load(), lostEnded.Load()
		cancel()
		<-done
		if calls == 1 && ended == 0 {
			return
		}
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if lostEnded.Load() < lostCalls.Load() {
				return poll.Continue("the call to the lost keeper has not ended")
			}
			return poll.Success()
		}, poll.WithTimeout(30*time.Second))
	}
	t.Fatal("a live keeper heard no further announcement until the call to the lost one had ended")
}

// Guards against a new keeper that waits for its lost seeds, or for its next
// announcement, before it announces itself to the leader, which it learns of from the
// seed that lives. The clock stands still.
func TestNewKeeperAnnouncesItselfToListedKeepersAtOnce(t *testing.T) {
	ca, dir := newCA(t)
	heard := make(chan wire.Node, 100)
	other := node(t, ca, dir, "k1", keys.Keeper, func(mx *link.Mux) {
		link.Handle(mx, func(_ context.Context, _ link.Peer, q wire.FindNodes) wire.Message {
			heard <- q.Self
			return wire.Nodes{Digest: 1}
		}, keys.Keeper)
	})
	listed := wire.Node{Name: "k1", Address: other.Address(), Roles: []string{"keeper"}, Incarnation: 1}
	seed := node(t, ca, dir, "k2", keys.Keeper, func(mx *link.Mux) {
		link.Handle(mx, func(context.Context, link.Peer, wire.FindNodes) wire.Message {
			return wire.Nodes{Digest: 2, Nodes: []wire.Node{listed}}
		}, keys.Keeper)
	})
	n := node(t, ca, dir, "k3", keys.Keeper, func(*link.Mux) {})
	connect(t, n, seed, other)
	f := member.NewFinder(n, clockwork.NewFakeClock(), zap.NewNop(), wire.Node{Name: "k3", Roles: []string{"keeper"}},
		[]string{silentAddress(t), silentAddress(t), seed.Address()})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		_ = f.Run(ctx)
		close(done)
	}()
	defer func() { cancel(); <-done }()
	select {
	case q := <-heard:
		assert.Equal(t, q.Name, "k3")
	case <-time.After(20 * time.Second):
		t.Fatal("the listed keeper heard no announcement")
	}
}
