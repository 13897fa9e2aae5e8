package system_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cyclamenrelay.example/dummy"
)

// answerLimit bounds the time to any answer of a flow: the deadline of its
// requests, the wait for a claim's record, and time for a busy machine.
const answerLimit = 30 * time.Second

// flow is a stream of requests whose answers are judged by the start logs.
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

// flow starts workers that send one request after another to the entries, each
// as its own seed says, until end is called.
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
					f.send(fmt.Sprintf("%s-%d-%d", name, w, n), 1+rnd.IntN(d.shape.entries), rnd.IntN(3) > 0, rnd.IntN(200))
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

// end waits for the last answers.
func (f *flow) end() {
	close(f.stop)
	f.wg.Wait()
}

// starts returns how often each request was started by the start logs.
func (d *deployment) starts() map[string]int {
	out := map[string]int{}
	for _, r := range d.startLog() {
		if r.Event == dummy.EventStart {
			out[r.Request]++
		}
	}
	return out
}

// judge checks each answer against the start logs and returns the number of
// answers by outcome, and of idempotent requests that were answered without being complete. A caller whose
// entry died has no answer.
func (f *flow) judge() (count map[string]int, lost int) {
	f.d.t.Helper()
	starts, count := f.d.starts(), map[string]int{}
	for id, a := range f.answers {
		outcome := a.outcome
		if a.err != nil {
			outcome = "none"
		}
		count[outcome]++
		assert.Assert(f.d.t, a.took < answerLimit, "%s was answered after %s", id, a.took)
		assert.Assert(f.d.t, a.idempotent || starts[id] <= 1, "%s is not idempotent and started %d times", id, starts[id])
		switch outcome {
		case "complete":
			assert.Assert(f.d.t, starts[id] >= 1, "%s is complete and has not started", id)
			assert.Assert(f.d.t, len(a.body) >= 2000 && strings.Contains(a.body, `"`+id+`"`), "%s got %q", id, a.body)
		case "notRun":
			assert.Equal(f.d.t, starts[id], 0, "%s is notRun and has started: %s", id, a.body)
		case "failed":
			assert.Assert(f.d.t, strings.Contains(a.body, `"mayHaveRun":true`), "%s: %s", id, a.body)
		}
		if a.idempotent && (outcome == "failed" || outcome == "notRun") {
			lost++
		}
	}
	f.d.t.Logf("%s: %v, %d idempotent ones not complete", f.name, count, lost)
	return count, lost
}

// await waits until ok accepts the start log.
func (d *deployment) await(what string, ok func([]dummy.Record) bool) {
	d.t.Helper()
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		if ok(d.startLog()) {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(startLimit), poll.WithDelay(20*time.Millisecond))
}

// pause lets the flow run on.
func pause(t *testing.T, d time.Duration) {
	select {
	case <-time.After(d):
	case <-t.Context().Done():
	}
}
