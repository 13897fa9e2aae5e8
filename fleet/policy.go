package fleet

import "math/rand/v2"

// Policy chooses a target: IdleFirst, TwoChoices, Random, LeastLoaded or Strict.
type Policy interface{ policy() }

// IdleFirst starts work only on targets that are estimated to have a free slot,
// the nearest data centre first. Other work waits at the entry until an agent
// grants a slot.
type IdleFirst struct{}

// TwoChoices takes the less loaded of two random targets. Work waits at the agent.
type TwoChoices struct{}

// Random takes a random target. Work waits at the agent.
type Random struct{}

// LeastLoaded takes the target that is estimated to be least loaded. Work waits at
// the agent.
type LeastLoaded struct{}

// Strict is IdleFirst, but the most urgent work is always served first.
type Strict struct{}

func (IdleFirst) policy()   {}
func (TwoChoices) policy()  {}
func (Random) policy()      {}
func (LeastLoaded) policy() {}
func (Strict) policy()      {}

// Bounds on the targets that are compared for one start.
const (
	maxFullScan = 16 // up to this many targets of a data centre are all compared
	sampleSize  = 8  // of more targets, this many random ones are compared
	maxScan     = 64 // and this many when none of the random ones is free
)

// QueuesAtEntry reports whether p lets work wait at the entry for a free slot, and not at
// an agent.
func QueuesAtEntry(p Policy) bool {
	switch p.(type) {
	case TwoChoices, Random, LeastLoaded:
		return false
	}
	return true
}

// Choose returns a target of the class that ok accepts, or nil.
func Choose(p Policy, c *Class, rnd *rand.Rand, ok func(*Target) bool) *Target {
	switch p.(type) {
	case Random:
		return chooseRandom(c, rnd, 1, ok)
	case TwoChoices:
		return chooseRandom(c, rnd, 2, ok)
	case LeastLoaded:
		return chooseLeastLoaded(c, ok)
	}
	return chooseIdle(c, rnd, ok)
}

// chooseIdle returns a target with at least two free slots in the nearest data centre
// that has one, else the nearest target with one free slot, or nil. A single free
// slot may be taken by another entry meanwhile.
func chooseIdle(c *Class, rnd *rand.Rand, ok func(*Target) bool) *Target {
	var fallback *Target
	for _, ts := range c.byDistance {
		best := idleAmong(ts, rnd, ok)
		if best != nil && best.Free >= 2 {
			return best
		}
		if fallback == nil {
			fallback = best
		}
	}
	return fallback
}

// idleAmong returns the target with the most free slots among those compared, or nil.
func idleAmong(ts []*Target, rnd *rand.Rand, ok func(*Target) bool) *Target {
	n := len(ts)
	if n == 0 {
		return nil
	}
	from := rnd.IntN(n)
	if n <= maxFullScan {
		return mostFree(ts, from, n, ok)
	}
	var best *Target
	for range sampleSize {
		t := ts[rnd.IntN(n)]
		if t.Free > 0 && (best == nil || t.Free > best.Free) && ok(t) {
			best = t
		}
	}
	if best != nil {
		return best
	}
	return mostFree(ts, from, min(n, maxScan), ok)
}

// mostFree returns the target with the most free slots among n targets of ts,
// beginning with the one at from, or nil.
func mostFree(ts []*Target, from, n int, ok func(*Target) bool) *Target {
	var best *Target
	for i := range n {
		t := ts[(from+i)%len(ts)]
		if t.Free > 0 && (best == nil || t.Free > best.Free) && ok(t) {
			best = t
		}
	}
	return best
}

// chooseRandom returns the least loaded of n random targets that ok accepts, or nil.
func chooseRandom(c *Class, rnd *rand.Rand, n int, ok func(*Target) bool) *Target {
	var best *Target
	for try := 0; try < 4*n && n > 0 && c.size > 0; try++ {
		t := c.at(rnd.IntN(c.size))
		if !ok(t) {
			continue
		}
		n--
		if best == nil || t.load() < best.load() {
			best = t
		}
	}
	return best
}

// chooseLeastLoaded returns the least loaded target that ok accepts, or nil.
func chooseLeastLoaded(c *Class, ok func(*Target) bool) *Target {
	var best *Target
	for _, ts := range c.byDistance {
		for _, t := range ts {
			if (best == nil || t.load() < best.load()) && ok(t) {
				best = t
			}
		}
	}
	return best
}
