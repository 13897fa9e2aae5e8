package watch_test

import (
	"context"
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

// inForce is the time after which the users' machines expect a change to be in force.
const inForce = 2500 * time.Millisecond

// TestFollowerTakesALateAnswer guards against an entry that gives up each poll too early: on a
// full link answers take over a second, and the entry kept its old configuration.
func TestFollowerTakesALateAnswer(t *testing.T) {
	q := newCluster(t)
	for _, name := range []string{"k0", "k1", "k2"} {
		q.keeper(name, func(ctx context.Context, m wire.WatchConfig) wire.Message {
			select {
			case <-ctx.Done():
			case <-time.After(1200 * time.Millisecond):
			}
			return confirmed(ctx, m)
		})
	}
	clock := clockwork.NewRealClock()
	f := &watch.Follower{
		Limits: polls.Limits{InForce: inForce, Tolerance: 2, Lease: lease},
		View:   watch.NewView(clock, time.Hour), Keepers: func() []string { return q.addrs },
		Node: q.node("e1", keys.Entry, func(*link.Mux) {}), Clock: clock, Log: zap.NewNop(),
	}
	ctx, cancel := context.WithCancel(q.ctx)
	done := make(chan struct{})
	changed := f.View.Changed()
	go func() {
		_ = f.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	select {
	case <-changed:
		assert.Equal(t, f.View.Config().Version(), uint64(1))
	case <-time.After(inForce):
		t.Fatal("the answers came after 1.2 s, and the entry has no configuration after 2.5 s")
	}
}
