package runner

import "cyclamenrelay.example/batch"

// otherInstance reports whether two start times, 0 for unknown, are those of different
// instances under one ID.
func otherInstance(a, b int64) bool { return a != 0 && b != 0 && a != b }

// replaceTarget ends or gives up the runs of a target when another instance takes its
// place. Only an instance that has answered at the target's own address proves that the
// target has exited; otherwise both may be running. The caller holds mu.
func (p *Runner) replaceTarget(ts *targetState, confirmed Target) {
	const reason = "the target was replaced"
	p.previous = ts
	if confirmed.Address == ts.Address {
		p.endExited(ts, confirmed.ID == ts.ID, reason)
		return
	}
	p.retireTarget(ts, reason)
}

// targetReplaced processes the answer of another instance at the target's address, and
// removes the target.
func (p *Runner) targetReplaced(ts *targetState, sameID bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	const reason = "another instance answers at its address"
	p.endExited(ts, sameID, reason)
	if p.target == ts {
		p.removeTarget(ts, reason)
	}
}

// endExited ends the runs of a target that has certainly exited, and the runs that still
// wait for capacity. Where its successor has the same ID, orders for the target reach the
// successor: the runs that the target itself has not certainly accepted are stopped there,
// and their lease is unknown, as the two have different clocks. The caller holds mu.
func (p *Runner) endExited(ts *targetState, sameID bool, reason string) {
	ts.retired = true
	if sameID {
		ts.lease = ts.lease.WithUnknownClock(p.opts.Clock.Now(), p.opts.MaxTargetLease)
	}
	for _, r := range p.runs {
		switch {
		case r.target != nil && r.target != ts:
		case r.target == nil || !sameID || r.acceptedBy(ts):
			r.finish(runEnd{batch.Stopped, reason, batch.ProofSuccessor})
		default:
			r.giveUp(reason)
		}
	}
}

// acceptedBy reports whether the instance itself, and not a successor under its ID, has
// certainly accepted the run: it answered a renewal that was sent later.
func (r *run) acceptedBy(ts *targetState) bool {
	return r.accepted && !r.acceptedAt.After(ts.answeredAt)
}

// knownFence returns the fencing token that this process has last used for the ID, and 0,
// which raises no target's token, for other IDs. The caller holds mu.
func (p *Runner) knownFence(id string) uint64 {
	for _, ts := range []*targetState{p.target, p.previous} {
		if ts != nil && ts.ID == id {
			return ts.fence
		}
	}
	return 0
}

// currentFence returns the fencing token for orders to a target, which is that of the target
// in use if they have the same ID. The caller holds mu.
func (p *Runner) currentFence(ts *targetState) uint64 {
	if p.target != nil && p.target.ID == ts.ID {
		return p.target.fence
	}
	return ts.fence
}
