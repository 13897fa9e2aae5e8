package runner

import "time"

// nextLeaseEnd renews the target's lease and returns its new end by the target's clock,
// or 0 when the lease must not be renewed. A renewal covers all runs on the target, so it must not
// reach past the time when any one of them must have ended. The caller holds mu.
func (p *Runner) nextLeaseEnd(ts *targetState) time.Duration {
	var end time.Duration
	now := p.opts.Clock.Now()
	ts.lease, end = ts.lease.WithRenewal(now, p.opts.TargetLease, p.leaseBound(ts, now))
	return end
}

// leaseBound returns the latest permitted end of the target's lease: no run may go on for
// more than TargetLease after its entry's lease has ended or after the run was first
// stopped, nor while the target has listed a foreign run for more than TargetLease.
// leaseBound returns now when the lease must not be renewed at all. The caller holds mu.
func (p *Runner) leaseBound(ts *targetState, now time.Time) time.Time {
	if ts.retired || ts.connRefused || !ts.reconciled {
		return now
	}
	bound := now.Add(p.opts.TargetLease)
	if !ts.foreignSince.IsZero() {
		bound = earlier(bound, ts.foreignSince.Add(p.opts.TargetLease))
	}
	for _, r := range p.runs {
		if r.target != ts {
			continue
		}
		bound = earlier(bound, p.entryLeases[r.entry].Add(p.opts.TargetLease))
		if !r.mustEnd.IsZero() {
			bound = earlier(bound, r.mustEnd)
		}
	}
	return bound
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
