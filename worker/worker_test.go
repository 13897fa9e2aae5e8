package worker_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"cyclamenrelay.example/fake"
	"cyclamenrelay.example/worker"
)

func TestHTTPPlatform(t *testing.T) {
	d, err := fake.New(fake.Config{
		Name: "t1", Slots: 2, Conns: 4, Lease: time.Second, Clock: clockwork.NewRealClock(), Log: zap.NewNop(),
	})
	assert.NilError(t, err)
	srv := httptest.NewServer(d.Handler())
	defer srv.Close()
	p := worker.New(srv.URL)
	done := make(chan string, 1)
	go func() {
		resp, err := srv.Client().Post(srv.URL+"/v1/tasks/a%2F1", "application/json", strings.NewReader(`{"runTime":"1m"}`))
		if err != nil {
			done <- err.Error()
			return
		}
		_ = resp.Body.Close()
		done <- resp.Status
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for p.Renew(ctx, "a/1", time.Minute) != nil {
		assert.NilError(t, ctx.Err())
		time.Sleep(time.Millisecond)
	}
	assert.NilError(t, p.Checkpoint(ctx, "a/1"))
	assert.NilError(t, p.Throttle(ctx, "a/1", 0.5))
	_, err = p.Usage(ctx)
	assert.NilError(t, err)
	assert.NilError(t, p.Stop(ctx, "a/1"))
	assert.Assert(t, <-done != "200 OK")
	assert.Assert(t, p.Stop(ctx, "unknown") != nil)
}

func TestNoPlatform(t *testing.T) {
	assert.NilError(t, worker.New("").Stop(t.Context(), "a"))
}
