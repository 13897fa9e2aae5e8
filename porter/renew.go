package porter

import "time"

// renewal returns a new end of the target's lease, by the target's clock, or 0
// when there may be none. Renewals are for all that runs on a target, so none
// reaches past the time when one of its runs must be over. The caller holds mu.
func (p *Porter) renewal(h *hosted) time.Duration {
	var until time.Duration
	now := p.opts.Clock.Now()
	h.lease, until = h.lease.WithRenewal(now, p.opts.TargetLease, p.bound(h, now))
	return until
}

// bound returns when the first of the target's runs must be over that nobody
// may wait for any more. The caller holds mu.
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
