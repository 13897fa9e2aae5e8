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

// questions are what an entry's follower asks its keepers, by the keeper's number.
type questions struct {
	t      *testing.T
	folder keys.Folder
	ca     *keys.CA
	ctx    context.Context
	asked  chan int
	addrs  []string
}

func newQuestions(t *testing.T) *questions {
	q := &questions{t: t, folder: keys.Folder(t.TempDir()), asked: make(chan int, 1000)}
	ca, err := q.folder.NewCA("test", time.Now(), time.Hour)
	assert.NilError(t, err)
	q.ca = ca
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	t.Cleanup(cancel)
	q.ctx = ctx
	return q
}

func (q *questions) node(name string, role keys.Role, register func(*link.Mux)) *link.Node {
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

// keeper adds a keeper that answers as f says.
func (q *questions) keeper(name string, f func(context.Context, wire.WatchConfig) wire.Message) {
	i := len(q.addrs)
	n := q.node(name, keys.Keeper, func(mx *link.Mux) {
		link.On(mx, func(ctx context.Context, _ link.Peer, m wire.WatchConfig) wire.Message {
			q.asked <- i
			return f(ctx, m)
		}, keys.Entry)
	})
	q.addrs = append(q.addrs, n.Address())
}

// follow starts a follower that takes the order of the keepers from f.
func (q *questions) follow(clock clockwork.Clock, keepers func() []string) {
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

func (q *questions) next() int {
	select {
	case i := <-q.asked:
		return i
	case <-q.ctx.Done():
		q.t.Fatal("no question was asked")
		return 0
	}
}

func confirmed(context.Context, wire.WatchConfig) wire.Message { return update(0, 1, 0) }

func behind(context.Context, wire.WatchConfig) wire.Message { return wire.Refused{Reason: "no proof"} }

// TestFollowerStaysAtAKeeperThatAnswers: the finder's order is another one each
// time, and two keepers of five are of no use for a while.
func TestFollowerStaysAtAKeeperThatAnswers(t *testing.T) {
	q := newQuestions(t)
	for _, name := range []string{"k0", "k1"} {
		q.keeper(name, behind)
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
		counts[q.next()]++
	}
	// At most one question alone and one beside the others before one answers.
	assert.Assert(t, counts[0] <= 2 && counts[1] <= 2, "questions by keeper: %v", counts)
}

// TestFollowerAsksBesideSilentKeepers: a keeper answers, then it and two others
// are without power. The entry gets no answer from the one that it asks, and does
// not wait for the other ones before it asks the last one.
func TestFollowerAsksBesideSilentKeepers(t *testing.T) {
	q := newQuestions(t)
	ended := make(chan int, 100) // questions that got no answer
	for i, name := range []string{"k0", "k1", "k2"} {
		q.keeper(name, func(ctx context.Context, m wire.WatchConfig) wire.Message {
			if name == "k0" && m.Version == 0 {
				return confirmed(ctx, m)
			}
			<-ctx.Done()
			if m.Version > 0 {
				ended <- i
			}
			return wire.Refused{Reason: "too late"}
		})
	}
	before := make(chan int, 100)
	q.keeper("k3", func(ctx context.Context, m wire.WatchConfig) wire.Message {
		if m.Version == 0 {
			<-ctx.Done()
			return wire.Refused{Reason: "too late"}
		}
		before <- len(ended)
		return confirmed(ctx, m)
	})
	q.follow(clockwork.NewRealClock(), func() []string { return q.addrs })
	select {
	case n := <-before:
		assert.Assert(t, n <= 1, "%d questions had no answer before the last keeper was asked", n)
	case <-q.ctx.Done():
		t.Fatal("the last keeper was not asked")
	}
}
