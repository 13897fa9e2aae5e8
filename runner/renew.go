package runner

import "time"

// nextLeaseEnd returns a new end of the target's lease by the target's clock, 0 when the
// lease must not be renewed. A renewal covers all runs on the target, so it must not
// reach past the time when any one of them must have ended. The caller holds mu.
func (p *Runner) nextLeaseEnd(ts *targetState) time.Duration {
	var until time.Duration
	now := p.opts.Clock.Now()
	ts.lease, until = ts.lease.WithRenewal(now, p.opts.TargetLease, p.leaseBound(ts, now))
	return until
}

// leaseBound returns the latest permitted end of the target's lease: no run may go on for
// more than TargetLease after its entry's lease has ended, after it was first listed
// as foreign, or after it was first stopped. It returns now when the lease must not
// be renewed at all. The caller holds mu.
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
