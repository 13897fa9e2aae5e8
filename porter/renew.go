package porter

import "time"

// renewal returns a new end of the target's lease by the target's clock, 0 when the
// lease must not be renewed. A renewal covers all runs on the target, so it must not
// reach past the time when any one of them must have ended. The caller holds mu.
func (p *Porter) renewal(h *hosted) time.Duration {
	var until time.Duration
	now := p.opts.Clock.Now()
	h.lease, until = h.lease.WithRenewal(now, p.opts.TargetLease, p.bound(h, now))
	return until
}

// bound returns the latest permitted end of the target's lease: no run may go on for
// more than TargetLease after its entry's lease has ended, after it was first listed
// as foreign, or after it was first stopped. It returns now when the lease must not
// be renewed at all. The caller holds mu.
func (p *Porter) bound(h *hosted, now time.Time) time.Time {
	if h.leaving || h.refusing || !h.clean {
		return now
	}
	bound := now.Add(p.opts.TargetLease)
	if !h.foreign.IsZero() {
		bound = earlier(bound, h.foreign.Add(p.opts.TargetLease))
	}
	for _, r := range p.runs {
		if r.target != h {
			continue
		}
		bound = earlier(bound, p.leases[r.owner].Add(p.opts.TargetLease))
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
