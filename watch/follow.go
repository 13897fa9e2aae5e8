package watch

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/meter"
	"cyclamenrelay.example/wire"
)

// ServiceName is the name under which other services find the follower.
const ServiceName = "watch"

const (
	watchTimeout = time.Second
	retryPause   = 100 * time.Millisecond
	// answersPerKeeper is the number of answers that an entry takes from one keeper
	// before it chooses anew, so that a keeper that has come back gets its share of
	// the load.
	answersPerKeeper = 500
)

// Follower keeps an entry's view up to date by long polls at the keepers.
type Follower struct {
	View *View
	// Keepers returns the addresses of the known keepers, in any order.
	Keepers func() []string
	Node    *link.Node
	Clock   clockwork.Clock
	Log     *zap.Logger
}

// Name implements kernel.Service.
func (f *Follower) Name() string { return ServiceName }

// Run implements kernel.Service: it polls the same keeper while that leaves the
// view fresh, and otherwise asks all to choose another one.
//
// The time until an entry has an acknowledged configuration is a sum of time-outs here and in
// package link, docs/incidents/2026-12-06-configuration-group-without-quorum.md. It has to stay
// below the bound of the deployment, 2 s to 2.5 s on the users' machines.
func (f *Follower) Run(ctx context.Context) error {
	current, answers := "", 0
	for ctx.Err() == nil {
		addrs := f.Keepers()
		if answers < answersPerKeeper && slices.Contains(addrs, current) && f.poll(ctx, current) {
			answers++
			continue
		}
		if current, answers = f.pollAll(ctx, addrs), 0; current != "" {
			continue
		}
		pause := retryPause + rand.N(retryPause)
		select {
		case <-ctx.Done():
		case <-f.Clock.After(pause):
		}
	}
	return nil
}

// pollAll polls all keepers concurrently and returns the address of the first one
// that left the view fresh, or "". One after the other, each keeper that is down
// would cost a watchTimeout.
func (f *Follower) pollAll(ctx context.Context, addrs []string) string {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	fresh := make(chan string, len(addrs))
	for _, addr := range addrs {
		go func() {
			if !f.poll(ctx, addr) {
				addr = ""
			}
			fresh <- addr
		}()
	}
	// A call to an address without a connection can outlast its own timeout.
	timeout := f.Clock.After(watchTimeout)
	for range addrs {
		select {
		case addr := <-fresh:
			if addr != "" {
				return addr
			}
		case <-timeout:
			return ""
		}
	}
	return ""
}

// poll updates the view from one keeper, and reports whether the view is fresh
// after its answer. A keeper that is cut off from the quorum still answers, but
// with a confirmation that gets older and older.
func (f *Follower) poll(ctx context.Context, addr string) bool {
	callCtx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	sent := f.Clock.Now()
	a, err := f.Node.Call(callCtx, link.Dest{Address: addr, Role: keys.Keeper, RedialSilent: true}, wire.WatchConfig{
		Version: f.View.Config().Version(), AllowUnconfirmed: !f.View.Usable(),
	})
	if ctx.Err() != nil {
		return false
	}
	took := f.Clock.Since(sent)
	log := f.Log.With(zap.String("address", addr), zap.Duration("took", took))
	if err != nil {
		log.Info("keeper not reachable", zap.Error(err))
		f.View.pollEnded(addr, err.Error())
		return false
	}
	u, ok := a.(wire.ConfigUpdate)
	if !ok {
		r, _ := a.(wire.Refused)
		log.Info("keeper refused to send its configuration", zap.String("reason", r.Reason))
		f.View.pollEnded(addr, r.Reason)
		return false
	}
	before := f.View.Status()
	f.View.Apply(u, sent)
	if u.Delta.To > before.Version {
		meter.ObserveConfigStep("held", u.Held)
		meter.ObserveConfigStep("poll", took)
		log.Info("configuration updated", zap.Uint64("version", u.Delta.To), zap.Duration("age", u.Fresh.Age), zap.Duration("held", u.Held),
			zap.Duration("ageBefore", before.Age), zap.Int("failedPolls", before.FailedPolls))
	}
	if !f.View.Fresh() {
		log.Info("keeper's configuration is not recently confirmed by a quorum", zap.Duration("age", u.Fresh.Age))
		f.View.pollEnded(addr, "no recent confirmation by a quorum")
		return false
	}
	f.View.pollEnded(addr, "")
	return true
}
