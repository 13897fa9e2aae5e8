package load

import (
	"strings"
	"sync"
	"time"

	"cyclamenrelay.example/plan"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatency         = 10 * time.Minute
	countsPerRatio     = 1000 // histogram counts for a ratio of 1
	maxRatio           = 1e5
	significantFigures = 3
	seriesInterval     = time.Second
	maxSeriesLength    = 2 * 3600 // seconds
	maxExamples        = 20
)

// Result is what a run measured.
type Result struct {
	Run     string       `json:"run"`
	Plan    plan.Plan    `json:"plan"`
	Started time.Time    `json:"started"`
	Kinds   []KindResult `json:"kinds"`
	// Phases are the results by the phase of the intended send time, without
	// Series and CDF; empty for a plan with one phase.
	Phases []PhaseResult `json:"phases,omitempty"`
	// Wasted is the number of wasted messages per request or job sent, by cause.
	Wasted map[string]float64 `json:"wasted,omitempty"`
	// Truth is nil when no start logs were given.
	Truth *StartCheck `json:"truth,omitempty"`
}

// PhaseResult is what a run measured of the arrivals of one phase.
type PhaseResult struct {
	Name  string       `json:"name"`
	Kinds []KindResult `json:"kinds"`
}

// KindResult is what a run measured of one kind. Sent is the sum of Complete,
// Failed, NotRun, Lost and Wrong.
type KindResult struct {
	Name     string `json:"name"`
	Sent     int64  `json:"sent"`
	Complete int64  `json:"complete"`
	Failed   int64  `json:"failed"`
	NotRun   int64  `json:"notRun"`
	// Lost counts arrivals without a usable response, Wrong complete responses
	// that were truncated or belonged to another request.
	Lost  int64 `json:"lost"`
	Wrong int64 `json:"wrong"`
	// Goodput is Complete divided by the length of the plan or phase, per second.
	Goodput float64 `json:"goodput"`
	// Ratio is the response time divided by the ideal, Latency the response time
	// in milliseconds, both of complete arrivals.
	Ratio   Quantiles `json:"ratio"`
	Latency Quantiles `json:"latency"`
	// Refusals counts the arrivals that were not complete by outcome, status and code.
	Refusals map[string]int64 `json:"refusals,omitempty"`
	// Series is the number of arrivals completed in each second of the run.
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

// Point of a CDF: Share of the arrivals have at most Value.
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
	phases []map[string]*kindRecord
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
		plan: p, run: run, start: start, kinds: newRecords(p.Kinds),
		notRun: map[string]bool{}, claims: map[string]bool{},
	}
	for range p.Phases {
		r.phases = append(r.phases, newRecords(p.Kinds))
	}
	return r
}

func newRecords(kinds []plan.Kind) map[string]*kindRecord {
	out := map[string]*kindRecord{}
	for _, k := range kinds {
		out[k.Name] = &kindRecord{
			KindResult: KindResult{Name: k.Name, Refusals: map[string]int64{}},
			ratio:      hdrhistogram.New(1, maxRatio*countsPerRatio, significantFigures),
			latency:    hdrhistogram.New(1, maxLatency.Microseconds(), significantFigures),
		}
	}
	return out
}

// add records an arrival that ended at the time now.
func (r *recorder) add(a plan.Arrival, v arrivalOutcome, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.Kind.Claim {
		r.claims[a.ID] = true
	}
	if v.outcome == outcomeNotRun {
		r.notRun[a.ID] = true
	}
	ideal := a.Ideal() + r.plan.NetworkTime.Std()
	for _, k := range []*kindRecord{r.kinds[a.Kind.Name], r.phases[a.Phase][a.Kind.Name]} {
		k.countOutcome(v)
		if v.outcome == outcomeComplete {
			k.recordComplete(ideal, now.Sub(r.start.Add(a.At)), now.Sub(r.start))
		}
	}
}

func (k *kindRecord) countOutcome(v arrivalOutcome) {
	k.Sent++
	switch v.outcome {
	case outcomeComplete:
		k.Complete++
		return
	case outcomeFailed:
		k.Failed++
	case outcomeNotRun:
		k.NotRun++
	case outcomeWrong:
		k.Wrong++
	default:
		k.Lost++
	}
	k.Refusals[strings.TrimSpace(v.outcome+" "+v.code)]++
}

// recordComplete records the latency of a complete arrival; since is the time of
// its end after the start of the run.
func (k *kindRecord) recordComplete(ideal, latency, since time.Duration) {
	_ = k.latency.RecordValue(min(max(1, latency.Microseconds()), maxLatency.Microseconds()))
	ratio := float64(latency) / float64(ideal)
	_ = k.ratio.RecordValue(int64(min(max(1, ratio*countsPerRatio), maxRatio*countsPerRatio)))
	step := min(max(0, int(since/seriesInterval)), maxSeriesLength)
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
		out := k.summary(r.plan.Length())
		out.CDF = cdf(k.ratio)
		res.Kinds = append(res.Kinds, out)
	}
	if len(r.phases) < 2 {
		return res
	}
	for i, ph := range r.plan.Phases {
		out := PhaseResult{Name: ph.Name}
		for _, cfg := range r.plan.Kinds {
			k := r.phases[i][cfg.Name].summary(ph.Length.Std())
			k.Series = nil
			out.Kinds = append(out.Kinds, k)
		}
		res.Phases = append(res.Phases, out)
	}
	return res
}

// summary returns the results with goodput and quantiles; length is that of the
// plan or phase.
func (k *kindRecord) summary(length time.Duration) KindResult {
	out := k.KindResult
	out.Goodput = float64(k.Complete) / length.Seconds()
	if k.Complete > 0 {
		out.Ratio = quantiles(k.ratio, countsPerRatio)
		out.Latency = quantiles(k.latency, 1000)
	}
	return out
}

func cdf(h *hdrhistogram.Histogram) []Point {
	if h.TotalCount() == 0 {
		return nil
	}
	var out []Point
	for _, b := range h.CumulativeDistribution() {
		out = append(out, Point{float64(b.ValueAt) / countsPerRatio, b.Quantile / 100})
	}
	return out
}
