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
	log := f.Log.With(zap.String("address", addr), zap.Duration("took", f.Clock.Since(sent)))
	if err != nil {
		log.Info("keeper not reached", zap.Error(err))
		return false
	}
	u, ok := a.(wire.ConfigUpdate)
	if !ok {
		log.Info("keeper cannot tell its configuration", zap.Any("answer", a))
		return false
	}
	f.View.Apply(u, sent)
	if u.Delta.To > 0 {
		log.Info("configuration taken", zap.Uint64("version", u.Delta.To), zap.Duration("age", u.Fresh.Age))
	}
	if !f.View.Fresh() {
		log.Info("keeper's configuration is not confirmed", zap.Duration("age", u.Fresh.Age))
		return false
	}
	return true
}
