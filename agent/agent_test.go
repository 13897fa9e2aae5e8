package agent_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/model"
	"cyclamenrelay.example/wire"
)

// blockingTarget is a target whose tasks run until release is closed.
type blockingTarget struct {
	*httptest.Server
	starts  atomic.Int64
	started chan string
	release chan struct{}
	answer  string
}

func newBlockingTarget(t *testing.T) *blockingTarget {
	g := &blockingTarget{started: make(chan string, 100), release: make(chan struct{}), answer: "whole"}
	g.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		g.starts.Add(1)
		g.started <- strings.TrimPrefix(r.URL.Path, "/v1/tasks/")
		select {
		case <-g.release:
			_, _ = io.WriteString(w, g.answer)
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(g.Close)
	return g
}

func TestTaskOfAJobStartsOnce(t *testing.T) {
	g := newBlockingTarget(t)
	b := newHarness(t, g.URL, 8)
	owned := task("a").WithOwner("job", 2)
	answers := make(chan model.Outcome, 3)
	go func() { answers <- b.tryOutcome(owned) }()
	<-g.started
	for range 2 {
		go func() { answers <- b.tryOutcome(owned) }()
	}
	close(g.release)
	for range 3 {
		c, ok := (<-answers).(model.Complete)
		assert.Assert(t, ok && string(c.Body) == "whole")
	}
	c, ok := b.outcome(owned).(model.Complete)
	assert.Assert(t, ok && string(c.Body) == "whole", "the outcome was not kept")
	n, ok := b.outcome(task("b").WithOwner("job", 1)).(model.NotRun)
	assert.Assert(t, ok && n.Code == model.CodeFenced)
	assert.Equal(t, g.starts.Load(), int64(1))
}

func TestLateStartsAreRefused(t *testing.T) {
	g := newBlockingTarget(t)
	b := newHarness(t, g.URL, 8)
	n, ok := b.outcome(task("a").WithTimeLeft(0)).(model.NotRun)
	assert.Assert(t, ok && n.Code == model.CodeDeadline)
	n, ok = b.outcome(task("a").WithTimeLeft(-time.Hour)).(model.NotRun)
	assert.Assert(t, ok && n.Code == model.CodeDeadline)
	m, err := b.entry.CallPeer(t.Context(), "agent-1", wire.Start{Task: task("a"), Incarnation: incarnation - 1})
	assert.NilError(t, err)
	assert.Assert(t, m.(wire.Result).NotRun != nil, "a start for an earlier incarnation of the agent was run")
	assert.Equal(t, g.starts.Load(), int64(0))
}

// A target that could not be reached is not announced to entries until it has
// announced itself again.
func TestUnreachableTargetIsNotAnnounced(t *testing.T) {
	g := newBlockingTarget(t)
	close(g.release)
	b := newHarness(t, g.URL, 8)
	g.Close()
	n, ok := b.outcome(task("a")).(model.NotRun)
	assert.Assert(t, ok && n.Code == model.CodeNoTarget)
	b.wait(func(m wire.Announce) bool { return m.Target == nil })
	n, ok = b.outcome(task("b")).(model.NotRun)
	assert.Assert(t, ok && n.Code == model.CodeNoTarget)
	restarted := newBlockingTarget(t)
	close(restarted.release)
	b.announceUntil(restarted.URL, 8)
	_, ok = b.outcome(task("c")).(model.Complete)
	assert.Assert(t, ok)
}

func TestTaskThatMayStillRunIsStopped(t *testing.T) {
	g := newBlockingTarget(t)
	b := newHarness(t, g.URL, 8)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-g.started
		cancel()
	}()
	_, err := b.start(ctx, task("gave-up"))
	assert.Assert(t, err != nil)
	assert.Equal(t, <-b.platform.stopped, "gave-up")

	ended := make(chan model.Outcome, 1)
	go func() { ended <- b.tryOutcome(task("cancelled").WithOwner("job", 1)) }()
	<-g.started
	assert.NilError(t, b.entry.PostPeer(t.Context(), "agent-1", wire.Cancel{ID: "cancelled"}))
	assert.Equal(t, <-b.platform.stopped, "cancelled")
	f, ok := (<-ended).(model.Failed)
	assert.Assert(t, ok && f.MayHaveRun)

	go func() { ended <- b.tryOutcome(task("cut")) }()
	<-g.started
	g.CloseClientConnections()
	assert.Equal(t, <-b.platform.stopped, "cut")
	f, ok = (<-ended).(model.Failed)
	assert.Assert(t, ok && f.MayHaveRun)
	b.wait(func(m wire.Announce) bool { return m.Free == 8 })
}

// An agent that is stopped while a task runs still delivers the task's answer.
func TestShutdownDeliversTheLastAnswer(t *testing.T) {
	g := newBlockingTarget(t)
	g.answer = strings.Repeat("x", 4<<20)
	b := newHarness(t, g.URL, 8)
	ended := make(chan model.Outcome, 1)
	go func() { ended <- b.tryOutcome(task("a")) }()
	<-g.started
	b.stop()
	b.wait(func(m wire.Announce) bool { return m.Self.Leaving })
	n, ok := b.outcome(task("b")).(model.NotRun)
	assert.Assert(t, ok && n.Code == model.CodeLeaving)
	close(g.release)
	c, ok := (<-ended).(model.Complete)
	assert.Assert(t, ok && len(c.Body) == len(g.answer), "the answer was cut off")
	assert.NilError(t, <-b.ended)
}

// Guards against two simultaneous runs of a task: whatever is announced to the agent while a
// task runs, its outcome is what its own target answers.
func TestAnnouncementsEndNoTask(t *testing.T) {
	g, other := newBlockingTarget(t), newBlockingTarget(t)
	b := newHarness(t, g.URL, 8)
	out := make(chan model.Outcome, 1)
	go func() { out <- b.tryOutcome(task("a")) }()
	<-g.started
	send := func(method, body string) int {
		req, err := http.NewRequestWithContext(t.Context(), method, "http://"+b.listen+"/v1/target", strings.NewReader(body))
		assert.NilError(t, err)
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	announcement := func(name, url string) string {
		return `{"name":"` + name + `","url":"` + url + `","slots":8,"connections":16,"lease":"1m"}`
	}
	assert.Equal(t, send(http.MethodPut, announcement("t2", g.URL)), http.StatusConflict)
	assert.Equal(t, send(http.MethodPut, announcement("t1", "http://127.0.0.1:9")), http.StatusNoContent)
	assert.Equal(t, send(http.MethodDelete, ""), http.StatusNoContent)
	assert.Equal(t, send(http.MethodPut, announcement("t2", other.URL)), http.StatusNoContent)
	assert.Equal(t, len(out), 0, "the task was reported as ended, but is still running")
	close(g.release)
	c, ok := (<-out).(model.Complete)
	assert.Assert(t, ok && string(c.Body) == "whole")
	assert.Equal(t, other.starts.Load(), int64(0))
}
