package system_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cyclamenrelay.example/fake"
)

// answerLimit is the maximum time to any answer of a flow. It covers the deadline of
// the requests, the wait for a claim's record, and delays on a busy machine.
const answerLimit = 30 * time.Second

// flow is a stream of requests whose answers are checked against the start logs.
type flow struct {
	d    *deployment
	name string
	stop chan struct{}
	wg   sync.WaitGroup

	mu      sync.Mutex
	answers map[string]flowAnswer
}

type flowAnswer struct {
	answer
	idempotent bool
	took       time.Duration
}

// flow starts workers that send one request after another to random entries until
// end is called. Each worker has its own random source, derived from seed.
func (d *deployment) flow(name string, workers int, seed uint64) *flow {
	f := &flow{d: d, name: name, stop: make(chan struct{}), answers: map[string]flowAnswer{}}
	for w := range workers {
		f.wg.Go(func() {
			rnd := rand.New(rand.NewPCG(seed, uint64(w)))
			for n := 0; ; n++ {
				select {
				case <-f.stop:
					return
				default:
					f.send(fmt.Sprintf("%s-%d-%d", name, w, n), 1+rnd.IntN(d.spec.entries), rnd.IntN(3) > 0, rnd.IntN(200))
				}
			}
		})
	}
	return f
}

func (f *flow) send(id string, entry int, idempotent bool, ms int) {
	h := map[string]string{"Relay-Deadline": "8s"}
	if !idempotent {
		h["Relay-Idempotent"], h["Idempotency-Key"] = "false", id
	}
	began := time.Now()
	a := f.d.request(entry, "match", fmt.Sprintf(`{"runTime":"%dms","request":%q,"answerBytes":2000}`, ms+20, id), h)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answers[id] = flowAnswer{a, idempotent, time.Since(began)}
}

// end stops the workers and waits for their last answers.
func (f *flow) end() {
	close(f.stop)
	f.wg.Wait()
}

// startsByRequest returns how many times each request was started, by the start logs.
func (d *deployment) startsByRequest() map[string]int {
	out := map[string]int{}
	for _, r := range d.startLog() {
		if r.Event == fake.EventStart {
			out[r.Request]++
		}
	}
	return out
}

// checkAnswers checks each answer against the start logs. It returns the number of answers
// by outcome ("none" for a caller that got no answer, as when its entry died), and
// the number of idempotent requests that were answered as failed or notRun.
func (f *flow) checkAnswers() (countByOutcome map[string]int, incomplete int) {
	f.d.t.Helper()
	starts, countByOutcome := f.d.startsByRequest(), map[string]int{}
	for id, a := range f.answers {
		outcome := a.outcome
		if a.err != nil {
			outcome = "none"
		}
		countByOutcome[outcome]++
		assert.Assert(f.d.t, a.took < answerLimit, "%s was answered after %s", id, a.took)
		assert.Assert(f.d.t, a.idempotent || starts[id] <= 1, "%s is not idempotent and started %d times", id, starts[id])
		switch outcome {
		case "complete":
			assert.Assert(f.d.t, starts[id] >= 1, "%s was answered complete but never started", id)
			assert.Assert(f.d.t, len(a.body) >= 2000 && strings.Contains(a.body, `"`+id+`"`), "%s got %q", id, a.body)
		case "notRun":
			assert.Equal(f.d.t, starts[id], 0, "%s was answered notRun but started: %s", id, a.body)
		case "failed":
			assert.Assert(f.d.t, strings.Contains(a.body, `"mayHaveRun":true`), "%s: %s", id, a.body)
		}
		if a.idempotent && (outcome == "failed" || outcome == "notRun") {
			incomplete++
		}
	}
	f.d.t.Logf("%s: %v, %d idempotent ones not complete", f.name, countByOutcome, incomplete)
	return countByOutcome, incomplete
}

// waitStartLog waits until ok accepts the start log.
func (d *deployment) waitStartLog(what string, ok func([]fake.LogRecord) bool) {
	d.t.Helper()
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		if ok(d.startLog()) {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(startLimit), poll.WithDelay(20*time.Millisecond))
}

// sleep waits for d, or until the test ends.
func sleep(t *testing.T, d time.Duration) {
	select {
	case <-time.After(d):
	case <-t.Context().Done():
	}
}

// waitGauge waits until ok accepts the value of a process's gauge metric.
func (d *deployment) waitGauge(name, metric string, ok func(int) bool) {
	d.t.Helper()
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		req, err := http.NewRequest(http.MethodGet, "http://"+d.metricsAddr(name)+"/metrics", nil)
		assert.NilError(d.t, err)
		_, after, found := strings.Cut(sendRequest(req).body, "\n"+metric+" ")
		line, _, _ := strings.Cut(after, "\n")
		if n, err := strconv.Atoi(line); found && err == nil && ok(n) {
			return poll.Success()
		}
		return poll.Continue("%s is %q", metric, line)
	}, poll.WithTimeout(startLimit), poll.WithDelay(20*time.Millisecond))
}
