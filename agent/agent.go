// Package agent is the service that runs beside one target: it receives the
// target's announcements, grants the target's slots to entries, and starts the
// entries' tasks on the target.
package agent

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"cyclamenrelay.example/kernel"
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/member"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/rules"
	"cyclamenrelay.example/share"
	"cyclamenrelay.example/spread"
	"cyclamenrelay.example/wire"
	"cyclamenrelay.example/worker"
)

// ServiceName is the service name of the agent.
const ServiceName = "agent"

// linger is how long Drain waits after the last start has ended, so that the
// sending of its answer has begun.
const linger = 100 * time.Millisecond

// Options configure an Agent.
type Options struct {
	// Listen is the IP address and TCP port for the target's announcements.
	Listen string
	// TargetLease is the longest lease a target may ask for.
	TargetLease time.Duration
	Clock       clockwork.Clock
	Log         *zap.Logger
	View        *spread.View
	Platform    worker.Platform
	// Shares are the settings of the slot scheduler. Its number of slots comes from
	// the target's announcements.
	Shares share.Settings
}

// Agent is the service beside a target.
type Agent struct {
	opts   Options
	node   *link.Node
	finder *member.Finder
	wake   chan struct{} // requests an announcement before the next interval
	log    *journal
	// stepped tells the slot loop that the core has processed an input.
	stepped chan struct{}

	mu        sync.Mutex
	answering map[string]wire.Node // entries that answered the last announcement
	target    *lease               // nil until the target has announced itself
	set       *rules.Set
	judged    judgement
	seq       uint64      // of the last announcement to an entry
	core      *share.Core // slot scheduler
	slots     int
	waiting   map[string]chan *model.NotRun // starts that wait for the core's decision, by task ID
	draining  bool
	active    int           // starts in progress
	idle      chan struct{} // closed when draining and no start is in progress
}

// New returns an agent whose target has not announced itself yet.
func New(opts Options) *Agent {
	set, _ := rules.Compile(model.Config{})
	return &Agent{
		opts:      opts,
		wake:      make(chan struct{}, 1),
		stepped:   make(chan struct{}, 1),
		log:       newJournal(opts.Clock),
		set:       set,
		core:      share.New(opts.Shares, set),
		waiting:   map[string]chan *model.NotRun{},
		answering: map[string]wire.Node{},
		idle:      make(chan struct{}),
	}
}

// Name implements kernel.Service.
func (a *Agent) Name() string { return ServiceName }

// Start implements kernel.Starter.
func (a *Agent) Start(k *kernel.Kernel) (err error) {
	if a.node, err = kernel.Find[*link.Node](k, link.ServiceName); err != nil {
		return err
	}
	if a.finder, err = kernel.Find[*member.Finder](k, member.ServiceName); err != nil {
		return err
	}
	link.On(a.node.Mux(), a.start, keys.Entry)
	link.On(a.node.Mux(), a.cancel, keys.Entry)
	link.On(a.node.Mux(), a.fence, keys.Entry)
	link.On(a.node.Mux(), a.demand, keys.Entry)
	link.On(a.node.Mux(), a.giveBack, keys.Entry)
	return nil
}

// Run implements kernel.Service.
func (a *Agent) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { a.announceLoop(ctx) })
	wg.Go(func() { a.watchUsage(ctx) })
	wg.Go(func() { a.slotLoop(ctx) })
	err := a.serveTarget(ctx)
	wg.Wait()
	return err
}

// Drain implements kernel.Drainer: it refuses new tasks, and returns when the
// running ones have ended and the sending of their answers has begun.
func (a *Agent) Drain(ctx context.Context) {
	a.mu.Lock()
	a.draining = true
	a.stepLocked(share.Leave{})
	a.closeIdle()
	a.mu.Unlock()
	a.finder.Leave()
	a.announceSoon()
	select {
	case <-a.idle:
	case <-ctx.Done():
		return
	}
	select {
	case <-a.opts.Clock.After(linger):
	case <-ctx.Done():
	}
}

// enterExchange counts a start in progress until leaveExchange.
func (a *Agent) enterExchange() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.active++
}

func (a *Agent) leaveExchange() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.active--
	a.closeIdle()
}

// closeIdle closes idle when the agent is draining and no start is in progress. It
// is called with mu held.
func (a *Agent) closeIdle() {
	if !a.draining || a.active > 0 {
		return
	}
	select {
	case <-a.idle:
	default:
		close(a.idle)
	}
}
