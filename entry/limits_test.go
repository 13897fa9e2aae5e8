package entry_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/entry"
	"cyclamenrelay.example/model"
)

// The bodies of the requests in progress are limited: a request over the limit is
// refused as not run, and the bytes are free again once the requests are answered.
func TestBodyBudget(t *testing.T) {
	h := handler(t, model.Complete{Status: 200}, true)
	var bodies []*io.PipeWriter
	done := make(chan *httptest.ResponseRecorder, 3)
	for range 3 {
		r, w := io.Pipe()
		bodies = append(bodies, w)
		go func() { done <- serve(h, httptest.NewRequest(http.MethodPost, "/v1/requests", r)) }()
	}
	for _, w := range bodies {
		// The last byte is written by itself: when that write returns, the reader has
		// charged the earlier bytes.
		_, err := w.Write(make([]byte, maxBody-1))
		assert.NilError(t, err)
		_, err = w.Write([]byte("x"))
		assert.NilError(t, err)
	}
	body := func() io.Reader { return strings.NewReader(strings.Repeat("x", 100)) }
	for _, path := range []string{"/v1/requests", "/v1/jobs"} {
		a := serve(h, httptest.NewRequest(http.MethodPost, path, body()))
		assert.Equal(t, a.Code, http.StatusTooManyRequests, a.Body.String())
		assert.Equal(t, a.Header().Get(entry.HeaderOutcome), "notRun")
		assert.Assert(t, a.Header().Get("Retry-After") != "")
	}
	for _, w := range bodies {
		assert.NilError(t, w.Close())
	}
	for range bodies {
		assert.Equal(t, (<-done).Code, 200)
	}
	assert.Equal(t, serve(h, httptest.NewRequest(http.MethodPost, "/v1/requests", body())).Code, 200)
}
