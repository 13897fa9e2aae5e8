package load_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cyclamenrelay.example/fake"
	"cyclamenrelay.example/load"
	"cyclamenrelay.example/plan"
	"cyclamenrelay.example/units"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

func onePhase(clients int, length time.Duration, kinds ...plan.Kind) plan.Plan {
	return plan.Plan{
		Name: "p", Seed: 3, Slots: 1, Clients: clients, Load: 1, NetworkTime: units.Duration(10 * time.Millisecond), Kinds: kinds,
		Phases: []plan.Phase{{Name: "x", Length: units.Duration(length)}},
	}
}

func kind(name string, rate float64) plan.Kind {
	d := units.Duration(90 * time.Millisecond)
	return plan.Kind{Name: name, Rate: rate, RunTime: plan.RunTime{Min: d, Max: d}}
}

// answerComplete answers a request as an entry does when the target has completed it.
func answerComplete(w http.ResponseWriter, r *http.Request) {
	var s fake.TaskBody
	b, _ := io.ReadAll(r.Body)
	_ = json.Unmarshal(b, &s)
	w.Header().Set("Relay-Outcome", "complete")
	_, _ = fmt.Fprintf(w, `{"request":%q}`, s.Request)
}

// The latency of a server that stalls for the whole run counts from each
// intended send time, although one client can only send one request at a time.
func TestLatencyCountsFromIntendedSendTime(t *testing.T) {
	release := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-release
		answerComplete(w, r)
	}))
	defer srv.Close()
	p := onePhase(1, 10*time.Second, kind("a", 20))
	clock := clockwork.NewFakeClock()
	start := clock.Now()
	out := make(chan load.Result, 1)
	go func() {
		res, err := load.Run(context.Background(), p, load.Options{Run: "r", Entries: []string{srv.URL}, Clock: clock})
		if err != nil {
			t.Error(err)
		}
		out <- res
	}()
	var arrivals []plan.Arrival
	for src := plan.NewSource(p, "r"); ; {
		a, ok := src.Next()
		if !ok {
			break
		}
		arrivals = append(arrivals, a)
		if d := start.Add(a.At).Sub(clock.Now()); d > 0 {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			assert.NilError(t, clock.BlockUntilContext(ctx, 1))
			cancel()
			clock.Advance(d)
		}
	}
	close(release)
	k := (<-out).Kinds[0]
	assert.Equal(t, k.Complete, int64(len(arrivals)))
	end := clock.Since(start)
	assertNear := func(got, want float64) {
		assert.Assert(t, got > 0.98*want && got < 1.02*want, "%v, want %v", got, want)
	}
	assertNear(k.Latency.P999, float64((end - arrivals[0].At).Milliseconds()))
	assertNear(k.Latency.P50, float64((end - arrivals[len(arrivals)/2].At).Milliseconds()))
	assertNear(k.Ratio.P999, (end-arrivals[0].At).Seconds()/0.1)
}

func TestOutcomeCountsAddUpToSent(t *testing.T) {
	var n, wasted atomic.Int64
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/requests", func(w http.ResponseWriter, r *http.Request) {
		wasted.Add(1)
		switch n.Add(1) % 6 {
		case 0:
			w.Header().Set("Relay-Outcome", "failed")
			w.WriteHeader(502)
		case 1:
			w.Header().Set("Relay-Outcome", "notRun")
			w.WriteHeader(503)
			_, _ = io.WriteString(w, `{"outcome":"notRun","code":"queueFull"}`)
		case 2:
			w.WriteHeader(500)
		case 3:
			w.Header().Set("Relay-Outcome", "complete")
			_, _ = io.WriteString(w, `{"request":"another"}`)
		default:
			answerComplete(w, r)
		}
	})
	mux.HandleFunc("POST /v1/jobs", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(202) })
	mux.HandleFunc("GET /v1/jobs/{key}/answer", func(w http.ResponseWriter, r *http.Request) {
		if n.Add(1)%2 == 0 {
			answerComplete(w, r)
		}
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, "relay_wasted_messages_total{kind=\"a\",cause=\"retry\"} %d\nother 1\n", 5+wasted.Load())
	})
	srv := httptest.NewServer(mux)
	defer srv.Close()
	job := kind("job", 20)
	job.Tasks = 3
	p := onePhase(8, 200*time.Millisecond, kind("a", 400), job)
	p.Phases = append(p.Phases, plan.Phase{Name: "y", Length: units.Duration(100 * time.Millisecond)})
	res, err := load.Run(context.Background(), p, load.Options{
		Run: "r", Entries: []string{srv.URL, srv.URL}, Metrics: []string{srv.URL + "/metrics"}, Clock: clockwork.NewRealClock(),
	})
	assert.NilError(t, err)
	a, j := res.Kinds[0], res.Kinds[1]
	assert.Assert(t, a.Sent > 50 && j.Sent > 0)
	assert.Equal(t, a.Sent, a.Complete+a.Failed+a.NotRun+a.Lost+a.Wrong)
	assert.Assert(t, min(a.Complete, a.Failed, a.NotRun, a.Lost, a.Wrong) > 0)
	assert.Equal(t, a.Refusals["notRun 503 queueFull"], a.NotRun)
	assert.Equal(t, a.Refusals["failed 502"], a.Failed)
	assert.Equal(t, a.Refusals["lost 500"], a.Lost)
	assert.Equal(t, j.Complete, j.Sent)
	assert.Equal(t, len(res.Phases), 2)
	x, y := res.Phases[0].Kinds[0], res.Phases[1].Kinds[0]
	assert.Assert(t, x.Sent > 0 && y.Sent > 0)
	assert.DeepEqual(t, [3]int64{x.Sent + y.Sent, x.Complete + y.Complete, x.Lost + y.Lost}, [3]int64{a.Sent, a.Complete, a.Lost})
	assert.Equal(t, res.Wasted["retry"], float64(a.Sent)/float64(a.Sent+j.Sent))
}

func TestStartLogsRevealBrokenGuarantees(t *testing.T) {
	var log bytes.Buffer
	start := func(id string) { fmt.Fprintf(&log, "{\"event\":\"start\",\"request\":%q}\n", id) }
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Relay-Idempotent") == "false" {
			assert.Check(t, r.Header.Get("Idempotency-Key") != "")
			answerComplete(w, r)
			return
		}
		w.Header().Set("Relay-Outcome", "notRun")
		w.WriteHeader(429)
	}))
	defer srv.Close()
	claim := kind("claim", 100)
	claim.Claim = true
	p := onePhase(4, 200*time.Millisecond, claim, kind("a", 100))
	for src := plan.NewSource(p, "r"); ; {
		a, ok := src.Next()
		if !ok {
			break
		}
		start(a.ID)
		if a.Kind.Claim {
			start(a.ID)
		}
	}
	start("earlier-1")
	res, err := load.Run(context.Background(), p, load.Options{
		Run: "r", Entries: []string{srv.URL}, Clock: clockwork.NewRealClock(),
		StartLogs: func() ([]io.ReadCloser, error) { return []io.ReadCloser{io.NopCloser(&log)}, nil },
	})
	assert.NilError(t, err)
	c, a := res.Kinds[0].Sent, res.Kinds[1].Sent
	assert.Equal(t, res.Truth.Starts, 2*c+a)
	assert.Equal(t, res.Truth.ClaimTwice, c)
	assert.Equal(t, res.Truth.NotRunStarted, a)
	assert.Assert(t, res.Truth.Violated())
}

// The start log of a real target behind a fake entry agrees with the outcomes:
// one start for each complete request, none for others.
func TestTargetsStartLogAgrees(t *testing.T) {
	log, err := os.Create(filepath.Join(t.TempDir(), "start.log"))
	assert.NilError(t, err)
	defer func() { _ = log.Close() }()
	target, err := fake.New(fake.Config{Name: "t1", Slots: 2, Conns: 64, StartLog: log})
	assert.NilError(t, err)
	worker := httptest.NewServer(target.Handler())
	defer worker.Close()
	var n atomic.Int64
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		resp, err := http.Post(fmt.Sprintf("%s/v1/tasks/%d", worker.URL, n.Add(1)), "application/json", r.Body)
		if err != nil {
			t.Error(err)
			return
		}
		defer func() { _ = resp.Body.Close() }()
		w.Header().Set("Relay-Outcome", "complete")
		if resp.StatusCode == http.StatusTooManyRequests {
			w.Header().Set("Relay-Outcome", resp.Header.Get("Relay-Outcome"))
		}
		w.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(w, resp.Body)
	}))
	defer entry.Close()
	k := kind("a", 200)
	k.RunTime.Min, k.RunTime.Max, k.AnswerBytes = 0, units.Duration(50*time.Millisecond), 500
	res, err := load.Run(context.Background(), onePhase(32, 500*time.Millisecond, k), load.Options{
		Run: "r", Entries: []string{entry.URL}, Clock: clockwork.NewRealClock(),
		StartLogs: func() ([]io.ReadCloser, error) {
			f, err := os.Open(log.Name())
			return []io.ReadCloser{f}, err
		},
	})
	assert.NilError(t, err)
	a := res.Kinds[0]
	assert.Assert(t, a.Complete > 0)
	assert.Equal(t, a.Complete+a.NotRun, a.Sent)
	assert.DeepEqual(t, *res.Truth, load.StartCheck{Starts: a.Complete})
}

func ExampleCompare() {
	a := load.Result{Run: "a", Kinds: []load.KindResult{{Name: "match", Sent: 10, Complete: 10, Goodput: 5, Ratio: load.Quantiles{P50: 1.01, P99: 1.4, P999: 2}}}}
	b := load.Result{Run: "b", Phases: []load.PhaseResult{{Name: "flood", Kinds: []load.KindResult{{Name: "match", Sent: 4}}}}, Wasted: map[string]float64{"retry": 0.25}, Truth: &load.StartCheck{Starts: 3}}
	var out strings.Builder
	_ = load.WriteTable(&out, a, b)
	for line := range strings.Lines(out.String()) {
		fmt.Println(strings.Join(strings.Fields(line), " "))
	}
	// Output:
	// kind measure a b
	// match sent 10 -
	// match complete 10 -
	// match failed 0 -
	// match notRun 0 -
	// match lost 0 -
	// match wrong 0 -
	// match goodput/s 5.0 -
	// match ratio p50 1.010 -
	// match ratio p99 1.400 -
	// match ratio p99.9 2.000 -
	// match@flood sent - 4
	// match@flood complete - 0
	// match@flood failed - 0
	// match@flood notRun - 0
	// match@flood lost - 0
	// match@flood wrong - 0
	// match@flood goodput/s - 0.0
	// match@flood ratio p50 - 0.000
	// match@flood ratio p99 - 0.000
	// match@flood ratio p99.9 - 0.000
	// wasted retry - 0.2500
	// truth starts - 3
	// truth extra starts - 0
	// truth notRun started - 0
	// truth claim twice - 0
	// truth task twice - 0
}

func TestResultIsWrittenAndPlotted(t *testing.T) {
	res := load.Result{Run: "a", Kinds: []load.KindResult{{Name: "match", Series: []int64{1, 2}, CDF: []load.Point{{Value: 1, Share: 0.5}, {Value: 2, Share: 1}}}}}
	var b bytes.Buffer
	assert.NilError(t, res.Write(&b))
	got, err := load.ReadResult(&b)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, res)
	ratio, goodput := filepath.Join(t.TempDir(), "r.svg"), filepath.Join(t.TempDir(), "g.png")
	assert.NilError(t, res.PlotRatio(ratio))
	assert.NilError(t, res.PlotGoodput(goodput))
	for _, name := range []string{ratio, goodput} {
		info, err := os.Stat(name)
		assert.NilError(t, err)
		assert.Assert(t, info.Size() > 0)
	}
}
