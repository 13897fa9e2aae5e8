package fleet

import (
	"cmp"
	"slices"
	"time"
)

// Bounds on what is asked of agents.
const (
	maxAsked   = 32              // slots asked of one agent for one class
	askMargin  = 2               // slots asked for besides by a minority of the queued work
	minority   = 8               // times as much work waits in all
	askBatch   = 4               // slots asked for in one message when much is queued
	askWindow  = 4               // targets looked at for each one that is asked
	renewAfter = 2 * time.Second // without a grant, demand is sent again
)

// Ask returns the targets to ask for slots because the queued work of k is more
// than what was asked for; waiting is all the queued work of the entry. Little
// work asks for no more slots than it needs, since other answers tell of free
// ones just as soon, but not when so much else waits that no slot stays free.
// At most fanout targets are asked.
func (k *Class) Ask(now time.Time, waiting, fanout int) []*Target {
	if k.size == 0 {
		return nil
	}
	most := maxAsked * min(k.size, fanout)
	margin := 0
	if waiting > minority*k.Queued {
		margin = askMargin
	}
	goal := min(k.Queued+k.Queued/4+margin, most)
	if k.outstanding >= min(goal, (goal+1)/2+margin) {
		return nil
	}
	need := goal - k.outstanding
	n := min(need, k.size, fanout, max(need/askBatch, margin+1))
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
