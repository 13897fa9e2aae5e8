package watch_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/polls"
	"cyclamenrelay.example/watch"
	"cyclamenrelay.example/wire"
)

// cluster has keepers, and notes which of them an entry's follower polls, by the
// keeper's index.
type cluster struct {
	t      *testing.T
	folder keys.Folder
	ca     *keys.CA
	ctx    context.Context
	polled chan int
	addrs  []string
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{t: t, folder: keys.Folder(t.TempDir()), polled: make(chan int, 1000)}
	ca, err := c.folder.NewCA("test", time.Now(), time.Hour)
	assert.NilError(t, err)
	c.ca = ca
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	t.Cleanup(cancel)
	c.ctx = ctx
	return c
}

func (c *cluster) node(name string, role keys.Role, register func(*link.Mux)) *link.Node {
	assert.NilError(c.t, c.folder.Issue(c.ca, name, []keys.Role{role}, time.Now(), time.Hour))
	id, err := keys.Load(c.folder.Cert("ca"), c.folder.Cert(name), c.folder.Key(name))
	assert.NilError(c.t, err)
	n := link.New(link.Options{
		Address: "127.0.0.1:0", Keys: id, Log: zap.NewNop(), CloseWait: time.Millisecond, Clock: clockwork.NewRealClock(),
	})
	register(n.Mux())
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
	return n
}

// keeper adds a keeper that answers polls with f.
func (c *cluster) keeper(name string, f func(context.Context, wire.WatchConfig) wire.Message) {
	i := len(c.addrs)
	n := c.node(name, keys.Keeper, func(mx *link.Mux) {
		link.Handle(mx, func(ctx context.Context, _ link.Peer, m wire.WatchConfig) wire.Message {
			c.polled <- i
			return f(ctx, m)
		}, keys.Entry)
	})
	c.addrs = append(c.addrs, n.Address())
}

// follow starts a follower that gets its keepers' addresses from a function.
func (c *cluster) follow(clock clockwork.Clock, keepers func() []string) {
	f := &watch.Follower{
		Limits: polls.Limits{InForce: inForce, Tolerance: 2, Lease: lease},
		View:   watch.NewView(clock, time.Hour), Keepers: keepers, Node: c.node("e1", keys.Entry, func(*link.Mux) {}),
		Clock: clock, Log: zap.NewNop(),
	}
	ctx, cancel := context.WithCancel(c.ctx)
	done := make(chan struct{})
	go func() {
		_ = f.Run(ctx)
		close(done)
	}()
	c.t.Cleanup(func() {
		cancel()
		<-done
	})
}

func (c *cluster) nextPolled() int {
	select {
	case i := <-c.polled:
		return i
	case <-c.ctx.Done():
		c.t.Fatal("no keeper was polled")
		return 0
	}
}

func confirmed(context.Context, wire.WatchConfig) wire.Message { return update(0, 1, 0) }

func stale(context.Context, wire.WatchConfig) wire.Message { return wire.Refused{Reason: "stale"} }

// TestFollowerStaysAtAKeeperThatAnswers: the finder returns the keepers in another
// order each time, and two of five have no confirmed configuration.
func TestFollowerStaysAtAKeeperThatAnswers(t *testing.T) {
	q := newCluster(t)
	for _, name := range []string{"k0", "k1"} {
		q.keeper(name, stale)
	}
	for _, name := range []string{"k2", "k3", "k4"} {
		q.keeper(name, confirmed)
	}
	r := rand.New(rand.NewPCG(1, 2))
	q.follow(clockwork.NewRealClock(), func() []string {
		var out []string
		for _, i := range r.Perm(len(q.addrs)) {
			out = append(out, q.addrs[i])
		}
		return out
	})
	counts := make([]int, len(q.addrs))
	for range 200 {
		counts[q.nextPolled()]++
	}
	// At most one poll alone and one concurrent with the others before one answers.
	assert.Assert(t, counts[0] <= 2 && counts[1] <= 2, "polls by keeper: %v", counts)
}

// TestFollowerPollsConcurrently: a keeper answers, then it and two others are
// down. The entry gets no answer from the one that it polls, and does not wait for
// the other two before it polls the last one.
func TestFollowerPollsConcurrently(t *testing.T) {
	q := newCluster(t)
	timedOut := make(chan int, 100) // polls that timed out, by keeper
	for i, name := range []string{"k0", "k1", "k2"} {
		q.keeper(name, func(ctx context.Context, m wire.WatchConfig) wire.Message {
			if name == "k0" && m.Version == 0 {
				return confirmed(ctx, m)
			}
			<-ctx.Done()
			if m.Version > 0 {
				timedOut <- i
			}
			return wire.Refused{Reason: "too late"}
		})
	}
	timedOutBefore := make(chan int, 100)
	q.keeper("k3", func(ctx context.Context, m wire.WatchConfig) wire.Message {
		if m.Version == 0 {
			<-ctx.Done()
			return wire.Refused{Reason: "too late"}
		}
		timedOutBefore <- len(timedOut)
		return confirmed(ctx, m)
	})
	q.follow(clockwork.NewRealClock(), func() []string { return q.addrs })
	select {
	case n := <-timedOutBefore:
		assert.Assert(t, n <= 1, "%d polls timed out before the last keeper was polled", n)
	case <-q.ctx.Done():
		t.Fatal("the last keeper was not polled")
	}
}
