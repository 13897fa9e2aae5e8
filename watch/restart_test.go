package watch_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/quic-go/quic-go"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"cyclamenrelay.example/fault"
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/polls"
	"cyclamenrelay.example/watch"
	"cyclamenrelay.example/wire"
)

// startKeeper starts a keeper that answers an entry that has its configuration after half a
// second, and another one at once. It sends on the channel for each poll. The returned
// function stops it.
func startKeeper(t *testing.T, id *keys.Identity, address string, polled chan<- struct{}) (n *link.Node, stop func()) {
	n = link.New(link.Options{
		Address: address, Keys: id, Log: zap.NewNop(), CloseWait: time.Millisecond, Clock: clockwork.NewRealClock(),
	})
	link.Handle(n.Mux(), func(ctx context.Context, _ link.Peer, m wire.WatchConfig) wire.Message {
		polled <- struct{}{}
		if m.Version > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(500 * time.Millisecond):
			}
		}
		return update(0, 1, 0)
	}, keys.Entry)
	assert.NilError(t, n.Start(nil))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = n.Run(ctx)
		close(done)
	}()
	return n, func() {
		cancel()
		<-done
	}
}

// TestFollowerReachesAKeeperThatCameBack guards against an entry that acts on an old
// configuration for seconds after the keepers have come back from a power loss: a poll is too
// small for a stateless reset of the old connection, which ended by its idle timeout of 6 s.
func TestFollowerReachesAKeeperThatCameBack(t *testing.T) {
	q := newCluster(t)
	assert.NilError(t, q.folder.Issue(q.ca, "k0", []keys.Role{keys.Keeper}, time.Now(), time.Hour))
	id, err := keys.Load(q.folder.Cert("ca"), q.folder.Cert("k0"), q.folder.Key("k0"))
	assert.NilError(t, err)
	before, after := make(chan struct{}, 1000), make(chan struct{}, 1000)
	k, losePower := startKeeper(t, id, "127.0.0.1:0", before)
	relay, err := fault.New([]fault.Link{{Name: "k0", Network: "udp", Listen: "127.0.0.1:0", To: k.Address()}},
		clockwork.NewRealClock(), 1)
	assert.NilError(t, err)
	t.Cleanup(relay.Close)
	core, logs := observer.New(zapcore.InfoLevel)
	clock := clockwork.NewRealClock()
	f := &watch.Follower{
		Limits:  polls.Limits{InForce: inForce, Tolerance: 2},
		View:    watch.NewView(clock, time.Hour),
		Keepers: func() []string { return []string{relay.Addr("k0").String()} },
		Node:    q.node("e1", keys.Entry, func(*link.Mux) {}), Clock: clock, Log: zap.New(core),
	}
	ctx, cancel := context.WithCancel(q.ctx)
	done := make(chan struct{})
	go func() {
		_ = f.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	await := func(polled <-chan struct{}, what string) {
		select {
		case <-polled:
		case <-q.ctx.Done():
			t.Fatal(what)
		}
	}
	// The second poll shows that the connection is established on both sides.
	for range 2 {
		await(before, "the keeper was not polled")
	}
	// With the link cut, the closing of the keeper's connections does not arrive.
	assert.NilError(t, relay.SetRules("k0", fault.Rules{Forward: fault.Rule{Cut: true}, Backward: fault.Rule{Cut: true}}))
	losePower()
	_, stop := startKeeper(t, id, k.Address(), after)
	t.Cleanup(stop)
	assert.NilError(t, relay.SetRules("k0", fault.Rules{}))
	await(after, "the keeper was not polled after it had come back")
	for _, e := range logs.All() {
		for _, field := range e.Context {
			err, _ := field.Interface.(error)
			var idle *quic.IdleTimeoutError
			assert.Assert(t, !errors.As(err, &idle), "the old connection was used until its idle timeout")
		}
	}
}
