package runner

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/peers"
	"cyclamenrelay.example/wire"
)

// entryCheckInterval is the interval between checks for new and removed entries.
const entryCheckInterval = 100 * time.Millisecond

// sender is an entry that has sent a task to this agent.
type sender struct {
	node   wire.Node
	lastAt time.Time // arrival of its last task
}

// reportLoop runs one reporting goroutine for each entry that gets reports.
func (p *Runner) reportLoop(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	stops := map[string]context.CancelFunc{}
	for ctx.Err() == nil {
		known := map[string]bool{}
		for _, n := range p.recipients() {
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
		case <-p.opts.Clock.After(entryCheckInterval):
		}
	}
	for _, stop := range stops {
		stop()
	}
}

// recipients returns the entries that get reports: the home entries, and other entries
// with runs here or with a task in the last lease. Reports to them for longer would have
// more entries choose among the same targets.
func (p *Runner) recipients() []wire.Node {
	self := p.finder.Self()
	home := peers.Choose(self.Name, self.DataCentre, p.finder.Nodes(keys.Entry), peers.HomeEntries)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.home = map[string]bool{}
	for _, n := range home {
		p.home[n.Name] = true
	}
	out := append([]wire.Node(nil), home...)
	for name, s := range p.senders {
		switch {
		case p.opts.Clock.Since(s.lastAt) > p.opts.Timing.Lease && !p.hasRuns(name):
			delete(p.senders, name)
		case !p.home[name]:
			out = append(out, s.node)
		}
	}
	return out
}

// hasRuns reports whether a run of the entry waits or is in progress. The caller holds mu.
func (p *Runner) hasRuns(entry string) bool {
	for _, r := range p.runs {
		if r.entry == entry {
			return true
		}
	}
	return false
}

// links returns the number of entries that get reports. The caller holds mu.
func (p *Runner) links() int {
	n := len(p.home)
	for name := range p.senders {
		if !p.home[name] {
			n++
		}
	}
	return n
}

// noteSender records that an entry has sent a task, so that it gets reports. It returns
// false when the agent serves as many entries as it can, all of them with runs here. The
// caller holds mu.
func (p *Runner) noteSender(peer link.Peer) bool {
	_, known := p.senders[peer.Name]
	if !known && !p.home[peer.Name] && p.links() >= peers.MaxLinks && !p.dropIdleSender() {
		return false
	}
	p.senders[peer.Name] = sender{wire.Node{Name: peer.Name, Address: peer.Address}, p.opts.Clock.Now()}
	return true
}

// dropIdleSender forgets the sender that is neither a home entry nor has runs here and
// whose last task is the oldest, and reports whether there is one. The caller holds mu.
func (p *Runner) dropIdleSender() bool {
	oldest := ""
	for name, s := range p.senders {
		if !p.home[name] && !p.hasRuns(name) && (oldest == "" || s.lastAt.Before(p.senders[oldest].lastAt)) {
			oldest = name
		}
	}
	delete(p.senders, oldest)
	return oldest != ""
}

// reportTo sends reports to one entry at intervals, and when the target opens or closes.
// The load between two reports is in the answers to runs, and a full target returns tasks.
func (p *Runner) reportTo(ctx context.Context, n wire.Node) {
	for ctx.Err() == nil {
		p.mu.Lock()
		changed := p.reportChanged
		p.mu.Unlock()
		err := p.sendReport(ctx, n)
		p.mu.Lock()
		pause, interval := p.opts.Timing.Pause(p.links()), p.opts.Timing.IdleInterval
		if p.hasRuns(n.Name) {
			interval = p.opts.Timing.BusyInterval
		}
		p.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-p.opts.Clock.After(pause):
		}
		if err != nil || interval <= pause {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-p.opts.Clock.After(interval - pause):
		}
	}
}

// sendReport sends one report to an entry. The answer renews the entry's lease.
func (p *Runner) sendReport(ctx context.Context, n wire.Node) error {
	m, ok := p.buildReport(n.Name)
	if !ok {
		return nil
	}
	err := p.askEntry(ctx, n, m)
	if err != nil {
		p.opts.Log.Debug("capacity report not confirmed by the entry", zap.String("entry", n.Name), zap.Error(err))
	}
	return err
}

// askEntry sends a message to an entry that answers Done. The answer renews the entry's
// lease, counted from the time when the message was sent.
func (p *Runner) askEntry(ctx context.Context, n wire.Node, m wire.Message) error {
	ctx, cancel := context.WithTimeout(ctx, p.opts.Timing.ReportTimeout)
	defer cancel()
	sent := p.opts.Clock.Now()
	answer, err := p.node.CallNode(ctx, n.Name, link.Dest{Address: n.Address, Role: keys.Entry}, m)
	if err != nil {
		return err
	}
	if refused, ok := answer.(wire.Refused); ok {
		return trace.AccessDenied("refused by the entry: %s", refused.Reason)
	}
	done, ok := answer.(wire.Done)
	if !ok {
		return trace.BadParameter("answer of type %T from the entry", answer)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.learnEvacuation(done.Evacuation, n.Name, sent)
	if end := sent.Add(p.opts.Timing.Lease); end.After(p.entryLeases[n.Name]) {
		p.entryLeases[n.Name] = end
	}
	return nil
}

// confirmRun asks the entry, unless it holds a lease, whether it still wants the run. The
// start may have been delayed, and nothing else tells that the entry is alive.
func (p *Runner) confirmRun(ctx context.Context, peer link.Peer, m wire.StartRun) {
	p.mu.Lock()
	hasLease := !p.opts.Clock.Now().After(p.entryLeases[peer.Name])
	p.mu.Unlock()
	if hasLease {
		return
	}
	err := p.askEntry(ctx, wire.Node{Name: peer.Name, Address: peer.Address}, wire.ConfirmRun{Task: m.Task, Run: m.Run})
	p.opts.Log.Debug("asked the entry to confirm a run", zap.String("entry", peer.Name), zap.String("task", m.Task), zap.Uint64("run", m.Run), zap.Error(err))
}

// buildReport returns the report for an entry, and false until the agent knows that
// no run of an earlier agent process is left on a target.
func (p *Runner) buildReport(entry string) (wire.LoadReport, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	self := p.finder.Self()
	m := wire.LoadReport{Agent: self.Name, TargetLoad: p.usageFor(entry), DataCentre: self.DataCentre}
	ts := p.target
	if ts == nil || !ts.reconciled {
		return m, p.reconciled
	}
	m.Target, m.Pool, m.Capacity, m.Labels = ts.ID, ts.Pool, ts.Capacity, ts.Labels
	m.Open = ts.Open && ts.reachable && !p.draining && !p.closedByEvacuation()
	return m, true
}

// usageFor returns the capacity use of the target as it is sent to an entry. The
// caller holds mu.
func (p *Runner) usageFor(entry string) wire.TargetLoad {
	p.seq++
	m := wire.TargetLoad{Incarnation: p.finder.Self().Incarnation, Seq: p.seq}
	if ts := p.target; ts != nil && ts.reconciled {
		m.Used, m.ReceiverUsed, m.CompletionInterval = p.scheduler.Used(), p.scheduler.OwnerUse(entry), p.scheduler.CompletionInterval()
		now := p.opts.Clock.Now()
		m.Backlog, m.Slowdown, m.RunRatio = p.scheduler.Backlog(now), ts.slowness.Reported(now), ts.speed.Ratio()
		m.Forecast = p.scheduler.Forecast(now)
	}
	return m
}

// RunRatio returns the usual ratio of run times to estimates at the target, 0 while it is
// not known.
func (p *Runner) RunRatio() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.target == nil {
		return 0
	}
	return p.target.speed.Ratio()
}
