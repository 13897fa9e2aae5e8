package ltest

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cyclamenrelay.example/fake"

	"github.com/gravitational/trace"
)

// Cost is the summed resource use of some processes.
type Cost struct {
	// CPU is the processor time in seconds, Mallocs the number of heap allocations.
	CPU     float64 `json:"cpu"`
	Mallocs float64 `json:"mallocs"`
	// Starts is the number of task starts that entries sent.
	Starts float64 `json:"starts"`
	// Peak is the largest peak resident memory of a single process, in bytes.
	Peak float64 `json:"peak"`
}

func (c Cost) minus(before Cost) Cost {
	return Cost{c.CPU - before.CPU, c.Mallocs - before.Mallocs, c.Starts - before.Starts, c.Peak}
}

// readCost sums the costs that the processes report at their metrics URLs;
// processes that do not answer are left out.
func readCost(ctx context.Context, urls []string) Cost {
	var sum Cost
	for _, u := range urls {
		c, err := readProcessCost(ctx, u)
		if err != nil {
			continue
		}
		sum = Cost{sum.CPU + c.CPU, sum.Mallocs + c.Mallocs, sum.Starts + c.Starts, max(sum.Peak, c.Peak)}
	}
	return sum
}

const scrapeTimeout = time.Second

func readProcessCost(ctx context.Context, u string) (Cost, error) {
	ctx, cancel := context.WithTimeout(ctx, scrapeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return Cost{}, trace.Wrap(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Cost{}, trace.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var c Cost
	fields := map[string]*float64{
		"process_cpu_seconds_total": &c.CPU, "go_memstats_mallocs_total": &c.Mallocs,
		"relay_starts_total": &c.Starts, "process_resident_memory_peak_bytes": &c.Peak,
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), " ")
		if f := fields[name]; f != nil {
			*f, _ = strconv.ParseFloat(value, 64)
		}
	}
	return c, trace.Wrap(lines.Err())
}

// startsBySecond counts the starts at each target in each second since began.
func startsBySecond(logs []string, began time.Time) (map[string][]int64, error) {
	files, err := openFiles(logs)
	if err != nil {
		return nil, err
	}
	out := map[string][]int64{}
	for _, f := range files {
		recs, err := fake.ReadStartLog(f)
		_ = f.Close()
		if err != nil {
			return nil, trace.Wrap(err)
		}
		for _, rec := range recs {
			at := rec.Time.Sub(began)
			if rec.Event != fake.EventStart || at < 0 {
				continue
			}
			for len(out[rec.Target]) <= int(at/time.Second) {
				out[rec.Target] = append(out[rec.Target], 0)
			}
			out[rec.Target][at/time.Second]++
		}
	}
	return out, nil
}
