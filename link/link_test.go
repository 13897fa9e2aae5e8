package link_test

import (
	"context"
	"math/rand/v2"
	"net"
	"path/filepath"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"cyclamenrelay.example/fault"
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/wire"
)

// testCA is a CA that issues the identities of a test's nodes.
type testCA struct {
	t   *testing.T
	dir string
	ca  *keys.CA
}

func newTestCA(t *testing.T) testCA {
	ca, err := keys.NewCA("test", time.Now(), time.Hour)
	assert.NilError(t, err)
	a := testCA{t, t.TempDir(), ca}
	assert.NilError(t, ca.Write(a.path("ca.pem"), a.path("ca.key")))
	return a
}

func (a testCA) path(name string) string { return filepath.Join(a.dir, name) }

func (a testCA) identity(name string, roles ...keys.Role) *keys.Identity {
	p, err := a.ca.Issue(name, roles, time.Now(), time.Hour)
	assert.NilError(a.t, err)
	assert.NilError(a.t, p.Write(a.path(name+".pem"), a.path(name+".key")))
	id, err := keys.Load(a.path("ca.pem"), a.path(name+".pem"), a.path(name+".key"))
	assert.NilError(a.t, err)
	return id
}

// start runs a node with the handlers that register adds, until the test ends.
func start(t *testing.T, id *keys.Identity, register func(*link.Mux)) *link.Node {
	return startWith(t, link.Options{Keys: id}, register)
}

// startWith is start with further options.
func startWith(t *testing.T, o link.Options, register func(*link.Mux)) *link.Node {
	o.Address, o.Log, o.Clock = "127.0.0.1:0", zap.NewNop(), clockwork.NewRealClock()
	n := link.New(o)
	if register != nil {
		register(n.Mux())
	}
	assert.NilError(t, n.Start(nil))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = n.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return n
}

// serveFindNodes answers FindNodes messages of entries with the entry's own name.
func serveFindNodes(mx *link.Mux) {
	link.Handle(mx, func(_ context.Context, p link.Peer, _ wire.FindNodes) wire.Message {
		return wire.Nodes{Nodes: []wire.Node{{Name: p.Name}}}
	}, keys.Entry)
}

// TestCloseSendsAnswers closes a node while it writes answers, which must arrive
// whole.
func TestCloseSendsAnswers(t *testing.T) {
	a := newTestCA(t)
	const calls = 8
	arrived, answer := make(chan struct{}, calls), make(chan struct{})
	large := make([]wire.Node, 20_000)
	server := start(t, a.identity("keeper-1", keys.Keeper), func(mx *link.Mux) {
		link.Handle(mx, func(context.Context, link.Peer, wire.FindNodes) wire.Message {
			arrived <- struct{}{}
			<-answer
			return wire.Nodes{Nodes: large}
		}, keys.Entry)
	})
	client := start(t, a.identity("entry-1", keys.Entry), nil)
	errs := make(chan error, calls)
	for range calls {
		go func() {
			m, err := client.Call(context.Background(), link.Dest{Address: server.Address()}, wire.FindNodes{})
			if n, ok := m.(wire.Nodes); err == nil && (!ok || len(n.Nodes) != len(large)) {
				err = trace.BadParameter("the answer is %T", m)
			}
			errs <- err
		}()
	}
	for range calls {
		<-arrived
	}
	close(answer)
	_ = server.Close()
	for range calls {
		assert.NilError(t, <-errs)
	}
}

// TestCloseWaitsForLostAnswers closes a node while the network loses its answer, for
// longer than the fixed linger: the answer must be sent again until it has arrived.
func TestCloseWaitsForLostAnswers(t *testing.T) {
	a := newTestCA(t)
	arrived, answer := make(chan struct{}), make(chan struct{})
	server := start(t, a.identity("keeper-1", keys.Keeper), func(mx *link.Mux) {
		link.Handle(mx, func(context.Context, link.Peer, wire.FindNodes) wire.Message {
			arrived <- struct{}{}
			<-answer
			return wire.Nodes{Nodes: make([]wire.Node, 100)}
		}, keys.Entry)
	})
	relay, err := fault.New([]fault.Link{{Name: "k1", Network: "udp", Listen: "127.0.0.1:0", To: server.Address()}},
		clockwork.NewRealClock(), 1)
	assert.NilError(t, err)
	defer relay.Close()
	client := start(t, a.identity("entry-1", keys.Entry), nil)
	errs := make(chan error, 1)
	go func() {
		_, err := client.Call(context.Background(), link.Dest{Address: relay.Addr("k1").String()}, wire.FindNodes{})
		errs <- err
	}()
	<-arrived
	assert.NilError(t, relay.SetRules("k1", fault.Rules{Backward: fault.Rule{Cut: true}}))
	time.AfterFunc(400*time.Millisecond, func() { _ = relay.SetRules("k1", fault.Rules{}) })
	close(answer)
	_ = server.Close()
	assert.NilError(t, <-errs)
}

func TestCall(t *testing.T) {
	a := newTestCA(t)
	server := start(t, a.identity("k1", keys.Keeper), serveFindNodes)
	client := start(t, a.identity("e1", keys.Entry), nil)
	m, err := client.Call(t.Context(), link.Dest{Address: server.Address(), Role: keys.Keeper}, wire.FindNodes{})
	assert.NilError(t, err)
	assert.DeepEqual(t, m, wire.Nodes{Nodes: []wire.Node{{Name: "e1"}}})
}

func TestRolesAreBoundToCertificates(t *testing.T) {
	a := newTestCA(t)
	server := start(t, a.identity("k1", keys.Keeper), serveFindNodes)
	agent := start(t, a.identity("a1", keys.Agent), nil)
	m, err := agent.Call(t.Context(), link.Dest{Address: server.Address()}, wire.FindNodes{})
	assert.NilError(t, err)
	_, refused := m.(wire.Refused)
	assert.Assert(t, refused, "a message for entries only was accepted from an agent: %v", m)

	_, err = agent.Call(t.Context(), link.Dest{Address: server.Address(), Role: keys.Entry}, wire.FindNodes{})
	assert.Assert(t, link.NotSent(err), "a message for an entry was sent to a keeper: %v", err)
}

func TestForeignCertificateIsRefused(t *testing.T) {
	a, b := newTestCA(t), newTestCA(t)
	server := start(t, a.identity("k1", keys.Keeper), serveFindNodes)
	foreign := start(t, b.identity("e1", keys.Entry), nil)
	_, err := foreign.Call(t.Context(), link.Dest{Address: server.Address()}, wire.FindNodes{})
	assert.Assert(t, err != nil)
}

func TestUnreachablePeerIsNotSent(t *testing.T) {
	a := newTestCA(t)
	client := start(t, a.identity("e1", keys.Entry), nil)
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := c.LocalAddr().String()
	assert.NilError(t, c.Close())
	_, err = client.Call(t.Context(), link.Dest{Address: addr}, wire.FindNodes{})
	assert.Assert(t, link.NotSent(err), "got %v", err)
}

// TestCallEndsWithItsContext: a peer whose host has lost power answers no packets.
// A call whose context is cancelled during the dial must return context.Canceled,
// however the dial ends.
func TestCallEndsWithItsContext(t *testing.T) {
	n := start(t, newTestCA(t).identity("e1", keys.Entry), nil)
	ctx, cancel := context.WithCancel(t.Context())
	const peers = 16
	errs := make(chan error, peers)
	for range peers {
		silent, err := net.ListenPacket("udp", "127.0.0.1:0")
		assert.NilError(t, err)
		t.Cleanup(func() { _ = silent.Close() })
		go func() {
			_, err := n.Call(ctx, link.Dest{Address: silent.LocalAddr().String()}, wire.FindNodes{})
			errs <- err
		}()
		_, _, err = silent.ReadFrom(make([]byte, 1<<11))
		assert.NilError(t, err)
	}
	cancel()
	for range peers {
		err := <-errs
		assert.Assert(t, link.NotSent(err))
		assert.ErrorIs(t, err, context.Canceled)
	}
}

func TestRandomBytesOnThePort(t *testing.T) {
	a := newTestCA(t)
	server := start(t, a.identity("k1", keys.Keeper), serveFindNodes)
	client := start(t, a.identity("e1", keys.Entry), nil)
	c, err := net.Dial("udp", server.Address())
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	rng := rand.New(rand.NewPCG(1, 2))
	for range 500 {
		b := make([]byte, 1+rng.IntN(1400))
		for i := range b {
			b[i] = byte(rng.Uint32())
		}
		_, _ = c.Write(b)
	}
	_, err = client.Call(t.Context(), link.Dest{Address: server.Address()}, wire.FindNodes{})
	assert.NilError(t, err)
}

func TestCancelledCallEndsTheHandler(t *testing.T) {
	a := newTestCA(t)
	entered, ended := make(chan struct{}), make(chan struct{})
	server := start(t, a.identity("k1", keys.Keeper), func(mx *link.Mux) {
		link.Handle(mx, func(ctx context.Context, _ link.Peer, _ wire.FindNodes) wire.Message {
			close(entered)
			<-ctx.Done()
			close(ended)
			return wire.Done{}
		}, keys.Entry)
	})
	client := start(t, a.identity("e1", keys.Entry), nil)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-entered
		cancel()
	}()
	_, err := client.Call(ctx, link.Dest{Address: server.Address()}, wire.FindNodes{})
	assert.Assert(t, err != nil && !link.NotSent(err), "got %v", err)
	<-ended
}

func TestReconnect(t *testing.T) {
	a := newTestCA(t)
	id := a.identity("k1", keys.Keeper)
	first := start(t, id, serveFindNodes)
	client := start(t, a.identity("e1", keys.Entry), nil)
	to := link.Dest{Address: first.Address()}
	_, err := client.Call(t.Context(), to, wire.FindNodes{})
	assert.NilError(t, err)
	assert.NilError(t, first.Close())
	second := link.New(link.Options{Address: to.Address, Keys: id, Log: zap.NewNop(), Clock: clockwork.NewRealClock()})
	serveFindNodes(second.Mux())
	assert.NilError(t, second.Start(nil))
	go func() { _ = second.Run(t.Context()) }()
	var m wire.Message
	for range 100 {
		if m, err = client.Call(t.Context(), to, wire.FindNodes{}); err == nil {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	assert.NilError(t, err)
	_, ok := m.(wire.Nodes)
	assert.Assert(t, ok)
}

func BenchmarkCall(b *testing.B) {
	dir := b.TempDir()
	ca, _ := keys.NewCA("bench", time.Now(), time.Hour)
	_ = ca.Write(filepath.Join(dir, "ca.pem"), filepath.Join(dir, "ca.key"))
	node := func(name string, role keys.Role, register func(*link.Mux)) *link.Node {
		p, _ := ca.Issue(name, []keys.Role{role}, time.Now(), time.Hour)
		_ = p.Write(filepath.Join(dir, name+".pem"), filepath.Join(dir, name+".key"))
		id, err := keys.Load(filepath.Join(dir, "ca.pem"), filepath.Join(dir, name+".pem"), filepath.Join(dir, name+".key"))
		assert.NilError(b, err)
		n := link.New(link.Options{Address: "127.0.0.1:0", Keys: id, Log: zap.NewNop(), Clock: clockwork.NewRealClock()})
		if register != nil {
			register(n.Mux())
		}
		assert.NilError(b, n.Start(nil))
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = n.Run(ctx) }()
		b.Cleanup(cancel)
		return n
	}
	server := node("k1", keys.Keeper, serveFindNodes)
	client := node("e1", keys.Entry, nil)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			_, err := client.Call(context.Background(), link.Dest{Address: server.Address()}, wire.FindNodes{})
			assert.NilError(b, err)
		}
	})
}
