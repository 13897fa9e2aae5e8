package assign

import (
	"math"
	"slices"
	"time"

	"cyclamenrelay.example/batch"
)

const (
	// speedInterval is the interval at which the targets' speeds are compared: they change
	// over seconds, and comparing them for each task would cost more than the placement.
	speedInterval = 200 * time.Millisecond
	// minCompared is the number of targets of a pool with known speeds that a comparison
	// needs: of two targets, nothing shows which one is wrong.
	minCompared = 3
	// minTrimmed is the number of targets from which the quickest and the slowest one do not
	// count for the mean of a pool, so that one wrong report does not move it.
	minTrimmed = 5
	// evenSpeed is the deviation from the mean of the pool, as a natural logarithm, below
	// which a target counts as of usual speed: 15 %, several times the error of the
	// reported ratios. Otherwise all entries would prefer the same targets by chance.
	evenSpeed = 0.14
	// maxQuicker and maxSlower bound the deviation as a natural logarithm: a report that a
	// target is ten times as fast as the others is probably wrong, and would attract all work.
	maxQuicker, maxSlower = 0.7, 1.4
)

// speed is the usual run time on a target compared with the targets of its pool. The zero
// value stands for a speed that is not known or is the usual one.
type speed struct {
	// toMean is the run time as a multiple of the pool's mean, which the queues' estimates
	// follow; toMedian as a multiple of the median, the run time on another target.
	toMean, toMedian float64
}

// kindKey identifies the targets of one kind: of the same pool and capacity.
type kindKey struct {
	pool     string
	capacity batch.Resources
}

// compareSpeeds compares the targets' reported ratios of run time to estimate with each
// other, if that was not done lately. Errors in the estimates that affect all targets of a
// pool cancel out.
func (f *Fleet) compareSpeeds(now time.Time) {
	if now.Sub(f.comparedAt) < speedInterval {
		return
	}
	f.comparedAt = now
	pools, kinds := map[string][]float64{}, map[kindKey][]float64{}
	for _, v := range f.sortedTargets {
		if l, ok := v.logRatio(); ok {
			k := kindKey{v.Pool, v.Capacity}
			pools[v.Pool], kinds[k] = append(pools[v.Pool], l), append(kinds[k], l)
		}
	}
	centres := map[string]centre{}
	for pool, logs := range pools {
		if len(logs) >= minCompared {
			centres[pool] = newCentre(logs)
		}
	}
	for _, v := range f.sortedTargets {
		v.speed = speed{}
		c, compared := centres[v.Pool]
		l, known := v.logRatio()
		if !known { // a new instance, or an agent of an older build
			if k := kinds[kindKey{v.Pool, v.Capacity}]; len(k) >= minCompared {
				l, known = newCentre(k).mean, true
			}
		}
		if compared && known && math.Abs(l-c.mean) >= evenSpeed {
			v.speed = speed{toMean: bounded(l - c.mean), toMedian: bounded(l - c.median)}
		}
	}
}

// logRatio returns the natural logarithm of the reported ratio of run times to estimates,
// and false when there is none.
func (v *TargetView) logRatio() (float64, bool) {
	if !(v.RunRatio > 0) || math.IsInf(v.RunRatio, 0) {
		return 0, false
	}
	return math.Log(v.RunRatio), true
}

// bounded returns the factor of a deviation.
func bounded(deviation float64) float64 {
	return math.Exp(min(max(deviation, -maxQuicker), maxSlower))
}

// centre is the centre of the targets' logarithmic ratios.
type centre struct{ mean, median float64 }

// newCentre returns the centre of the ratios, which it sorts.
func newCentre(logs []float64) centre {
	slices.Sort(logs)
	n := len(logs)
	c := centre{median: (logs[(n-1)/2] + logs[n/2]) / 2}
	if n < minTrimmed {
		c.mean = c.median
		return c
	}
	for _, l := range logs[1 : n-1] {
		c.mean += l / float64(n-2)
	}
	return c
}
