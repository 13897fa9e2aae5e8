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

	"cyclamenrelay.example/guard"
	"cyclamenrelay.example/kernel"
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/member"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/rules"
	"cyclamenrelay.example/share"
	"cyclamenrelay.example/watch"
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
	View        *watch.View
	Platform    worker.Platform
	// Plan is the memory plan of the process.
	Plan guard.Plan
	// Scheduler are the settings of the slot scheduler. Its number of slots comes from
	// the target's announcements.
	Scheduler share.Settings
}

// Agent is the service beside a target.
type Agent struct {
	opts        Options
	node        *link.Node
	finder      *member.Finder
	announceNow chan struct{} // requests an announcement before the next interval
	starts      *journal
	// coreStepped tells the slot loop that the core has processed an input.
	coreStepped chan struct{}

	mu          sync.Mutex
	reachable   map[string]wire.Node // entries that answered the last announcement
	targetLease *lease               // nil until the target has announced itself
	ruleSet     *rules.Set
	lastDrain   drainDecision
	seq         uint64      // of the last announcement to an entry
	core        *share.Core // slot scheduler
	slots       int
	undecided   map[string]chan *model.NotRun // starts that wait for the core's decision, by task ID
	draining    bool
	active      int           // starts in progress
	idle        chan struct{} // closed when draining and no start is in progress
}

// New returns an agent whose target has not announced itself yet.
func New(opts Options) *Agent {
	set, _ := rules.Compile(model.Config{})
	return &Agent{
		opts:        opts,
		announceNow: make(chan struct{}, 1),
		coreStepped: make(chan struct{}, 1),
		starts:      newJournal(opts.Clock),
		ruleSet:     set,
		core:        share.New(opts.Scheduler, set),
		undecided:   map[string]chan *model.NotRun{},
		reachable:   map[string]wire.Node{},
		idle:        make(chan struct{}),
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
	link.Handle(a.node.Mux(), a.handleStart, keys.Entry)
	link.Handle(a.node.Mux(), a.handleCancel, keys.Entry)
	link.Handle(a.node.Mux(), a.handleFence, keys.Entry)
	link.Handle(a.node.Mux(), a.handleDemand, keys.Entry)
	link.Handle(a.node.Mux(), a.handleReturn, keys.Entry)
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
	a.stepLocked(share.Drain{})
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

// beginStart counts a start in progress until endStart.
func (a *Agent) beginStart() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.active++
}

func (a *Agent) endStart() {
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
