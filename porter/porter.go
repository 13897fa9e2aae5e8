package porter

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"cyclamenrelay.example/batch"
	"cyclamenrelay.example/kernel"
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/lease"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/member"
	"cyclamenrelay.example/pace"
	"cyclamenrelay.example/room"
	"cyclamenrelay.example/wire"
)

// ServiceName is the name that other services find the porter by.
const ServiceName = "porter"

const (
	// tendInterval is the time between looks at leases and at late tickets.
	tendInterval = 25 * time.Millisecond
	// stopGrace is how long a stopped run may take to be listed as ended: the
	// platform allows 50 ms.
	stopGrace = 80 * time.Millisecond
)

// Options configure a Porter.
type Options struct {
	Driver Driver
	// TargetLease is how long the target lets runs go on without a renewal.
	TargetLease time.Duration
	// EntryLease is how long an entry's runs go on without an answer of the entry.
	EntryLease time.Duration
	// DrainTimeout bounds the wait for runs in progress at a shutdown.
	DrainTimeout time.Duration
	Clock        clockwork.Clock
	Log          *zap.Logger
}

// Porter is the service.
type Porter struct {
	opts   Options
	node   *link.Node
	finder *member.Finder

	mu      sync.Mutex
	room    *room.Room
	target  *hosted
	runs    map[uint64]*run
	byTask  map[Running]*run
	lastID  uint64
	seq     uint64
	leases  map[string]time.Time // by entry
	leaving bool
	// clean is set once nothing runs that an earlier agent started.
	clean   bool
	changed chan struct{} // closed when a report would change
	arrived chan struct{} // closed when another target is here
}

// hosted is the target of the agent now.
type hosted struct {
	Target
	fence uint64
	seen  int64
	lease lease.Lease
	// clean is set once nothing runs that this process did not start.
	clean bool
	// foreign is since when the target has listed a run that this process did not
	// start, the zero time while it lists none.
	foreign time.Time
	// reached is false while the target leaves orders unanswered.
	reached bool
	// refusing targets do not listen at their address. No renewal reaches them, so
	// that their lease must not count as renewed.
	refusing bool
	// leaving targets, and those that another one came after, get no renewals.
	leaving bool
	// answers is how long the target takes to answer orders.
	answers pace.Answers
	slow    pace.Slowness
}

// run is one run of a task, from its arrival to its end.
type run struct {
	id     uint64
	key    Running
	order  wire.StartRun
	owner  string
	target *hosted
	// overdue is when the run is stopped for taking too long, the zero time for never.
	overdue time.Time
	// accepted is set once the target has taken the start; progress counts from then.
	accepted bool
	progress pace.Progress
	// ordered is set once the start may have gone to the target.
	ordered bool
	// mustEnd is when the target must have ended the run that is given up, the zero
	// time before: no renewal reaches past it.
	mustEnd time.Time
	granted chan struct{}
	ended   chan ending   // one element at most
	quit    chan struct{} // closed to give the run up
	reason  string        // why it was given up, set before quit is closed
}

// ending is how a run ended and, unless the target said so, why.
type ending struct {
	end    batch.End
	reason string
	shown  batch.Shown
}

// New returns a porter without a target.
func New(opts Options) *Porter {
	return &Porter{
		opts: opts, room: room.New(), runs: map[uint64]*run{}, byTask: map[Running]*run{}, leases: map[string]time.Time{},
		changed: make(chan struct{}), arrived: make(chan struct{}),
	}
}

// Name implements kernel.Service.
func (p *Porter) Name() string { return ServiceName }

// Start implements kernel.Starter.
func (p *Porter) Start(k *kernel.Kernel) (err error) {
	if p.node, err = kernel.Find[*link.Node](k, link.ServiceName); err != nil {
		return err
	}
	if p.finder, err = kernel.Find[*member.Finder](k, member.ServiceName); err != nil {
		return err
	}
	link.On(p.node.Mux(), p.start, keys.Entry)
	return nil
}

// Run implements kernel.Service.
func (p *Porter) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { p.reportLoop(ctx) })
	wg.Go(func() { p.holdLoop(ctx) })
	wg.Go(func() { p.tendLoop(ctx) })
	wg.Wait()
	return nil
}

// Drain implements kernel.Drainer: nothing new is taken, and what runs may end.
func (p *Porter) Drain(ctx context.Context) {
	p.mu.Lock()
	p.leaving = true
	p.room.SetOpen(false)
	p.touch()
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, p.opts.DrainTimeout)
	defer cancel()
	for {
		p.mu.Lock()
		left := len(p.runs)
		p.mu.Unlock()
		if left == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-p.opts.Clock.After(tendInterval):
		}
	}
}

// touch tells the report loops that there is news. The caller holds mu.
func (p *Porter) touch() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Announced takes a target's announcement of itself, and reports whether it is
// news: an announcement older than the newest, or of an earlier life, is not.
func (p *Porter) Announced(t Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.opts.Clock.Now()
	if h := p.target; h != nil {
		if h.ID == t.ID && (h.Born == 0 || t.Born == 0) { // does not tell two lives apart
			t.Born = max(h.Born, t.Born)
			h.Born = t.Born
		}
		same := h.ID == t.ID && h.Born == t.Born
		if same && t.Seq <= h.Seq || !same && t.Born < h.Born {
			return false
		}
		if same {
			opened := h.Open != t.Open
			h.Target, h.lease = t, h.lease.WithClock(t.Clock, now)
			p.resize()
			if opened {
				p.opts.Log.Info("target changed", zap.String("target", t.ID), zap.Bool("open", t.Open))
			}
			return true
		}
		p.succeeded(h, t)
	}
	p.opts.Log.Info("target arrived", zap.String("target", t.ID), zap.String("pool", t.Pool), zap.String("address", t.Address),
		zap.Int64("cpu", t.Capacity.CPU), zap.Int64("memory", t.Capacity.Memory), zap.Bool("open", t.Open))
	p.target = &hosted{Target: t, lease: lease.Lease{}.WithClock(t.Clock, now), fence: fenceOf(t.Clock), reached: true}
	p.resize()
	close(p.arrived)
	p.arrived = make(chan struct{})
	return true
}

// fenceOf returns the fence of who first meets the target at a time of its
// clock. A target's clock never goes back in its life, so that a restarted
// agent has a higher fence than before.
func fenceOf(clock time.Duration) uint64 { return uint64(clock.Milliseconds()) + 1 }

// succeeded has the target's runs end when another one arrives. Only one under
// its ID, or at its address, shows that it has ended; any other may have come
// beside it. The caller holds mu.
func (p *Porter) succeeded(h *hosted, next Target) {
	const reason = "the target was replaced"
	if next.ID == h.ID || next.Address == h.Address {
		p.abandon(h, reason, batch.BySuccessor)
		return
	}
	p.retire(h, reason)
}

// Left takes a target's word that it ends. It may go on for seconds when the
// answer to that is lost.
func (p *Porter) Left(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.target == nil || p.target.ID != id {
		return
	}
	p.opts.Log.Info("target left", zap.String("target", id))
	p.retire(p.target, "the target left")
	p.resize()
}

// resize brings the room to what the target says. The caller holds mu.
func (p *Porter) resize() {
	open := p.target != nil && p.target.Open && p.target.clean && p.target.reached && !p.target.leaving && !p.leaving
	p.room.SetOpen(open)
	if p.target != nil {
		p.room.Resize(p.target.Capacity)
	}
	p.fill()
	p.touch()
}

// abandon ends the runs of a target that has certainly ended, and those that
// wait for room. The caller holds mu.
func (p *Porter) abandon(h *hosted, reason string, shown batch.Shown) {
	for _, r := range p.runs {
		if r.target == nil || r.target == h {
			r.end(ending{batch.Stopped, reason, shown})
		}
	}
}

// retire gives up the runs of a target that may live on, and those that wait
// for room. The caller holds mu.
func (p *Porter) retire(h *hosted, reason string) {
	h.leaving = true
	for _, r := range p.runs {
		if r.target == nil || r.target == h {
			r.giveUp(reason)
		}
	}
}

// end tells the run's handler how it ended; only the first end counts.
func (r *run) end(e ending) {
	select {
	case r.ended <- e:
	default:
	}
}

// giveUp has the run's handler stop it. The caller holds mu.
func (r *run) giveUp(reason string) {
	select {
	case <-r.quit:
	default:
		r.reason = reason
		close(r.quit)
	}
}

// fill grants room to those who wait for it. The caller holds mu.
func (p *Porter) fill() {
	for {
		t, ok := p.room.Next()
		if !ok {
			return
		}
		r := p.runs[t.ID]
		r.target = p.target
		if r.order.Overdue > 0 {
			r.overdue = p.opts.Clock.Now().Add(r.order.Overdue)
		}
		close(r.granted)
	}
}

// enter has a task wait for room, or returns the answer of one that cannot.
func (p *Porter) enter(owner string, m wire.StartRun) (*run, wire.RunEnded) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.opts.Clock.Now()
	key := Running{Task: m.Task, Run: m.Run}
	if p.byTask[key] != nil {
		// What is here may be at work, so that nothing shows that the task is not.
		return nil, wire.RunEnded{End: batch.Lost, Reason: "this run is here already"}
	}
	if reason := p.refusal(owner, m, now); reason != "" {
		return nil, wire.RunEnded{End: batch.NotStarted, Reason: reason, Shown: batch.ByWaiting}
	}
	p.lastID++
	r := &run{
		id: p.lastID, key: key, order: m, owner: owner,
		granted: make(chan struct{}), ended: make(chan ending, 1), quit: make(chan struct{}),
	}
	p.runs[r.id], p.byTask[key] = r, r
	p.room.Enter(room.Ticket{
		ID: r.id, Owner: owner, Need: m.Need, Estimate: m.Estimate, Priority: m.Priority,
		Due: now.Add(m.Slack), Until: now.Add(m.Patience),
	})
	p.fill()
	p.touch()
	return r, wire.RunEnded{}
}

// refusal returns why a task cannot wait here, empty when it can. The caller holds mu.
func (p *Porter) refusal(owner string, m wire.StartRun, now time.Time) string {
	switch {
	case p.target == nil:
		return "no target"
	case p.leaving:
		return "the agent is shutting down"
	case !p.target.Open || p.target.leaving:
		return "the target is leaving"
	case !p.target.clean || !p.target.reached:
		return "the target does not answer"
	case !m.Need.Fits(p.room.Capacity()):
		return "the target is too small"
	case now.After(p.leases[owner]):
		return "the entry's lease has ended"
	}
	return ""
}

// leave gives up a run's room, and returns what its entry is told of the room then.
func (p *Porter) leave(r *run) *wire.Room {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.runs, r.id)
	delete(p.byTask, r.key)
	p.room.Leave(r.id)
	p.fill()
	p.touch()
	m := p.roomFor(r.owner)
	return &m
}
