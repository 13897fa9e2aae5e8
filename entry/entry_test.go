package entry_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"cyclamenrelay.example/claims"
	"cyclamenrelay.example/entry"
	"cyclamenrelay.example/jobs"
	"cyclamenrelay.example/kernel"
	"cyclamenrelay.example/member"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/record"
	"cyclamenrelay.example/watch"
	"cyclamenrelay.example/wire"
)

const (
	maxBody  = 1 << 16
	maxBytes = 3 * maxBody
)

// fakeRouter is a router that returns the same outcome for every task.
type fakeRouter struct{ outcome model.Outcome }

func (fakeRouter) Name() string              { return "route" }
func (fakeRouter) Run(context.Context) error { return nil }

func (r fakeRouter) RunTask(context.Context, model.Task, func(context.Context, wire.Node) bool) model.Outcome {
	return r.outcome
}

func (fakeRouter) Candidates(model.Task, int) []wire.Node { return nil }

// unreachableLedger is a ledger that cannot be reached.
type unreachableLedger struct{}

func (unreachableLedger) GroupOf(string) uint32 { return 1 }

func (unreachableLedger) Propose(context.Context, uint32, []byte) ([]byte, error) {
	return nil, trace.ConnectionProblem(nil, "no keeper")
}

func (unreachableLedger) Query(context.Context, uint32, []byte) ([]byte, error) {
	return nil, trace.ConnectionProblem(nil, "no keeper")
}

// handler returns the HTTP interface of an entry whose tasks all have the outcome o.
// The entry has a configuration when fresh is set.
func handler(t testing.TB, o model.Outcome, fresh bool) http.Handler {
	c := clockwork.NewRealClock()
	f := member.NewFinder(nil, c, zap.NewNop(), wire.Node{Name: "e1"}, nil)
	v := watch.NewView(c, time.Hour)
	if fresh {
		v.Apply(wire.ConfigUpdate{}, c.Now())
	}
	r := fakeRouter{o}
	k := kernel.New(zap.NewNop())
	k.Add(f)
	k.Add(r)
	b := record.Store{Ledger: unreachableLedger{}, Finder: f, Clock: c, Log: zap.NewNop()}
	k.Add(claims.New(b, r))
	k.Add(jobs.New(b, r))
	e := entry.New(entry.Options{MaxBody: maxBody, MaxBytes: maxBytes, RequestTimeout: time.Second, Clock: c, Log: zap.NewNop(), View: v})
	assert.NilError(t, e.Start(k))
	return e.Handler()
}

func serve(h http.Handler, r *http.Request) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

func TestOutcomeResponses(t *testing.T) {
	for _, c := range []struct {
		outcome model.Outcome
		status  int
		name    string
		body    string
	}{
		{model.Complete{Status: 201, Body: []byte("glove"), Type: "text/plain", Target: "t1"}, 200, "complete", "glove"},
		{model.Failed{Reason: "lost", MayHaveRun: true}, 502, "failed", `"mayHaveRun":true`},
		{model.NotRun{Code: model.CodeQueueFull, Reason: "full", RetryAfter: 1500 * time.Millisecond}, 429, "notRun", `"code":"queueFull"`},
		{model.NotRun{Code: model.CodeStale, Reason: "stale"}, 503, "notRun", `"code":"stale"`},
		{model.NotRun{Code: model.CodeConflict, Reason: "key"}, 409, "notRun", `"code":"conflict"`},
	} {
		w := serve(handler(t, c.outcome, true), httptest.NewRequest(http.MethodPost, "/v1/requests", strings.NewReader("x")))
		assert.Equal(t, w.Code, c.status)
		assert.Equal(t, w.Header().Get(entry.HeaderOutcome), c.name)
		assert.Assert(t, strings.Contains(w.Body.String(), c.body), w.Body.String())
		if n, ok := c.outcome.(model.NotRun); ok && n.RetryAfter > 0 {
			assert.Equal(t, w.Header().Get("Retry-After"), "2")
		}
	}
}

func TestStaleEntryRefusesRequests(t *testing.T) {
	h := handler(t, model.Complete{}, false)
	w := serve(h, httptest.NewRequest(http.MethodPost, "/v1/requests", nil))
	assert.Equal(t, w.Header().Get(entry.HeaderOutcome), "notRun")
	assert.Equal(t, w.Code, 503)
	assert.Equal(t, serve(h, httptest.NewRequest(http.MethodGet, "/v1/ready", nil)).Code, 503)
	assert.Equal(t, serve(h, httptest.NewRequest(http.MethodGet, "/v1/live", nil)).Code, 200)
}

func FuzzRequestHeaders(f *testing.F) {
	h := handler(f, model.Complete{}, true)
	f.Add("kind=match,team=a", "rack in (a,b)", "5", "800ms", "true")
	f.Add("=,", "a=b=c", "-1", "1e9s", "maybe")
	f.Fuzz(func(t *testing.T, labels, selector, urgency, deadline, idempotent string) {
		r := httptest.NewRequest(http.MethodPost, "/v1/requests", strings.NewReader("x"))
		r.Header.Set("Relay-Labels", labels)
		r.Header.Set("Relay-Selector", selector)
		r.Header.Set("Relay-Urgency", urgency)
		r.Header.Set("Relay-Deadline", deadline)
		r.Header.Set("Relay-Idempotent", idempotent)
		w := serve(h, r)
		assert.Assert(t, w.Code == 200 || w.Code == 400, "status %d: %s", w.Code, w.Body)
	})
}

func FuzzJobBody(f *testing.F) {
	h := handler(f, model.Complete{}, true)
	f.Add(`{"key":"a","labels":{"kind":"proof"},"tasks":[{"body":"eA=="}]}`)
	f.Add(`{"key":1}`)
	f.Add(`{"key":"a","tasks":[{}]`)
	f.Fuzz(func(t *testing.T, body string) {
		w := serve(h, httptest.NewRequest(http.MethodPost, "/v1/jobs", strings.NewReader(body)))
		assert.Assert(t, w.Code != 200 && w.Code != 202, "a job without a ledger was accepted: %s", w.Body)
		assert.Assert(t, json.Valid(w.Body.Bytes()), "%s", w.Body)
		assert.Equal(t, w.Header().Get(entry.HeaderOutcome), "notRun")
	})
}
