package system_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/fake"
)

const (
	jobTasks = 6
	// endLimit is the maximum wait for the end of a claim or job, faults included.
	endLimit = 45 * time.Second
)

// load sends requests, claims and jobs, and records all answers.
type load struct {
	d    *deployment
	stop chan struct{}
	wg   sync.WaitGroup

	mu       sync.Mutex
	requests map[string]answer
	claims   map[string][]answer
	jobs     map[string][]jobState // answers to each job, by key
}

// load starts n callers each of requests, claims and jobs. Callers resend claims and
// jobs that were unanswered or refused, at random entries.
func (d *deployment) load(seed uint64, n int) *load {
	l := &load{
		d: d, stop: make(chan struct{}), requests: map[string]answer{}, claims: map[string][]answer{}, jobs: map[string][]jobState{},
	}
	for i := range n {
		for k, f := range []func(*rand.Rand, string){l.request, l.claim, l.job} {
			rnd := rand.New(rand.NewPCG(seed, uint64(3*i+k)))
			l.wg.Go(func() {
				for j := 0; !l.stopped(); j++ {
					f(rnd, fmt.Sprintf("load-%d-%d-%d", k, i, j))
				}
			})
		}
	}
	d.t.Cleanup(l.close)
	return l
}

func (l *load) close() {
	if !l.stopped() {
		close(l.stop)
	}
	l.wg.Wait()
}

func (l *load) stopped() bool {
	select {
	case <-l.stop:
		return true
	default:
		return false
	}
}

func (l *load) entry(r *rand.Rand) int { return 1 + r.IntN(l.d.spec.entries) }

func requestBody(r *rand.Rand, id string) string {
	return fmt.Sprintf(`{"runTime":"%dms","answerBytes":%d,"request":%q}`, 5+r.IntN(200), r.IntN(20_000), id)
}

func (l *load) request(r *rand.Rand, id string) {
	a := l.d.request(l.entry(r), "match", requestBody(r, id), map[string]string{"Relay-Deadline": "10s"})
	l.mu.Lock()
	l.requests[id] = a
	l.mu.Unlock()
	if a.outcome != "complete" {
		time.Sleep(50 * time.Millisecond)
	}
}

// claim sends a claim until it has an answer other than notRun, even after the load has ended.
func (l *load) claim(r *rand.Rand, key string) {
	h := map[string]string{"Relay-Idempotent": "false", "Idempotency-Key": key, "Relay-Deadline": "10s"}
	body := requestBody(r, key)
	for end := time.Now().Add(endLimit); time.Now().Before(end) && !l.d.t.Failed(); time.Sleep(100 * time.Millisecond) {
		a := l.d.request(l.entry(r), "deposit", body, h)
		l.mu.Lock()
		l.claims[key] = append(l.claims[key], a)
		l.mu.Unlock()
		if a.err == nil && a.outcome != "notRun" {
			return
		}
	}
}

// job submits a job until it is accepted, and asks for its answer until there is one.
func (l *load) job(r *rand.Rand, key string) {
	body := jobBody(key, jobTasks, fmt.Sprintf("%dms", 5+r.IntN(300)))
	l.mu.Lock()
	l.jobs[key] = nil
	l.mu.Unlock()
	for end := time.Now().Add(endLimit); time.Now().Before(end) && !l.d.t.Failed(); time.Sleep(100 * time.Millisecond) {
		if a, _ := l.d.job(l.entry(r), "POST", "", body); a.err != nil || a.status >= 300 {
			continue
		}
		if _, s := l.d.job(l.entry(r), "GET", "/"+key+"/answer", ""); s.ended() {
			l.mu.Lock()
			l.jobs[key] = append(l.jobs[key], s)
			l.mu.Unlock()
			return
		}
	}
	assert.Check(l.d.t, false, "job %s has no answer", key)
}

func (s jobState) ended() bool {
	return s.State == "complete" || s.State == "failed" || s.State == "notRun"
}

// stopAndCheck stops the callers, waits for their last answers, and checks all answers against
// the targets' start logs. It returns the number of complete answers.
func (l *load) stopAndCheck() (complete int) {
	l.d.t.Helper()
	l.close()
	byRequest, byTask := map[string]int{}, map[string]int{}
	for _, e := range l.d.startLog() {
		if e.Event == fake.EventStart {
			byRequest[e.Request]++
			byTask[e.Task]++
		}
	}
	for id, a := range l.requests {
		complete += l.checkAnswer(id, a, byRequest[id])
	}
	for key, as := range l.claims {
		complete += l.checkClaim(key, as, byRequest[key])
	}
	for key := range l.jobs {
		complete += l.checkJob(key, byTask)
	}
	l.d.t.Logf("load: %d requests, %d claims, %d jobs; %d complete", len(l.requests), len(l.claims), len(l.jobs), complete)
	return complete
}

// checkAnswer checks the answer to a request that started the given number of times.
// It returns 1 if the answer is complete, else 0.
func (l *load) checkAnswer(id string, a answer, starts int) int {
	t := l.d.t
	t.Helper()
	switch {
	case a.err != nil:
	case a.outcome == "notRun":
		assert.Check(t, starts == 0, "%s was answered notRun and started %d times", id, starts)
	case a.outcome == "complete":
		var b struct{ Request string }
		assert.Check(t, json.Unmarshal([]byte(a.body), &b), "the answer to %s is truncated", id)
		assert.Check(t, b.Request == id, "%s got the answer to %s", id, b.Request)
		assert.Check(t, starts > 0, "%s is complete and never started", id)
		return 1
	}
	return 0
}

func (l *load) checkClaim(key string, as []answer, starts int) int {
	t := l.d.t
	t.Helper()
	assert.Check(t, starts <= 1, "claim %s started %d times", key, starts)
	alwaysNotRun := len(as) > 0
	for _, a := range as {
		alwaysNotRun = alwaysNotRun && a.err == nil && a.outcome == "notRun"
	}
	assert.Check(t, !alwaysNotRun || starts == 0, "claim %s was always answered notRun but started", key)
	if len(as) == 0 {
		return 0
	}
	last := as[len(as)-1]
	if last.outcome == "notRun" {
		return 0
	}
	return l.checkAnswer(key, last, starts)
}

// checkJob checks that no task of the job started twice, and that all entries give the
// same answer. It returns 1 if the answer is complete, else 0.
func (l *load) checkJob(key string, byTask map[string]int) int {
	t := l.d.t
	t.Helper()
	started := 0
	for i := range jobTasks {
		n := byTask[fmt.Sprintf("%s/%d", key, i)]
		assert.Check(t, n <= 1, "task %d of %s started %d times", i, key, n)
		started += n
	}
	states := l.jobs[key]
	if len(states) == 0 {
		return 0
	}
	for e := range l.d.spec.entries {
		a, s := l.d.job(e+1, "GET", "/"+key+"/answer", "")
		if s.State == "" {
			continue
		}
		assert.Check(t, s.State == states[0].State, "job %s is %s, at entry-%d: %.200s", key, states[0].State, e+1, a.body)
		states = append(states, s)
	}
	switch states[0].State {
	case "complete":
		assert.Check(t, started == jobTasks, "job %s is complete with %d starts", key, started)
		for _, s := range states {
			assert.Check(t, len(s.Answer) == jobTasks, "job %s is complete with %d answers", key, len(s.Answer))
		}
		return 1
	case "notRun":
		assert.Check(t, started == 0, "job %s was not run and has %d starts", key, started)
	}
	return 0
}

// refusesWork reports whether an entry refuses a request as notRun for another reason
// than noTarget.
func (d *deployment) refusesWork(entry int) bool {
	a := d.request(entry, "match", `{"request":"refused"}`, nil)
	return a.err == nil && a.outcome == "notRun" && a.status == http.StatusServiceUnavailable && !strings.Contains(a.body, "noTarget")
}
