package porter

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"cyclamenrelay.example/batch"
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/wire"
)

const (
	// idleWait is how long a target without runs may delay its answer to a lease
	// renewal (long poll): a fifth of the shortest lease.
	idleWait = 100 * time.Millisecond
	// endWait is the same for a target with runs, which answers as soon as one ends.
	// When such an answer is lost, all ends are reported late by as much.
	endWait = 20 * time.Millisecond
	// holdPause is the delay before a failed renewal or stop order is retried.
	holdPause = 10 * time.Millisecond
	// unreachedAfter is the number of consecutive unanswered renewals after which
	// the target gets no new work.
	unreachedAfter = 3
	// reportPause times the number of entries is the minimum interval between two
	// reports to one entry, so that an agent's report rate does not grow with the
	// number of entries.
	reportPause = 10 * time.Millisecond
	// reportInterval is the interval between two reports to one entry while nothing
	// changes.
	reportInterval = 120 * time.Millisecond
	reportTimeout  = 300 * time.Millisecond
	// entriesInterval is the interval between checks for new and removed entries.
	entriesInterval = 250 * time.Millisecond
)

// clock updates the lease with a new reading of the target's clock, unless the
// reading is 0 (unknown). The caller holds mu.
func (p *Porter) clock(h *hosted, c time.Duration) {
	if c > 0 {
		h.lease = h.lease.WithClock(c, p.opts.Clock.Now())
	}
}

// raiseFence chooses a higher fencing token after the target has rejected the
// present one as too low.
func (p *Porter) raiseFence(h *hosted, clock time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.clock(h, clock)
	h.fence = max(h.fence+1, fenceOf(clock))
}

// unreachable marks a target that refuses connections as unreachable, and removes
// it once its lease has ended, since nothing can run on it any more then.
func (p *Porter) unreachable(h *hosted, reason string) {
	p.reached(h, false)
	p.mu.Lock()
	defer p.mu.Unlock()
	h.refusing = true
	if p.target == h && h.lease.Over(p.opts.Clock.Now()) {
		p.lose(h, reason)
	}
}

// replaced ends the runs of a target after another instance has answered at its
// address, and removes the target.
func (p *Porter) replaced(h *hosted) {
	p.mu.Lock()
	defer p.mu.Unlock()
	const reason = "another instance answers at its address"
	p.abandon(h, reason, batch.BySuccessor)
	if p.target == h {
		p.lose(h, reason)
	}
}

// lose removes the target and gives up the tasks that wait for it. The agent has
// no target until the next announcement. The caller holds mu.
func (p *Porter) lose(h *hosted, reason string) {
	p.opts.Log.Warn("target lost", zap.String("target", h.ID), zap.String("reason", reason))
	p.target = nil
	for _, r := range p.runs {
		if r.target == nil {
			r.giveUp(reason)
		}
	}
	p.resize()
}

// holdLoop renews the lease of the current target and processes the ended runs that
// it lists.
func (p *Porter) holdLoop(ctx context.Context) {
	misses := 0
	for ctx.Err() == nil {
		p.mu.Lock()
		h, arrived := p.target, p.arrived
		p.mu.Unlock()
		if h == nil {
			select {
			case <-ctx.Done():
			case <-arrived:
			}
			continue
		}
		err := p.hold(ctx, h)
		if err == nil {
			misses = 0
			continue
		}
		misses++
		var refused NotDelivered
		switch {
		case errors.As(err, &refused):
			p.unreachable(h, refused.Reason)
		case misses >= unreachedAfter:
			p.reached(h, false)
		}
		select {
		case <-ctx.Done():
		case <-p.opts.Clock.After(holdPause):
		}
	}
}

// reached sets whether the target answers. A target that does not gets no new work.
func (p *Porter) reached(h *hosted, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h.refusing = h.refusing && !ok
	if h.reached != ok {
		p.opts.Log.Info("target reachability changed", zap.String("target", h.ID), zap.Bool("reached", ok))
		h.reached = ok
		p.resize()
	}
}

// hold sends one lease renewal and processes the listing in the answer.
func (p *Porter) hold(ctx context.Context, h *hosted) error {
	p.mu.Lock()
	t, wait := h.Target, idleWait
	if len(p.runs) > 0 {
		wait = endWait
	}
	p.mu.Unlock()
	l, err := p.renew(ctx, h, wait)
	if err != nil {
		return err
	}
	switch {
	case l.Verdict == Fenced:
		p.raiseFence(h, l.Clock)
		return nil
	case l.Verdict == Replaced || l.Born != 0 && t.Born != 0 && l.Born != t.Born:
		p.replaced(h)
		return nil
	case l.Verdict != Accepted:
		return trace.ConnectionProblem(nil, "target rejected the lease renewal: %s", l.Verdict)
	}
	p.reached(h, true)
	p.listed(h, l)
	return nil
}

// renew renews the target's lease and returns its listing, which the target may
// delay by up to wait until a run ends. Errors are those of Driver.Hold.
func (p *Porter) renew(ctx context.Context, h *hosted, wait time.Duration) (Listing, error) {
	p.mu.Lock()
	q := Hold{Until: p.renewal(h), Fence: h.fence, Seen: h.seen, Wait: wait}
	t, timeout := h.Target, wait+h.answers.Timeout()
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return p.opts.Driver.Hold(ctx, t, q)
}

// listed processes the ended runs of a listing, and stops foreign runs: those that
// this process did not start.
func (p *Porter) listed(h *hosted, l Listing) {
	p.mu.Lock()
	p.clock(h, l.Clock)
	for _, e := range l.Ended {
		if e.N <= h.seen {
			continue
		}
		h.seen = e.N
		if r := p.byTask[Running{e.Task, e.Run}]; r != nil && r.target == h {
			r.end(ending{e.End, "", batch.ByListing})
		}
	}
	foreign := p.follow(h, l.Running)
	switch {
	case len(foreign) > 0 && h.foreign.IsZero():
		h.foreign = p.opts.Clock.Now()
	case len(foreign) == 0:
		h.foreign = time.Time{}
	}
	if len(foreign) == 0 && !h.clean {
		h.clean, p.clean = true, true
		p.resize()
	}
	fence := h.fence
	p.mu.Unlock()
	for _, x := range foreign {
		_, err := p.order(h, p.opts.Driver.Stop, Order{Task: x.Task, Run: x.Run, Fence: fence})
		p.opts.Log.Info("stop ordered for a run that this agent did not start", zap.String("task", x.Task), zap.Uint64("run", x.Run), zap.Error(err))
	}
}

// follow updates the progress of the target's runs, gives up movable runs that
// would probably finish sooner on another target, and returns the runs that this
// process did not start. The caller holds mu.
func (p *Porter) follow(h *hosted, standings []Standing) (foreign []Running) {
	now := p.opts.Clock.Now()
	var own []*run
	var ratios []float64
	for _, x := range standings {
		r := p.byTask[x.Running]
		switch {
		case r == nil || r.target != h:
			foreign = append(foreign, x.Running)
		case r.accepted:
			r.progress = r.progress.With(x.Percent, now)
			own = append(own, r)
			if whole, ok := r.progress.Whole(); ok && r.order.Estimate > 0 {
				ratios = append(ratios, float64(whole)/float64(r.order.Estimate))
			}
		}
	}
	h.slow = h.slow.With(ratios, now)
	for _, r := range own {
		if reason := r.progress.Leave(h.slow); reason != "" && r.order.Movable {
			r.giveUp(reason)
		}
	}
	return foreign
}

// tendLoop gives up tasks that have waited too long, runs of entries whose lease has
// expired and overdue runs, and ends the runs whose target's lease has expired.
func (p *Porter) tendLoop(ctx context.Context) {
	tick := p.opts.Clock.NewTicker(tendInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.Chan():
			p.tend()
		}
	}
}

func (p *Porter) tend() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.opts.Clock.Now()
	for _, t := range p.room.Expired(now) {
		p.runs[t.ID].giveUp("the target had no free capacity in time")
	}
	for _, r := range p.runs {
		switch {
		case now.After(p.leases[r.owner]):
			r.giveUp("the entry's lease has ended")
		case r.ordered && r.target.lease.Over(now):
			r.end(ending{batch.Stopped, "the target's lease has ended", batch.ByLease})
		case !r.overdue.IsZero() && now.After(r.overdue):
			r.giveUp("the run is overdue")
		}
	}
}

// reportLoop runs one reporting goroutine for each known entry.
func (p *Porter) reportLoop(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	stops := map[string]context.CancelFunc{}
	for ctx.Err() == nil {
		known := map[string]bool{}
		entries := p.finder.Nodes(keys.Entry)
		for _, n := range entries {
			known[n.Name+" "+n.Address] = true
			if stops[n.Name+" "+n.Address] != nil {
				continue
			}
			rctx, stop := context.WithCancel(ctx)
			stops[n.Name+" "+n.Address] = stop
			wg.Go(func() { p.reportTo(rctx, n) })
		}
		for k, stop := range stops {
			if !known[k] {
				stop()
				delete(stops, k)
			}
		}
		select {
		case <-ctx.Done():
		case <-p.opts.Clock.After(entriesInterval):
		}
	}
	for _, stop := range stops {
		stop()
	}
}

// reportTo sends reports to one entry after each change, and at intervals.
func (p *Porter) reportTo(ctx context.Context, n wire.Node) {
	for ctx.Err() == nil {
		p.mu.Lock()
		changed := p.changed
		p.mu.Unlock()
		p.report(ctx, n)
		pause := reportPause * time.Duration(max(len(p.finder.Nodes(keys.Entry)), 1))
		select {
		case <-ctx.Done():
			return
		case <-p.opts.Clock.After(pause):
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-p.opts.Clock.After(reportInterval - min(pause, reportInterval)):
		}
	}
}

// report sends one report to an entry. The answer renews the entry's lease, counted
// from the time when the report was sent.
func (p *Porter) report(ctx context.Context, n wire.Node) {
	m, ok := p.reportFor(n.Name)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	sent := p.opts.Clock.Now()
	a, err := p.node.Call(ctx, link.To{Address: n.Address, Role: keys.Entry}, m)
	if _, done := a.(wire.Done); err != nil || !done {
		p.opts.Log.Debug("capacity report not confirmed by the entry", zap.String("entry", n.Name), zap.Error(err))
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leases[n.Name] = sent.Add(p.opts.EntryLease)
}

// reportFor returns the report for an entry, and false until the agent knows that
// no run of an earlier agent process is left on a target.
func (p *Porter) reportFor(entry string) (wire.RoomReport, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	self := p.finder.Self()
	m := wire.RoomReport{Agent: self.Name, Room: p.roomFor(entry), DataCentre: self.DataCentre}
	h := p.target
	if h == nil || !h.clean {
		return m, p.clean
	}
	m.Target, m.Pool, m.Capacity, m.Labels = h.ID, h.Pool, h.Capacity, h.Labels
	m.Open = h.Open && h.reached && !p.leaving
	return m, true
}

// roomFor returns the capacity use of the target as it is sent to an entry. The
// caller holds mu.
func (p *Porter) roomFor(entry string) wire.Room {
	p.seq++
	m := wire.Room{Incarnation: p.finder.Self().Incarnation, Seq: p.seq}
	if h := p.target; h != nil && h.clean {
		m.Used, m.Yours, m.Turn = p.room.Used(), p.room.Of(entry), p.room.Turn()
		now := p.opts.Clock.Now()
		m.Backlog, m.Slow = p.room.Backlog(now), h.slow.Reported(now)
	}
	return m
}
