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

// node starts a link with a certificate of the role.
func node(t *testing.T, ca *keys.CA, dir, name string, role keys.Role, register func(*link.Mux)) *link.Node {
	t.Helper()
	p, err := ca.Node(name, []keys.Role{role}, time.Now(), time.Hour)
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

// TestAgentKeepsEntriesThatOneKeeperLacks: a keeper that has just started has
// not heard the entries yet; an agent that asks it must not lose them.
func TestAgentKeepsEntriesThatOneKeeperLacks(t *testing.T) {
	dir := t.TempDir()
	ca, err := keys.NewCA("test", time.Now(), time.Hour)
	assert.NilError(t, err)
	assert.NilError(t, ca.Write(filepath.Join(dir, "ca.pem"), filepath.Join(dir, "ca.key")))
	asked := make(chan string, 100)
	var keepers []wire.Node
	for _, name := range []string{"k1", "k2"} {
		n := node(t, ca, dir, name, keys.Keeper, func(mx *link.Mux) {
			link.On(mx, func(_ context.Context, _ link.Peer, _ wire.FindNodes) wire.Message {
				asked <- name
				known := keepers
				if name == "k1" {
					known = append([]wire.Node{{Name: "e1", Roles: []string{"entry"}, Incarnation: 1}}, keepers...)
				}
				return wire.Nodes{Nodes: known, Digest: 1}
			}, keys.Agent)
		})
		keepers = append(keepers, wire.Node{Name: name, Address: n.Address(), Roles: []string{"keeper"}, Incarnation: 1})
	}
	clock := clockwork.NewFakeClock()
	agent := node(t, ca, dir, "a1", keys.Agent, func(*link.Mux) {})
	self := wire.Node{Name: "a1", Roles: []string{"agent"}}
	f := member.NewFinder(agent, clock, zap.NewNop(), self, []string{keepers[0].Address})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = f.Run(ctx) }()
	turns := map[string]int{}
	for turns["k1"] < 3 || turns["k2"] < 3 {
		assert.NilError(t, clock.BlockUntilContext(ctx, 1))
		turns[<-asked]++
		assert.Equal(t, len(f.Nodes(keys.Entry)), 1, "turns: %v", turns)
		clock.Advance(4 * time.Second)
	}
}
