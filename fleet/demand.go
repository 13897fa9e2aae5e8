package fleet

import (
	"cmp"
	"slices"
	"time"
)

// Bounds on the demand that is sent to agents.
const (
	maxAsked          = 32              // slots asked of one agent for one class
	demandMargin      = 2               // extra slots for a class with a small part of the queued work
	smallPartRatio    = 8               // a small part is less than one in this many
	demandBatch       = 4               // slots asked for in one message when much is queued
	demandWindow      = 4               // targets compared for each one that is asked
	resendDemandAfter = 2 * time.Second // after the last demand, the unmet demand is sent again
)

// AddDemand returns the targets, at most fanout, that are to be asked for slots, and
// counts the slots as asked for. It returns none while those asked for before
// are enough for the queued work of k; waiting is all the queued work of the
// entry. A class with little queued work asks for no more slots than it needs,
// since answers to other starts report free slots just as soon. They report none
// when most of the queued work is of other classes, so such a class asks for
// demandMargin more.
func (k *Class) AddDemand(now time.Time, waiting, fanout int) []*Target {
	if k.size == 0 {
		return nil
	}
	limit := maxAsked * min(k.size, fanout)
	margin := 0
	if waiting > smallPartRatio*k.Queued {
		margin = demandMargin
	}
	goal := min(k.Queued+k.Queued/4+margin, limit)
	if k.outstanding >= min(goal, (goal+1)/2+margin) {
		return nil
	}
	need := goal - k.outstanding
	n := min(need, k.size, fanout, max(need/demandBatch, margin+1))
	perTarget := (need + n - 1) / n
	k.lastDemand = now
	return slices.DeleteFunc(k.leastAsked(n), func(t *Target) bool {
		add := min(perTarget, maxAsked-k.asked[t])
		if add <= 0 || !t.AcceptsQueued(now) {
			return true
		}
		k.asked[t] += add
		k.outstanding += add
		return false
	})
}

// leastAsked returns the n targets of which the fewest slots were asked for, among
// a bounded number of targets. The next call begins n targets further.
func (k *Class) leastAsked(n int) []*Target {
	window := min(k.size, max(demandWindow*n, maxFullScan))
	candidates := make([]*Target, window)
	for i := range candidates {
		candidates[i] = k.at((k.cursor + i) % k.size)
	}
	k.cursor = (k.cursor + n) % k.size
	slices.SortStableFunc(candidates, func(a, b *Target) int { return cmp.Compare(k.asked[a], k.asked[b]) })
	return candidates[:n]
}

// Demand returns how many slots t has been asked for and has not granted yet, for a share.
func (f *Fleet) Demand(t *Target, share string) int {
	n := 0
	for _, k := range f.classList {
		if k.key.share == share {
			n += k.asked[t]
		}
	}
	return n
}

// SubtractGrant subtracts a grant for the share from the slots asked of t. k is the class
// that uses the grant. With nil the grant is returned; the agent then drops the
// demand for the share, so all that was asked of t for it is dropped here too.
func (f *Fleet) SubtractGrant(t *Target, share string, k *Class) {
	if k != nil && k.key.share == share && k.granted(t) {
		return
	}
	for _, o := range f.classList {
		switch {
		case o.key.share != share:
		case k == nil:
			o.dropDemand(t)
		case o.granted(t):
			return
		}
	}
}

// ExpireDemand drops the unmet demand of k once resendDemandAfter has passed since
// the last demand, so that AddDemand sends it again: an agent may have lost it.
func (k *Class) ExpireDemand(now time.Time) {
	if k.Queued == 0 || k.outstanding == 0 || now.Sub(k.lastDemand) < resendDemandAfter {
		return
	}
	clear(k.asked)
	k.outstanding = 0
}

// granted subtracts one slot that t granted, and returns false when none was asked of t.
func (k *Class) granted(t *Target) bool {
	if k.asked[t] == 0 {
		return false
	}
	k.asked[t]--
	k.outstanding--
	return true
}

// dropDemand drops the demand that was sent to t.
func (k *Class) dropDemand(t *Target) {
	k.outstanding -= k.asked[t]
	delete(k.asked, t)
}
