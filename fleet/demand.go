package fleet

import (
	"cmp"
	"slices"
	"time"
)

// Bounds on what is asked of agents.
const (
	maxAsked   = 32              // slots asked of one agent for one class
	askMargin  = 2               // slots asked for beyond the queued work, and half of it
	askBatch   = 4               // slots asked for in one message when much is queued
	askWindow  = 4               // targets looked at for each one that is asked
	renewAfter = 2 * time.Second // without a grant, demand is sent again
)

// Ask returns the targets to ask for slots because the queued work of k is more
// than what was asked for. More slots are asked for than work is queued, so that
// the first free one is found. At most fanout targets are asked.
func (k *Class) Ask(now time.Time, fanout int) []*Target {
	if k.size == 0 {
		return nil
	}
	most := maxAsked * min(k.size, fanout)
	goal := min(k.Queued+k.Queued/2+askMargin, most)
	if k.outstanding >= min(goal, goal/2+askMargin) {
		return nil
	}
	need := goal - k.outstanding
	n := min(need, k.size, fanout, max(need/askBatch, askMargin+1))
	each := (need + n - 1) / n
	k.asking = now
	return slices.DeleteFunc(k.leastAsked(n), func(t *Target) bool {
		add := min(each, maxAsked-k.asked[t])
		if add <= 0 || !t.Pulls(now) {
			return true
		}
		k.asked[t] += add
		k.outstanding += add
		return false
	})
}

// leastAsked returns n targets of which little was asked. It looks at a bounded
// number of targets, each time at the following ones.
func (k *Class) leastAsked(n int) []*Target {
	window := min(k.size, max(askWindow*n, scanAll))
	some := make([]*Target, window)
	for i := range some {
		some[i] = k.at((k.cursor + i) % k.size)
	}
	k.cursor = (k.cursor + n) % k.size
	slices.SortStableFunc(some, func(a, b *Target) int { return cmp.Compare(k.asked[a], k.asked[b]) })
	return some[:n]
}

// Asked returns how many slots t was asked for in a share.
func (f *Fleet) Asked(t *Target, share string) int {
	n := 0
	for _, k := range f.ordered {
		if k.key.share == share {
			n += k.asked[t]
		}
	}
	return n
}

// Settle takes a grant of the share off what was asked of t. k is the class
// that uses it; with nil the agent forgets the share's demand, and so does the entry.
func (f *Fleet) Settle(t *Target, share string, k *Class) {
	if k != nil && k.key.share == share && k.took(t) {
		return
	}
	for _, o := range f.ordered {
		switch {
		case o.key.share != share:
		case k == nil:
			o.forget(t)
		case o.took(t):
			return
		}
	}
}

// Renew forgets what was asked for too long ago, such as of agents that lost it.
func (k *Class) Renew(now time.Time) {
	if k.Queued == 0 || k.outstanding == 0 || now.Sub(k.asking) < renewAfter {
		return
	}
	clear(k.asked)
	k.outstanding = 0
}

// took notes that t granted one of the slots asked for.
func (k *Class) took(t *Target) bool {
	if k.asked[t] == 0 {
		return false
	}
	k.asked[t]--
	k.outstanding--
	return true
}

// forget drops what was asked of t.
func (k *Class) forget(t *Target) {
	k.outstanding -= k.asked[t]
	delete(k.asked, t)
}
