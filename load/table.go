package load

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/gravitational/trace"
)

// ReadResult reads a result that was written as JSON. The error is a
// trace.BadParameter.
func ReadResult(r io.Reader) (Result, error) {
	var res Result
	if err := json.NewDecoder(r).Decode(&res); err != nil {
		return Result{}, trace.BadParameter("result: %v", err)
	}
	return res, nil
}

// Write writes r as JSON.
func (r Result) Write(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", " ")
	return trace.Wrap(enc.Encode(r))
}

// metric is a row of the table for each kind.
type metric struct {
	name   string
	format string
	value  func(KindResult) float64
}

var kindMetrics = []metric{
	{"sent", "%.0f", func(k KindResult) float64 { return float64(k.Sent) }},
	{"complete", "%.0f", func(k KindResult) float64 { return float64(k.Complete) }},
	{"failed", "%.0f", func(k KindResult) float64 { return float64(k.Failed) }},
	{"notRun", "%.0f", func(k KindResult) float64 { return float64(k.NotRun) }},
	{"lost", "%.0f", func(k KindResult) float64 { return float64(k.Lost) }},
	{"wrong", "%.0f", func(k KindResult) float64 { return float64(k.Wrong) }},
	{"goodput/s", "%.1f", func(k KindResult) float64 { return k.Goodput }},
	{"ratio p50", "%.3f", func(k KindResult) float64 { return k.Ratio.P50 }},
	{"ratio p99", "%.3f", func(k KindResult) float64 { return k.Ratio.P99 }},
	{"ratio p99.9", "%.3f", func(k KindResult) float64 { return k.Ratio.P999 }},
}

// WriteTable writes a table with a column for each result. Kinds are matched by
// name, those of a phase by kind@phase; a dash marks values that a result lacks.
func WriteTable(w io.Writer, results ...Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	cell := func(format string, v ...any) { _, _ = fmt.Fprintf(t, format+"\t", v...) }
	row := func(kind, name, format string, value func(Result) (float64, bool)) {
		cell("%s", kind)
		cell("%s", name)
		for _, r := range results {
			if v, ok := value(r); ok {
				cell(format, v)
			} else {
				cell("-")
			}
		}
		_, _ = fmt.Fprintln(t)
	}
	cell("kind")
	cell("measure")
	for _, r := range results {
		cell("%s", r.Run)
	}
	_, _ = fmt.Fprintln(t)
	for _, kind := range kindNames(results) {
		for _, m := range kindMetrics {
			row(kind, m.name, m.format, func(r Result) (float64, bool) { return r.kindValue(kind, m) })
		}
	}
	for _, cause := range wastedCauses(results) {
		row("wasted", cause, "%.4f", func(r Result) (float64, bool) { v, ok := r.Wasted[cause]; return v, ok })
	}
	for _, m := range truthMetrics {
		row("truth", m.name, "%.0f", func(r Result) (float64, bool) {
			if r.Truth == nil {
				return 0, false
			}
			return float64(m.value(*r.Truth)), true
		})
	}
	return trace.Wrap(t.Flush())
}

var truthMetrics = []struct {
	name  string
	value func(StartCheck) int64
}{
	{"starts", func(t StartCheck) int64 { return t.Starts }},
	{"extra starts", func(t StartCheck) int64 { return t.Extra }},
	{"notRun started", func(t StartCheck) int64 { return t.NotRunStarted }},
	{"claim twice", func(t StartCheck) int64 { return t.ClaimTwice }},
	{"task twice", func(t StartCheck) int64 { return t.TaskTwice }},
}

// kindRows returns the results of each kind, and of each kind in each phase named
// kind@phase.
func (r Result) kindRows() []KindResult {
	out := slices.Clone(r.Kinds)
	for _, ph := range r.Phases {
		for _, k := range ph.Kinds {
			k.Name += "@" + ph.Name
			out = append(out, k)
		}
	}
	return out
}

func (r Result) kindValue(kind string, m metric) (float64, bool) {
	for _, k := range r.kindRows() {
		if k.Name == kind {
			return m.value(k), true
		}
	}
	return 0, false
}

func kindNames(results []Result) []string {
	var out []string
	for _, r := range results {
		for _, k := range r.kindRows() {
			if !slices.Contains(out, k.Name) {
				out = append(out, k.Name)
			}
		}
	}
	return out
}

func wastedCauses(results []Result) []string {
	all := map[string]bool{}
	for _, r := range results {
		for c := range r.Wasted {
			all[c] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}
