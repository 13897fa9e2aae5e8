package spread_test

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
	"cyclamenrelay.example/spread"
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
	q := &cluster{t: t, folder: keys.Folder(t.TempDir()), polled: make(chan int, 1000)}
	ca, err := q.folder.NewCA("test", time.Now(), time.Hour)
	assert.NilError(t, err)
	q.ca = ca
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	t.Cleanup(cancel)
	q.ctx = ctx
	return q
}

func (q *cluster) node(name string, role keys.Role, register func(*link.Mux)) *link.Node {
	assert.NilError(q.t, q.folder.Issue(q.ca, name, []keys.Role{role}, time.Now(), time.Hour))
	id, err := keys.Load(q.folder.Cert("ca"), q.folder.Cert(name), q.folder.Key(name))
	assert.NilError(q.t, err)
	n := link.New(link.Options{
		Address: "127.0.0.1:0", Keys: id, Log: zap.NewNop(), CloseWait: time.Millisecond, Clock: clockwork.NewRealClock(),
	})
	register(n.Mux())
	assert.NilError(q.t, n.Start(nil))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = n.Run(ctx)
		close(done)
	}()
	q.t.Cleanup(func() {
		cancel()
		<-done
	})
	return n
}

// keeper adds a keeper that answers polls with f.
func (q *cluster) keeper(name string, f func(context.Context, wire.WatchConfig) wire.Message) {
	i := len(q.addrs)
	n := q.node(name, keys.Keeper, func(mx *link.Mux) {
		link.On(mx, func(ctx context.Context, _ link.Peer, m wire.WatchConfig) wire.Message {
			q.polled <- i
			return f(ctx, m)
		}, keys.Entry)
	})
	q.addrs = append(q.addrs, n.Address())
}

// follow starts a follower that gets its keepers' addresses from a function.
func (q *cluster) follow(clock clockwork.Clock, keepers func() []string) {
	f := &spread.Follower{
		View: spread.NewView(clock, time.Hour), Keepers: keepers, Node: q.node("e1", keys.Entry, func(*link.Mux) {}),
		Clock: clock, Log: zap.NewNop(),
	}
	ctx, cancel := context.WithCancel(q.ctx)
	done := make(chan struct{})
	go func() {
		_ = f.Run(ctx)
		close(done)
	}()
	q.t.Cleanup(func() {
		cancel()
		<-done
	})
}

func (q *cluster) nextPolled() int {
	select {
	case i := <-q.polled:
		return i
	case <-q.ctx.Done():
		q.t.Fatal("no keeper was polled")
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
