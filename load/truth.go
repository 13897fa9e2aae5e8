package load

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"cyclamenrelay.example/fake"

	"github.com/gravitational/trace"
)

// StartCheck compares the outcomes that callers received with the targets' start logs.
type StartCheck struct {
	// Starts counts the starts of this run's tasks on all targets, Extra the
	// repeated starts of a task.
	Starts int64 `json:"starts"`
	Extra  int64 `json:"extra"`
	// NotRunStarted counts tasks that started although the caller received notRun.
	NotRunStarted int64 `json:"notRunStarted"`
	// ClaimTwice counts requests marked as not idempotent, TaskTwice tasks of
	// jobs, that started more than once.
	ClaimTwice int64 `json:"claimTwice"`
	TaskTwice  int64 `json:"taskTwice"`
	// Examples are the IDs of some requests and tasks that violate a guarantee.
	Examples []string `json:"examples,omitempty"`
}

// Violated reports whether a guarantee to callers was violated: a task started
// after notRun, or a claim or a job's task started more than once.
func (t StartCheck) Violated() bool { return t.NotRunStarted+t.ClaimTwice+t.TaskTwice > 0 }

// verifyStarts reads the targets' start logs and compares them with the recorded outcomes.
func (r *recorder) verifyStarts(open func() ([]io.ReadCloser, error)) (*StartCheck, error) {
	files, err := open()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	starts := map[string]int64{}
	for _, f := range files {
		recs, err := fake.ReadStartLog(f)
		_ = f.Close()
		if err != nil {
			return nil, trace.Wrap(err)
		}
		for _, rec := range recs {
			if rec.Event == fake.EventStart && strings.HasPrefix(rec.Request, r.run+"-") {
				starts[rec.Request]++
			}
		}
	}
	t := &StartCheck{}
	for id, n := range starts {
		r.countStarts(t, id, n)
	}
	return t, nil
}

func (r *recorder) countStarts(t *StartCheck, id string, n int64) {
	t.Starts += n
	t.Extra += n - 1
	arrival, _, inJob := strings.Cut(id, "/")
	broken := false
	if r.notRun[arrival] {
		t.NotRunStarted++
		broken = true
	}
	if n > 1 && r.claims[arrival] {
		t.ClaimTwice++
		broken = true
	}
	if n > 1 && inJob {
		t.TaskTwice++
		broken = true
	}
	if broken && len(t.Examples) < maxExamples {
		t.Examples = append(t.Examples, id)
	}
}

const scrapeTimeout = 10 * time.Second

var wastedMetricLine = regexp.MustCompile(`^relay_wasted_messages_total\{(?:.*,)?cause="([a-zA-Z]+)"[^}]*\} ([0-9.e+]+)$`)

// wastedByCause returns the number of wasted messages by cause, summed over all
// nodes in o.Metrics.
func wastedByCause(ctx context.Context, o Options) (map[string]float64, error) {
	sum := map[string]float64{}
	for _, url := range o.Metrics {
		if err := addWastedMessages(ctx, o.Client, url, sum); err != nil {
			return nil, trace.Wrap(err, "metrics of %s", url)
		}
	}
	return sum, nil
}

func addWastedMessages(ctx context.Context, c *http.Client, url string, sum map[string]float64) error {
	ctx, cancel := context.WithTimeout(ctx, scrapeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := c.Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		m := wastedMetricLine.FindStringSubmatch(lines.Text())
		if m == nil {
			continue
		}
		v, err := strconv.ParseFloat(m[2], 64)
		if err != nil {
			return trace.BadParameter("counter %q: %v", lines.Text(), err)
		}
		sum[m[1]] += v
	}
	return trace.Wrap(lines.Err())
}

// wastedPerRequest returns the growth of the counters divided by the arrivals sent.
func wastedPerRequest(before, after map[string]float64, res Result) map[string]float64 {
	var sent int64
	for _, k := range res.Kinds {
		sent += k.Sent
	}
	out := map[string]float64{}
	for cause, v := range after {
		out[cause] = (v - before[cause]) / float64(max(1, sent))
	}
	return out
}
