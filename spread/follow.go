package spread

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/wire"
)

// ServiceName is the name that other services find the follower by.
const ServiceName = "spread"

const (
	watchTimeout = time.Second
	retryPause   = 100 * time.Millisecond
)

// Follower keeps an entry's view up to date from the keepers.
type Follower struct {
	View *View
	// Keepers returns the addresses of keepers to ask, the preferred first.
	Keepers func() []string
	Node    *link.Node
	Clock   clockwork.Clock
	Log     *zap.Logger
}

// Name implements kernel.Service.
func (f *Follower) Name() string { return ServiceName }

// Run implements kernel.Service: it asks one keeper after another for changes.
func (f *Follower) Run(ctx context.Context) error {
	for next := 0; ctx.Err() == nil; {
		addrs := f.Keepers()
		if len(addrs) > 0 && f.ask(ctx, addrs[next%len(addrs)]) {
			continue
		}
		next++
		pause := retryPause + rand.N(retryPause)
		select {
		case <-ctx.Done():
		case <-f.Clock.After(pause):
		}
	}
	return nil
}

// ask reports whether the keeper answered and left the view fresh. One that is
// cut off from the others answers, but with proofs that grow old.
func (f *Follower) ask(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	sent := f.Clock.Now()
	a, err := f.Node.Call(ctx, link.To{Address: addr, Role: keys.Keeper}, wire.WatchConfig{
		Version: f.View.Config().Version(), Unproven: !f.View.Usable(),
	})
	if err != nil {
		f.Log.Debug("keeper not reached", zap.String("address", addr), zap.Error(err))
		return false
	}
	u, ok := a.(wire.ConfigUpdate)
	if !ok {
		return false
	}
	f.View.Apply(u, sent)
	return f.View.Fresh()
}
