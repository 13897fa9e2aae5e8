package meter_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/meter"
)

// An answer that is being written when the server ends still leaves whole.
func TestServeLetsAnswersLeave(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := l.Addr().String()
	assert.NilError(t, l.Close())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	answer := strings.Repeat("x", 1<<20)
	srv := &http.Server{Addr: addr, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		cancel()
		_, _ = io.WriteString(w, answer)
	})}
	served := make(chan error, 1)
	go func() { served <- meter.Serve(ctx, srv) }()
	var resp *http.Response
	for resp == nil {
		resp, err = http.Get("http://" + addr)
		if err != nil {
			assert.NilError(t, ctx.Err(), "the request was cut off: %v", err)
		}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, len(b), len(answer))
	assert.NilError(t, <-served)
}
