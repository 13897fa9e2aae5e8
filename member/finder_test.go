package member_test

import (
	"context"
	"path/filepath"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/member"
	"cyclamenrelay.example/wire"
)

// node starts a link node with a certificate for the role.
func node(t *testing.T, ca *keys.CA, dir, name string, role keys.Role, register func(*link.Mux)) *link.Node {
	t.Helper()
	p, err := ca.Issue(name, []keys.Role{role}, time.Now(), time.Hour)
	assert.NilError(t, err)
	file := func(suffix string) string { return filepath.Join(dir, name+suffix) }
	assert.NilError(t, p.Write(file(".pem"), file(".key")))
	id, err := keys.Load(filepath.Join(dir, "ca.pem"), file(".pem"), file(".key"))
	assert.NilError(t, err)
	n := link.New(link.Options{Address: "127.0.0.1:0", Keys: id, Log: zap.NewNop(), Clock: clockwork.NewRealClock()})
	register(n.Mux())
	assert.NilError(t, n.Start(nil))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = n.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return n
}

// TestAgentKeepsEntriesThatAKeeperLacks: a keeper that has just started does not
// know all entries yet; an agent that polls it must not drop the others.
func TestAgentKeepsEntriesThatAKeeperLacks(t *testing.T) {
	dir := t.TempDir()
	ca, err := keys.NewCA("test", time.Now(), time.Hour)
	assert.NilError(t, err)
	assert.NilError(t, ca.Write(filepath.Join(dir, "ca.pem"), filepath.Join(dir, "ca.key")))
	k1 := wire.Node{Name: "k1", Roles: []string{"keeper"}, Incarnation: 1}
	e1 := wire.Node{Name: "e1", Roles: []string{"entry"}, Incarnation: 1}
	e2 := wire.Node{Name: "e2", Roles: []string{"entry"}, Incarnation: 1}
	answers := []wire.Nodes{{Digest: 1}, {Digest: 2}, {Digest: 3}, {Digest: 1}}
	request, asked := 0, make(chan int, len(answers))
	known := make(chan struct{}) // closed once the answers are set
	k := node(t, ca, dir, "k1", keys.Keeper, func(mx *link.Mux) {
		link.Handle(mx, func(context.Context, link.Peer, wire.FindNodes) wire.Message {
			<-known
			a := answers[min(request, len(answers)-1)]
			asked <- request
			request++
			return a
		}, keys.Agent)
	})
	k1.Address = k.Address()
	for i, nodes := range [][]wire.Node{{k1, e1, e2}, {k1}, {k1, e2}, {k1, e1, e2}} {
		answers[i].Nodes = nodes
	}
	close(known)
	clock := clockwork.NewFakeClock()
	agent := node(t, ca, dir, "a1", keys.Agent, func(*link.Mux) {})
	f := member.NewFinder(agent, clock, zap.NewNop(), wire.Node{Name: "a1", Roles: []string{"agent"}}, []string{k1.Address})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = f.Run(ctx) }()
	for range answers {
		assert.NilError(t, clock.BlockUntilContext(ctx, 1))
		n := <-asked
		assert.Equal(t, len(f.Nodes(keys.Entry)), 2, "answer %d", n)
		clock.Advance(4 * time.Second)
	}
}

// TestLeaveIsAnnouncedAtOnce: a shutdown is announced without waiting for the next
// interval.
func TestLeaveIsAnnouncedAtOnce(t *testing.T) {
	dir := t.TempDir()
	ca, err := keys.NewCA("test", time.Now(), time.Hour)
	assert.NilError(t, err)
	assert.NilError(t, ca.Write(filepath.Join(dir, "ca.pem"), filepath.Join(dir, "ca.key")))
	heard := make(chan wire.Node, 10)
	k := node(t, ca, dir, "k1", keys.Keeper, func(mx *link.Mux) {
		link.Handle(mx, func(_ context.Context, _ link.Peer, q wire.FindNodes) wire.Message {
			heard <- q.Self
			return wire.Nodes{}
		}, keys.Entry)
	})
	clock := clockwork.NewFakeClock()
	e := node(t, ca, dir, "e1", keys.Entry, func(*link.Mux) {})
	f := member.NewFinder(e, clock, zap.NewNop(), wire.Node{Name: "e1", Roles: []string{"entry"}}, []string{k.Address()})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = f.Run(ctx) }()
	assert.Assert(t, !(<-heard).Leaving)
	f.Leave()
	f.Leave()
	assert.Assert(t, (<-heard).Leaving) // the clock stands still
}

// TestStartingAgentPollsSooner: after a restart of the whole cluster, the keeper
// that an agent polls first may know one entry only. The agent must poll again
// soon enough to learn of the others within its first second and a half.
func TestStartingAgentPollsSooner(t *testing.T) {
	dir := t.TempDir()
	ca, err := keys.NewCA("test", time.Now(), time.Hour)
	assert.NilError(t, err)
	assert.NilError(t, ca.Write(filepath.Join(dir, "ca.pem"), filepath.Join(dir, "ca.key")))
	const rounds = 4
	asked := make(chan struct{}, rounds)
	k := node(t, ca, dir, "k1", keys.Keeper, func(mx *link.Mux) {
		link.Handle(mx, func(context.Context, link.Peer, wire.FindNodes) wire.Message {
			asked <- struct{}{}
			return wire.Nodes{Digest: 1, Nodes: []wire.Node{{Name: "e1", Roles: []string{"entry"}, Incarnation: 1}}}
		}, keys.Agent)
	})
	clock := clockwork.NewFakeClock()
	agent := node(t, ca, dir, "a1", keys.Agent, func(*link.Mux) {})
	f := member.NewFinder(agent, clock, zap.NewNop(), wire.Node{Name: "a1", Roles: []string{"agent"}}, []string{k.Address()})
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	go func() { _ = f.Run(ctx) }()
	for _, pause := range []time.Duration{0, 200, 400, 800} {
		assert.NilError(t, clock.BlockUntilContext(ctx, 1))
		clock.Advance(pause * time.Millisecond)
		select {
		case <-asked:
		case <-ctx.Done():
			t.Fatalf("no poll %d ms after the previous one", pause)
		}
	}
}
