package meter_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cyclamenrelay.example/meter"
)

// TestServeCompletesResponses stops a server while a handler writes a response,
// which must arrive whole.
func TestServeCompletesResponses(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := l.Addr().String()
	assert.NilError(t, l.Close())
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	body := strings.Repeat("x", 4<<20)
	srv := &http.Server{Addr: addr, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		stop()
		_, _ = io.WriteString(w, body)
	})}
	served := make(chan error, 1)
	go func() { served <- meter.Serve(ctx, srv) }()
	var resp *http.Response
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if resp, err = http.Get("http://" + addr); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, len(b), len(body))
	assert.NilError(t, <-served)
}
