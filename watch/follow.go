package watch

import (
	"context"
	"sync"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/meter"
	"cyclamenrelay.example/polls"
	"cyclamenrelay.example/wire"
)

// ServiceName is the name under which other services find the follower.
const ServiceName = "watch"

// Follower keeps an entry's view up to date by long polls at the keepers.
type Follower struct {
	View *View
	// Keepers returns the addresses of the known keepers, in any order.
	Keepers func() []string
	// Limits are what the deployment promises.
	Limits polls.Limits
	Node   *link.Node
	Clock  clockwork.Clock
	Log    *zap.Logger
}

// Name implements kernel.Service.
func (f *Follower) Name() string { return ServiceName }

// openPoll is a poll in progress.
type openPoll struct {
	keeper string
	cancel context.CancelFunc
	result polls.Result // once it has ended
}

// Run implements kernel.Service: it polls the keepers that the schedule names. A good answer
// ends the polls of other keepers, which would bring the same configuration.
func (f *Follower) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	s := polls.NewSchedule(f.Clock.Now())
	ended := make(chan *openPoll)
	open := map[*openPoll]bool{}
	for ctx.Err() == nil {
		now := f.Clock.Now()
		for _, k := range s.Next(now, f.Keepers()) {
			pollCtx, cancel := context.WithCancel(ctx)
			p := &openPoll{keeper: k, cancel: cancel}
			open[p] = true
			wg.Go(func() {
				p.result = f.poll(pollCtx, k)
				select {
				case ended <- p:
				case <-ctx.Done():
				}
			})
		}
		timer := f.Clock.NewTimer(s.Wake(now).Sub(now))
		select {
		case <-ctx.Done():
		case p := <-ended:
			p.cancel()
			delete(open, p)
			s.Ended(f.Clock.Now(), p.keeper, p.result)
			if p.result == polls.Good {
				cancelOthers(open, p.keeper)
			}
		case <-timer.Chan():
		}
		timer.Stop()
	}
	return nil
}

// cancelOthers cancels the polls of all keepers but one.
func cancelOthers(open map[*openPoll]bool, keeper string) {
	for p := range open {
		if p.keeper != keeper {
			p.cancel()
		}
	}
}

// poll updates the view from one keeper. The answer of a keeper that is cut off from the
// quorum is not good: its proof gets older and older.
func (f *Follower) poll(ctx context.Context, addr string) polls.Result {
	callCtx, cancel := context.WithTimeout(ctx, f.Limits.Timeout())
	defer cancel()
	sent := f.Clock.Now()
	a, err := f.Node.Call(callCtx, link.Dest{Address: addr, Role: keys.Keeper, RedialSilent: true}, wire.WatchConfig{
		Version: f.View.Config().Version(), AllowUnconfirmed: !f.View.Usable(),
	})
	if ctx.Err() != nil {
		return polls.Cancelled
	}
	took := f.Clock.Since(sent)
	log := f.Log.With(zap.String("address", addr), zap.Duration("took", took))
	if err != nil {
		log.Info("keeper not reachable", zap.Error(err))
		f.View.pollEnded(addr, err.Error())
		return polls.Bad
	}
	u, ok := a.(wire.ConfigUpdate)
	if !ok {
		r, _ := a.(wire.Refused)
		log.Info("keeper refused to send its configuration", zap.String("reason", r.Reason))
		f.View.pollEnded(addr, r.Reason)
		return polls.Bad
	}
	before := f.View.Status()
	f.View.Apply(u, sent)
	if u.Delta.To > before.Version {
		meter.ObserveConfigStep("held", u.Held)
		meter.ObserveConfigStep("poll", took)
		log.Info("configuration updated", zap.Uint64("version", u.Delta.To), zap.Duration("age", u.Fresh.Age), zap.Duration("held", u.Held),
			zap.Duration("ageBefore", before.Age), zap.Int("failedPolls", before.FailedPolls))
	}
	if u.Fresh.Age < 0 || u.Fresh.Age > polls.MaxProofAge {
		log.Info("keeper's configuration is not recently confirmed by a quorum", zap.Duration("age", u.Fresh.Age))
		f.View.pollEnded(addr, "no recent confirmation by a quorum")
		return polls.Bad
	}
	f.View.pollEnded(addr, "")
	return polls.Good
}
