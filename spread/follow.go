package spread

import (
	"context"
	"math/rand/v2"
	"slices"
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
	// maxAnswers is how many answers an entry takes from one keeper before it
	// asks all again, so that one that was away gets its part.
	maxAnswers = 500
)

// Follower keeps an entry's view up to date from the keepers.
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

// Run implements kernel.Service: it stays at one keeper while that answers.
func (f *Follower) Run(ctx context.Context) error {
	kept, answers := "", 0
	for ctx.Err() == nil {
		addrs := f.Keepers()
		if answers < maxAnswers && slices.Contains(addrs, kept) && f.ask(ctx, kept) {
			answers++
			continue
		}
		if kept, answers = f.askAll(ctx, addrs), 0; kept != "" {
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

// askAll asks the keepers at once and returns the first one that left the view
// fresh, empty for none. One after the other, each that has no power would take
// a watchTimeout.
func (f *Follower) askAll(ctx context.Context, addrs []string) string {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	fresh := make(chan string, len(addrs))
	for _, addr := range addrs {
		go func() {
			if !f.ask(ctx, addr) {
				addr = ""
			}
			fresh <- addr
		}()
	}
	// A question to an address without a connection can outlast its own timeout.
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

// ask reports whether the keeper answered and left the view fresh. One that is
// cut off from the others answers, but with proofs that grow old.
func (f *Follower) ask(ctx context.Context, addr string) bool {
	call, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	sent := f.Clock.Now()
	a, err := f.Node.Call(call, link.To{Address: addr, Role: keys.Keeper}, wire.WatchConfig{
		Version: f.View.Config().Version(), Unproven: !f.View.Usable(),
	})
	if ctx.Err() != nil {
		return false
	}
	log := f.Log.With(zap.String("address", addr), zap.Duration("took", f.Clock.Since(sent)))
	if err != nil {
		log.Info("keeper not reached", zap.Error(err))
		return false
	}
	u, ok := a.(wire.ConfigUpdate)
	if !ok {
		r, _ := a.(wire.Refused)
		log.Info("keeper cannot tell its configuration", zap.String("reason", r.Reason))
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
