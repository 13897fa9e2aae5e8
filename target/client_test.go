package target_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/model"
	"cyclamenrelay.example/target"
)

const lease = time.Second

func start(t *testing.T, url string, body string) model.Outcome {
	c := target.NewClient(url, 4)
	t.Cleanup(c.Close)
	return c.Start(t.Context(), "t1", model.Task{ID: "x", Body: []byte(body), TimeLeft: time.Minute}, lease)
}

// serveRaw starts a server that answers the first request of each connection with the
// given bytes and closes the connection. It counts the requests in starts.
func serveRaw(t *testing.T, answer string) (url string, starts *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	starts = &atomic.Int64{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				req, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				starts.Add(1)
				_, _ = io.WriteString(c, answer)
			}()
		}
	}()
	return "http://" + l.Addr().String(), starts
}

func TestInvalidResponses(t *testing.T) {
	for name, c := range map[string]struct {
		answer     string
		mayHaveRun bool
	}{
		"no answer":        {"", true},
		"half a header":    {"HTTP/1.1 200 OK\r\nContent-Le", true},
		"garbage":          {"\x16\x03\x01 no HTTP\r\n\r\n", true},
		"short body":       {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345", true},
		"open chunk":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nA\r\n12345", true},
		"no last chunk":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n", true},
		"bad length":       {"HTTP/1.1 200 OK\r\nContent-Length: -7\r\n\r\n12345", true},
		"two lengths":      {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n12345", true},
		"huge header":      {"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 1<<20) + "\r\nContent-Length: 0\r\n\r\n", true},
		"ends with stream": {"HTTP/1.0 200 OK\r\n\r\n12345", false},
		"redirect":         {"HTTP/1.1 307 Elsewhere\r\nLocation: /again\r\nContent-Length: 0\r\n\r\n", false},
		"broken refusal":   {"HTTP/1.1 429 Busy\r\nRelay-Outcome: notRun\r\nContent-Length: 9\r\n\r\n1", true},
		"plain 429":        {"HTTP/1.1 429 Busy\r\nContent-Length: 0\r\n\r\n", false},
	} {
		for _, body := range []string{"", "{}"} {
			url, starts := serveRaw(t, c.answer)
			f, ok := start(t, url, body).(model.Failed)
			assert.Assert(t, ok, name)
			assert.Equal(t, f.MayHaveRun, c.mayHaveRun, "%s: %s", name, f.Reason)
			assert.Equal(t, starts.Load(), int64(1), name)
			assert.Assert(t, len(f.Reason) < 1<<12, name)
		}
	}
}

func TestCompleteResponses(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n12345",
		"HTTP/1.1 201 Created\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n0\r\n\r\n",
	} {
		url, _ := serveRaw(t, answer)
		c, ok := start(t, url, "{}").(model.Complete)
		assert.Assert(t, ok)
		assert.Equal(t, string(c.Body), "12345")
	}
	url, _ := serveRaw(t, "HTTP/1.1 204 No Content\r\n\r\n")
	_, ok := start(t, url, "{}").(model.Complete)
	assert.Assert(t, ok)
}

func TestNotRunMeansNotSentOrRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	closed := "http://" + l.Addr().String()
	assert.NilError(t, l.Close())
	n, ok := start(t, closed, "{}").(model.NotRun)
	assert.Assert(t, ok && n.Code == model.CodeNoTarget)

	url, _ := serveRaw(t, "HTTP/1.1 429 Busy\r\nRelay-Outcome: notRun\r\nContent-Length: 0\r\n\r\n")
	n, ok = start(t, url, "{}").(model.NotRun)
	assert.Assert(t, ok && n.Code == model.CodeBusy)

	c := target.NewClient(url, 1)
	defer c.Close()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	n, ok = c.Start(ctx, "t1", model.Task{ID: "x"}, lease).(model.NotRun)
	assert.Assert(t, ok && n.Code == model.CodeCancelled)
}

// A cancelled task that was still waiting for a connection to the target has not
// run; one that was sent on a connection may have.
func TestCancelledTasks(t *testing.T) {
	entered := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(entered)
		<-r.Context().Done()
	}))
	defer srv.Close()
	c := target.NewClient(srv.URL, 1)
	defer c.Close()
	ctx, cancel := context.WithCancel(t.Context())
	first, second := make(chan model.Outcome, 1), make(chan model.Outcome, 1)
	go func() { first <- c.Start(ctx, "t1", model.Task{ID: "a", Body: []byte("x")}, lease) }()
	<-entered
	go func() { second <- c.Start(ctx, "t1", model.Task{ID: "b", Body: []byte("x")}, lease) }()
	cancel()
	f, ok := (<-first).(model.Failed)
	assert.Assert(t, ok && f.MayHaveRun)
	_, ok = (<-second).(model.NotRun)
	assert.Assert(t, ok)
}

func TestAnnouncementErrorsNameTheField(t *testing.T) {
	const good = `{"name":"t1","url":"http://127.0.0.1:1","slots":8,"connections":64,"lease":"3s"}`
	a, err := target.ReadAnnouncement(strings.NewReader(good))
	assert.NilError(t, err)
	assert.Equal(t, a.Target.Slots, 8)
	for field, bad := range map[string]string{
		"name":        strings.Replace(good, `"t1"`, `""`, 1),
		"url":         strings.Replace(good, `http:`, `ftp:`, 1),
		"slots":       strings.Replace(good, `8`, `-8`, 1),
		"connections": strings.Replace(good, `64`, `7`, 1),
		"lease":       strings.Replace(good, `3s`, `-3s`, 1),
		"labels":      strings.Replace(good, `"slots"`, `"labels":{"a b":"c"},"slots"`, 1),
		"dataCentre":  strings.Replace(good, `"slots"`, fmt.Sprintf(`"dataCentre":%q,"slots"`, strings.Repeat("x", 1000)), 1),
		"extra":       strings.Replace(good, `"slots"`, `"extra":1,"slots"`, 1),
	} {
		_, err := target.ReadAnnouncement(strings.NewReader(bad))
		assert.ErrorContains(t, err, field)
	}
}
