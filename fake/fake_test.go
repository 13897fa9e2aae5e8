package fake_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"cyclamenrelay.example/fake"
	"cyclamenrelay.example/model"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

type targetFixture struct {
	t      *testing.T
	clock  *clockwork.FakeClock
	log    *bytes.Buffer
	mu     sync.Mutex
	target *fake.Target
	srv    *httptest.Server
}

// Write appends to the start log; reads go through records.
func (b *targetFixture) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.log.Write(p)
}

func (b *targetFixture) records() []fake.LogRecord {
	b.mu.Lock()
	defer b.mu.Unlock()
	recs, err := fake.ReadStartLog(bytes.NewReader(b.log.Bytes()))
	assert.NilError(b.t, err)
	return recs
}

func newTargetFixture(t *testing.T, slots int) *targetFixture {
	b := &targetFixture{t: t, clock: clockwork.NewFakeClock(), log: &bytes.Buffer{}}
	var err error
	b.target, err = fake.New(fake.Config{Name: "t1", Slots: slots, Conns: 64, UsageLag: time.Second, StartLog: b, Clock: b.clock})
	assert.NilError(t, err)
	b.srv = httptest.NewServer(b.target.Handler())
	t.Cleanup(b.srv.Close)
	return b
}

type reply struct {
	status  int
	outcome string
	body    string
}

func (b *targetFixture) call(method, path, body string, header ...string) reply {
	req, err := http.NewRequest(method, b.srv.URL+path, strings.NewReader(body))
	assert.NilError(b.t, err)
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(b.t, err)
	defer func() { _ = resp.Body.Close() }()
	out, err := io.ReadAll(resp.Body)
	assert.NilError(b.t, err)
	return reply{resp.StatusCode, resp.Header.Get("Relay-Outcome"), string(out)}
}

// start begins a task and returns once its timer runs.
func (b *targetFixture) start(id, body string, header ...string) <-chan reply {
	out := make(chan reply, 1)
	go func() { out <- b.call("POST", "/v1/tasks/"+id, body, header...) }()
	b.waitForTimers(1)
	return out
}

func (b *targetFixture) waitForTimers(n int) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	assert.NilError(b.t, b.clock.BlockUntilContext(ctx, n))
}

func TestTaskRunsAndEchoes(t *testing.T) {
	b := newTargetFixture(t, 1)
	out := b.start("a", `{"runTime":"120ms","answerBytes":1000,"request":"r1"}`, "Relay-Job", "j")
	refused := b.call("POST", "/v1/tasks/b", "")
	assert.Equal(t, refused.status, http.StatusTooManyRequests)
	assert.Equal(t, refused.outcome, "notRun")
	b.clock.Advance(time.Second)
	r := <-out
	assert.Equal(t, r.status, 200)
	assert.Equal(t, len(r.body), 1000)
	assert.Assert(t, strings.Contains(r.body, `"task":"a"`))
	recs := b.records()
	assert.Equal(t, len(recs), 2)
	assert.DeepEqual(t, [4]string{recs[0].Event, recs[0].Task, recs[0].Job, recs[0].Request}, [4]string{"start", "a", "j", "r1"})
	assert.DeepEqual(t, [2]string{recs[1].Event, recs[1].Outcome}, [2]string{"end", "complete"})
}

func TestPlatformActsOnRunningTasks(t *testing.T) {
	b := newTargetFixture(t, 2)
	out := b.start("a", `{"runTime":"10s"}`, "Relay-Lease", "2s")
	assert.Equal(t, b.call("PUT", "/v1/tasks/a/lease", `{"lease":"1h"}`).status, 204)
	b.clock.Advance(5 * time.Second)
	assert.Assert(t, strings.Contains(b.call("POST", "/v1/tasks/a/checkpoint", "").body, `"done":0.5`))
	assert.Assert(t, strings.Contains(b.call("GET", "/v1/usage", "").body, `"processorSeconds":4,`))
	assert.Equal(t, b.call("POST", "/v1/tasks/a/throttle", `{"share":0.5}`).status, 204)
	b.clock.Advance(5 * time.Second)
	assert.Assert(t, strings.Contains(b.call("POST", "/v1/tasks/a/checkpoint", "").body, `"done":0.75`))
	assert.Equal(t, b.call("POST", "/v1/tasks/a/throttle", `{"share":2}`).status, 400)
	assert.Equal(t, b.call("POST", "/v1/tasks/a/stop", "").status, 204)
	assert.Equal(t, (<-out).status, 500)
	assert.Equal(t, b.call("POST", "/v1/tasks/a/stop", "").status, 404)
}

func TestExpiredLeaseStopsTask(t *testing.T) {
	b := newTargetFixture(t, 1)
	out := b.start("a", `{"runTime":"10s"}`, "Relay-Lease", "2s")
	b.clock.Advance(2 * time.Second)
	assert.Equal(t, (<-out).status, 500)
	recs := b.records()
	assert.Equal(t, recs[len(recs)-1].Outcome, "expired")
}

func TestFailSlowAndFreezeModes(t *testing.T) {
	b := newTargetFixture(t, 1)
	assert.Equal(t, b.call("PUT", "/v1/mode", `{"fail":true}`).status, 200)
	assert.Equal(t, b.call("POST", "/v1/tasks/a", "").status, 500)
	assert.Equal(t, b.call("PUT", "/v1/mode", `{"slow":4}`).status, 200)
	out := b.start("b", `{"runTime":"1s"}`)
	b.clock.Advance(2 * time.Second)
	assert.Assert(t, strings.Contains(b.call("POST", "/v1/tasks/b/checkpoint", "").body, `"done":0.5`))
	assert.Equal(t, b.call("PUT", "/v1/mode", `{"freeze":true}`).status, 200)
	b.clock.Advance(time.Minute)
	select {
	case <-out:
		t.Fatal("a frozen target answered")
	default:
	}
	assert.Equal(t, b.call("PUT", "/v1/mode", `{}`).status, 200)
	b.waitForTimers(1)
	b.clock.Advance(time.Second)
	assert.Equal(t, (<-out).status, 200)
	assert.Equal(t, b.call("PUT", "/v1/mode", `{"frozen":true}`).status, 400)
}

func TestRunAnnouncesAndWithdrawsAfterTasks(t *testing.T) {
	var mu sync.Mutex
	var calls []string
	agent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		calls = append(calls, r.Method+" "+r.URL.Path)
	}))
	defer agent.Close()
	last := func() string {
		mu.Lock()
		defer mu.Unlock()
		return strings.Join(calls[max(0, len(calls)-1):], "")
	}
	clock := clockwork.NewFakeClock()
	target, err := fake.New(fake.Config{Name: "t1", Slots: 1, Conns: 2, Agent: agent.URL, Clock: clock})
	assert.NilError(t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	ran := make(chan error, 1)
	go func() { ran <- target.Run(ctx, l) }()
	b := &targetFixture{t: t, clock: clock, target: target, srv: &httptest.Server{URL: "http://" + l.Addr().String()}}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if last() == "PUT /v1/target" {
			return poll.Success()
		}
		return poll.Continue("no announcement")
	})
	out := make(chan reply, 1)
	go func() { out <- b.call("POST", "/v1/tasks/a", "") }()
	b.waitForTimers(2)
	stop()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if b.call("POST", "/v1/tasks/b", "").outcome == "notRun" {
			return poll.Success()
		}
		return poll.Continue("accepts tasks")
	})
	assert.Equal(t, last(), "PUT /v1/target")
	clock.Advance(fake.DefaultRunTime)
	assert.Equal(t, (<-out).status, 200)
	assert.NilError(t, <-ran)
	assert.Equal(t, last(), "DELETE /v1/target")
}

func TestRunLimitsConnectionsAndWithdrawsFirst(t *testing.T) {
	calls := make(chan string, 100)
	agent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { calls <- r.Method }))
	defer agent.Close()
	clock := clockwork.NewFakeClock()
	target, err := fake.New(fake.Config{Name: "t1", Slots: 1, Conns: 1, Agent: agent.URL, LeaveFirst: true, Clock: clock})
	assert.NilError(t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	ran := make(chan error, 1)
	go func() { ran <- target.Run(ctx, l) }()
	assert.Equal(t, <-calls, "PUT")
	b := &targetFixture{t: t, clock: clock, srv: &httptest.Server{URL: "http://" + l.Addr().String()}}
	out := make(chan reply, 1)
	go func() { out <- b.call("POST", "/v1/tasks/a", "") }()
	b.waitForTimers(2)
	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	_, err = c.Read(make([]byte, 1))
	assert.Assert(t, err != nil, "a second connection stays open")
	stop()
	assert.Equal(t, <-calls, "DELETE")
	clock.Advance(fake.DefaultRunTime)
	assert.Equal(t, (<-out).status, 200)
	assert.NilError(t, <-ran)
}

func TestReadLogDropsTornLine(t *testing.T) {
	recs, err := fake.ReadStartLog(strings.NewReader("{\"event\":\"start\",\"task\":\"a\"}\n{\"event\":\"en"))
	assert.NilError(t, err)
	assert.Equal(t, len(recs), 1)
	_, err = fake.ReadStartLog(strings.NewReader("x\n"))
	assert.Assert(t, err != nil)
	_, err = fake.New(fake.Config{Name: "t", Slots: 1, Conns: 1, Labels: model.Labels{}, Mode: fake.Mode{Slow: -1}})
	assert.ErrorContains(t, err, "slow")
}
