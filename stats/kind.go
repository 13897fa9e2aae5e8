// Package stats holds the statistics by which the scheduler of an entry decides,
// each in bounded memory: run times, outcomes at targets, retry budgets, service
// rates of queues and use of team quotas.
package stats

import (
	"math"
	"time"
)

// Bounds of the run-time estimation.
const (
	histogramSize  = 128  // buckets of the histogram
	histogramRatio = 1.1  // ratio of neighbouring bucket bounds
	histogramDecay = 4096 // sum of the counts at which all are halved
	minSamples     = 8    // samples before an estimate is used
	estimateStep   = 0.05 // weight of the newest sample in the moving averages
	p90Quantile    = 0.9  // quantile that P90 returns
)

// DefaultRunTime is the estimate for work without samples and without a declared run time.
const DefaultRunTime = 200 * time.Millisecond

// RunTimes estimates the run time of one kind of work. The zero value has no samples.
type RunTimes struct {
	counts  [histogramSize]uint16 // histogram of the run times
	total   int                   // sum of counts
	samples int
	mean    float64 // moving average, in seconds
	// ratio is the moving average of measured over declared run times. errMean and
	// errDeclared are the relative errors of mean and of the declared run time
	// multiplied by ratio; the smaller one decides which estimate is used.
	ratio       float64
	declared    int // samples with a declared run time
	errMean     float64
	errDeclared float64
}

// Record records a measured run time and the declared one (0 for none).
func (k *RunTimes) Record(d, declared time.Duration) {
	s := max(d.Seconds(), 1e-4)
	if k.samples == 0 {
		k.mean = s
	}
	k.samples++
	k.errMean += estimateStep * (math.Abs(k.mean-s)/s - k.errMean)
	k.mean += max(estimateStep, 1/float64(k.samples)) * (s - k.mean)
	if declared > 0 {
		r := s / declared.Seconds()
		if k.declared == 0 {
			k.ratio = r
		}
		k.declared++
		predicted := declared.Seconds() * k.ratio
		k.errDeclared += estimateStep * (math.Abs(predicted-s)/s - k.errDeclared)
		k.ratio *= math.Pow(r/k.ratio, max(estimateStep, 1/float64(k.declared)))
	}
	bucket := min(max(int(math.Log(s/1e-3)/math.Log(histogramRatio)), 0), histogramSize-1)
	k.counts[bucket]++
	k.total++
	if k.total >= histogramDecay {
		k.total = 0
		for i := range k.counts {
			k.counts[i] /= 2
			k.total += int(k.counts[i])
		}
	}
}

// Estimate returns the expected run time of work with a declared run time (0 for none).
func (k *RunTimes) Estimate(declared time.Duration) time.Duration {
	switch {
	case declared > 0 && k.declared >= minSamples && k.errDeclared <= k.errMean:
		return time.Duration(float64(declared) * k.ratio)
	case k.samples >= minSamples:
		return time.Duration(k.mean * float64(time.Second))
	case declared > 0:
		return declared
	}
	return DefaultRunTime
}

// Mean returns the moving average of the run times, 0 while there are too few samples.
func (k *RunTimes) Mean() time.Duration {
	if k.samples < minSamples {
		return 0
	}
	return time.Duration(k.mean * float64(time.Second))
}

// P90 returns the 90th percentile of the run times, or their mean while there are
// too few samples for it, or 0 while there are too few for both.
func (k *RunTimes) P90() time.Duration {
	if d, ok := k.Quantile(p90Quantile); ok {
		return d
	}
	return k.Mean()
}

// Quantile returns the quantile q of the run times and true, or false while there
// are too few samples for it.
func (k *RunTimes) Quantile(q float64) (time.Duration, bool) {
	if k.samples < minSamples || float64(k.total)*(1-q) < 1 {
		return 0, false
	}
	left := int(q * float64(k.total))
	for i, c := range k.counts {
		left -= int(c)
		if left < 0 {
			return time.Duration(float64(time.Millisecond) * math.Pow(histogramRatio, float64(i+1))), true
		}
	}
	return 0, false
}
