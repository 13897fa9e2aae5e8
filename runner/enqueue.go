package runner

import (
	"time"

	"cyclamenrelay.example/batch"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/meter"
	"cyclamenrelay.example/sched"
	"cyclamenrelay.example/wire"
)

// enqueue queues a task for capacity, or returns nil and the answer to the entry when
// the task is refused.
func (p *Runner) enqueue(peer link.Peer, m wire.StartRun) (*run, wire.RunEnded) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, entry := p.opts.Clock.Now(), peer.Name
	key := RunKey{Task: m.Task, Run: m.Run}
	if p.byKey[key] != nil {
		// The run that is in progress here may have started, so that nothing proves
		// that the task does not run.
		return nil, wire.RunEnded{End: batch.Lost, Reason: "this run is already in progress on the agent"}
	}
	if reason := p.refusalReason(entry, m, now); reason != "" {
		return nil, wire.RunEnded{End: batch.NotStarted, Reason: reason, Proof: batch.ProofNotSent}
	}
	if m.Returnable && !p.scheduler.CanStart(m.Need) {
		load := p.usageFor(entry)
		return nil, wire.RunEnded{
			End: batch.NotStarted, Reason: "the target has no free capacity", Proof: batch.ProofNotSent, Returned: true, Load: &load,
		}
	}
	if !p.noteSender(peer) {
		return nil, wire.RunEnded{End: batch.NotStarted, Reason: "the agent serves as many entries as it can", Proof: batch.ProofNotSent}
	}
	p.lastID++
	r := &run{
		id: p.lastID, key: key, request: m, entry: entry,
		usefulUntil: now.Add(m.MaxStartDelay + m.Estimate),
		granted:     make(chan struct{}), ended: make(chan runEnd, 1), givenUp: make(chan struct{}),
	}
	p.runs[r.id], p.byKey[key] = r, r
	p.scheduler.Enqueue(sched.Request{
		ID: r.id, Owner: entry, Need: m.Need, Estimate: m.Estimate, Priority: m.Priority,
		Due: now.Add(m.Slack), StartBy: now.Add(m.MaxStartDelay),
	})
	p.grantCapacity()
	return r, wire.RunEnded{}
}

// refusalReason returns why a task cannot be queued here, empty when it can. The caller
// holds mu.
func (p *Runner) refusalReason(entry string, m wire.StartRun, now time.Time) string {
	switch {
	case p.target == nil:
		return "the agent has no target"
	case p.draining:
		return "the agent is shutting down"
	case p.closedByEvacuation():
		meter.RefusedStarts(refusedByEvacuation).Inc()
		return p.verdict.String()
	case !p.target.Open || p.target.retired:
		return "the target is leaving"
	case !p.target.reconciled || !p.target.reachable:
		return "the target does not answer"
	case !m.Need.Fits(p.scheduler.Capacity()):
		return "the task needs more than the target's capacity"
	case now.After(p.entryLeases[entry]):
		return "the entry's lease has ended"
	}
	return ""
}

// release releases a run's capacity, and returns the capacity use after that for the
// run's entry.
func (p *Runner) release(r *run) *wire.TargetLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.runs, r.id)
	delete(p.byKey, r.key)
	p.scheduler.Release(r.id)
	p.grantCapacity()
	m := p.usageFor(r.entry)
	return &m
}
