package load

import (
	"strings"
	"sync"
	"time"

	"cyclamenrelay.example/plan"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatency  = 10 * time.Minute
	ratioUnit   = 1000 // histogram counts for a ratio of 1
	maxRatio    = 1e5
	figures     = 3
	seriesStep  = time.Second
	maxSeries   = 2 * 3600 // seconds
	maxExamples = 20
)

// Result is what a run measured.
type Result struct {
	Run     string       `json:"run"`
	Plan    plan.Plan    `json:"plan"`
	Started time.Time    `json:"started"`
	Kinds   []KindResult `json:"kinds"`
	// Wasted are the wasted messages a sent request, by cause.
	Wasted map[string]float64 `json:"wasted,omitempty"`
	// Truth is nil when no start logs were given.
	Truth *Truth `json:"truth,omitempty"`
}

// KindResult is what a run measured of one kind. Sent is the sum of the five
// outcomes.
type KindResult struct {
	Name     string `json:"name"`
	Sent     int64  `json:"sent"`
	Complete int64  `json:"complete"`
	Failed   int64  `json:"failed"`
	NotRun   int64  `json:"notRun"`
	// Lost had no usable response, Wrong a complete one that was cut short or
	// meant for another request.
	Lost  int64 `json:"lost"`
	Wrong int64 `json:"wrong"`
	// Goodput is Complete over the plan's length, a second.
	Goodput float64 `json:"goodput"`
	// Ratio is response time over ideal and Latency the response time in
	// milliseconds, both of complete work.
	Ratio   Quantiles `json:"ratio"`
	Latency Quantiles `json:"latency"`
	// Refusals counts what was not complete by status and code.
	Refusals map[string]int64 `json:"refusals,omitempty"`
	// Series is the complete work in each second of the run.
	Series []int64 `json:"series,omitempty"`
	// CDF is the distribution of the ratio.
	CDF []Point `json:"cdf,omitempty"`
}

// Quantiles are quantiles of a distribution.
type Quantiles struct {
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
}

// Point says that Share of the work is at most Value.
type Point struct {
	Value float64 `json:"value"`
	Share float64 `json:"share"`
}

// recorder collects the outcomes of a run.
type recorder struct {
	plan  plan.Plan
	run   string
	start time.Time

	mu     sync.Mutex
	kinds  map[string]*kindRecord
	notRun map[string]bool // IDs
	claims map[string]bool // IDs
}

type kindRecord struct {
	KindResult
	ratio   *hdrhistogram.Histogram
	latency *hdrhistogram.Histogram
}

func newRecorder(p plan.Plan, run string, start time.Time) *recorder {
	r := &recorder{
		plan: p, run: run, start: start,
		kinds: map[string]*kindRecord{}, notRun: map[string]bool{}, claims: map[string]bool{},
	}
	for _, k := range p.Kinds {
		r.kinds[k.Name] = &kindRecord{
			KindResult: KindResult{Name: k.Name, Refusals: map[string]int64{}},
			ratio:      hdrhistogram.New(1, maxRatio*ratioUnit, figures),
			latency:    hdrhistogram.New(1, maxLatency.Microseconds(), figures),
		}
	}
	return r
}

// add records the end of an arrival at the time now.
func (r *recorder) add(a plan.Arrival, v verdict, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.kinds[a.Kind.Name]
	k.Sent++
	if a.Kind.Claim {
		r.claims[a.ID] = true
	}
	switch v.outcome {
	case outcomeComplete:
		k.Complete++
		k.finish(a.Ideal()+r.plan.NetworkTime.Std(), now.Sub(r.start.Add(a.At)), now.Sub(r.start))
		return
	case outcomeFailed:
		k.Failed++
	case outcomeNotRun:
		k.NotRun++
		r.notRun[a.ID] = true
	case outcomeWrong:
		k.Wrong++
	default:
		k.Lost++
	}
	k.Refusals[strings.TrimSpace(v.outcome+" "+v.code)]++
}

func (k *kindRecord) finish(ideal, latency, since time.Duration) {
	_ = k.latency.RecordValue(min(max(1, latency.Microseconds()), maxLatency.Microseconds()))
	ratio := float64(latency) / float64(ideal)
	_ = k.ratio.RecordValue(int64(min(max(1, ratio*ratioUnit), maxRatio*ratioUnit)))
	step := min(max(0, int(since/seriesStep)), maxSeries)
	for len(k.Series) <= step {
		k.Series = append(k.Series, 0)
	}
	k.Series[step]++
}

func quantiles(h *hdrhistogram.Histogram, unit float64) Quantiles {
	return Quantiles{
		P50:  float64(h.ValueAtQuantile(50)) / unit,
		P99:  float64(h.ValueAtQuantile(99)) / unit,
		P999: float64(h.ValueAtQuantile(99.9)) / unit,
	}
}

func (r *recorder) result() Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	res := Result{Run: r.run, Plan: r.plan, Started: r.start}
	for _, cfg := range r.plan.Kinds {
		k := r.kinds[cfg.Name]
		out := k.KindResult
		out.Goodput = float64(k.Complete) / r.plan.Length().Seconds()
		if k.Complete > 0 {
			out.Ratio = quantiles(k.ratio, ratioUnit)
			out.Latency = quantiles(k.latency, 1000)
			out.CDF = cdf(k.ratio)
		}
		res.Kinds = append(res.Kinds, out)
	}
	return res
}

func cdf(h *hdrhistogram.Histogram) []Point {
	var out []Point
	for _, b := range h.CumulativeDistribution() {
		out = append(out, Point{float64(b.ValueAt) / ratioUnit, b.Quantile / 100})
	}
	return out
}
