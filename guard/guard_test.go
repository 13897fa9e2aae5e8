package guard_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cyclamenrelay.example/guard"
)

const bodyLimit = 100_000

// server is an HTTP server behind a port. Its handler answers with the length of the body;
// a request for /wait is answered when release is closed.
type server struct {
	t       *testing.T
	addr    string
	release chan struct{}
	started chan struct{} // gets a value for each request for /wait
}

func serve(t *testing.T, l guard.Limits) *server {
	t.Helper()
	s := &server{t: t, release: make(chan struct{}), started: make(chan struct{}, 100)}
	p := guard.NewPort(guard.Options{Name: "test", Limits: l, Clock: clockwork.NewRealClock(), Log: zap.NewNop()})
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, err := p.ReadBody(w, r, bodyLimit)
		if err != nil {
			guard.Busy(w)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if r.URL.Path == "/wait" {
			s.started <- struct{}{}
			<-s.release
		}
		_, _ = fmt.Fprint(w, len(b))
	})}
	p.Configure(srv)
	l0, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s.addr = l0.Addr().String()
	go func() { _ = srv.Serve(p.Listener(l0)) }()
	t.Cleanup(func() { _ = srv.Close() })
	return s
}

func (s *server) dial() net.Conn {
	s.t.Helper()
	c, err := net.Dial("tcp", s.addr)
	assert.NilError(s.t, err)
	s.t.Cleanup(func() { _ = c.Close() })
	assert.NilError(s.t, c.SetDeadline(time.Now().Add(20*time.Second)))
	return c
}

func (s *server) send(text string) net.Conn {
	s.t.Helper()
	c := s.dial()
	_, err := io.WriteString(c, text)
	assert.NilError(s.t, err)
	return c
}

// status returns the status of the answer on the connection, 0 for none.
func status(c net.Conn) int {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

func post(path, body string, rest int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, len(body)+rest, body)
}

func (s *server) eventually(want int, text string) {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if got := status(s.send(text)); got != want {
			return poll.Continue("status %d", got)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(50*time.Millisecond))
}

var plenty = guard.Limits{Connections: 100, Bytes: 10 << 20}

// Limits that are counted wrongly over several requests of a connection would refuse, or
// close the connection of, a client that keeps to them.
func TestKeptConnection(t *testing.T) {
	s := serve(t, plenty)
	dials := 0
	c := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		dials++
		return (&net.Dialer{}).DialContext(ctx, network, addr)
	}}}
	for i := range 200 {
		body := strings.Repeat("line\r\n\r\n", i*bodyLimit/200/8)
		resp, err := c.Post("http://"+s.addr+"/", "text/plain", strings.NewReader(body))
		assert.NilError(t, err)
		b, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		_ = resp.Body.Close()
		assert.Equal(t, string(b), fmt.Sprint(len(body)))
	}
	assert.Equal(t, dials, 1)
}

// A head that is refused must get the reason, and one at the limits none.
func TestHeads(t *testing.T) {
	s := serve(t, plenty)
	lines := func(n int) string { return strings.Repeat("a: b\r\n", n) }
	for name, c := range map[string]struct {
		text string
		want int
	}{
		"ordinary":               {post("/", "body", 0), 200},
		"many lines":             {"GET / HTTP/1.1\r\nHost: h\r\n" + lines(250) + "\r\n", 200},
		"large":                  {"GET / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("a", 16_000) + "\r\n\r\n", 200},
		"empty line first":       {"\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\nGET / HTTP/1.1\r\n", 400},
		"too many lines":         {"GET / HTTP/1.1\r\nHost: h\r\n" + lines(260) + "\r\n", 431},
		"too large":              {"GET / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("a", 21_000) + "\r\n\r\n", 431},
		"many lines in the body": {post("/", strings.Repeat("\n", 50_000), 0), 200},
	} {
		assert.Equal(t, status(s.send(c.text)), c.want, name)
	}
}

// A request that is sent before the answer to the one before it would have a head that is
// not counted.
func TestPipelinedRequestsEndTheConnection(t *testing.T) {
	s := serve(t, plenty)
	for _, first := range []string{"GET / HTTP/1.1\r\nHost: h\r\n\r\n", post("/", "x", 0), post("/", strings.Repeat("x", 5000), 0)} {
		c := s.send(first + post("/", "second", 0))
		r := bufio.NewReader(c)
		resp, err := http.ReadResponse(r, nil)
		assert.NilError(t, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		assert.Assert(t, resp.Close)
		_, err = http.ReadResponse(r, nil)
		assert.Assert(t, err != nil, "the second request was answered")
	}
}

// A full port must close the silent connections, not refuse new clients or close those of
// requests in progress.
func TestSilentConnectionsGiveWay(t *testing.T) {
	s := serve(t, guard.Limits{Connections: 10, Bytes: 1 << 20})
	waiting := s.send(post("/wait", "x", 0))
	<-s.started
	for range 40 {
		s.dial()
	}
	for range 5 {
		assert.Equal(t, status(s.send(post("/", "x", 0))), 200)
	}
	close(s.release)
	assert.Equal(t, status(waiting), 200)
}

// Without a connection that may be closed a new client is refused at once, with a reason.
func TestAllPlacesBusy(t *testing.T) {
	s := serve(t, guard.Limits{Connections: 4, Bytes: 1 << 20})
	var waiting []net.Conn
	for range 4 {
		waiting = append(waiting, s.send(post("/wait", "x", 0)))
		<-s.started
	}
	assert.Equal(t, status(s.dial()), 503)
	close(s.release)
	for _, c := range waiting {
		assert.Equal(t, status(c), 200)
	}
}

// Bodies that stop short of their end must give up their memory to one that comes in time,
// and small requests get through at once.
func TestStalledBodiesGiveWay(t *testing.T) {
	s := serve(t, guard.Limits{Connections: 100, Bytes: 4 * bodyLimit})
	var stalled []net.Conn
	for range 10 {
		stalled = append(stalled, s.send(post("/", strings.Repeat("x", bodyLimit-1), 1)))
	}
	assert.Equal(t, status(s.send(post("/", "small", 0))), 200)
	large := post("/", strings.Repeat("x", bodyLimit), 0)
	for range 3 {
		s.eventually(200, large)
	}
	told := 0
	for _, c := range stalled {
		_, _ = io.WriteString(c, "x")
		switch got := status(c); got {
		case 408, 503:
			told++
		default:
			assert.Equal(t, got%200, 0) // served, or closed
		}
	}
	assert.Assert(t, told > 0)
}

// A slow client that keeps to the limits is served while nobody else needs its memory.
func TestSlowBodyIsServed(t *testing.T) {
	s := serve(t, guard.Limits{Connections: 10, Bytes: 4 * bodyLimit})
	c := s.send(post("/", "", 12))
	for range 12 {
		time.Sleep(150 * time.Millisecond)
		_, err := io.WriteString(c, "x")
		assert.NilError(t, err)
	}
	assert.Equal(t, status(c), 200)
}

// Memory that is not given back would refuse all requests in the end.
func TestMemoryIsGivenBack(t *testing.T) {
	s := serve(t, guard.Limits{Connections: 10, Bytes: 2 * bodyLimit})
	for range 50 {
		// The server may not have noticed yet that the last client of the round before has left.
		s.eventually(200, post("/", strings.Repeat("x", bodyLimit), 0))
		assert.Equal(t, status(s.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n")), 200)
		assert.NilError(t, s.send(post("/", strings.Repeat("x", bodyLimit/2), bodyLimit/2)).Close())
	}
}

// Objects of two bytes each decode to hundreds; brackets in strings are none.
func TestDecodedSize(t *testing.T) {
	_, err := guard.DecodedSize([]byte("[" + strings.Repeat("{},", guard.MaxObjects) + "{}]"))
	assert.ErrorContains(t, err, "objects")
	n, err := guard.DecodedSize([]byte(`{"a":"` + strings.Repeat(`{\"`, 50_000) + `"}`))
	assert.NilError(t, err)
	assert.Assert(t, n < 160_000, n)
}

// A plan whose ports need more descriptors than there are would fail under load only.
func TestPlan(t *testing.T) {
	for _, descriptors := range []int{256, 512, 3075, 4100, 1 << 20} {
		for _, mb := range []int64{64, 144, 408, 64_000} {
			p := guard.Plan{Memory: mb << 20, Descriptors: descriptors}
			assert.NilError(t, p.Check())
			main, side := p.Limits(guard.Main), p.Limits(guard.Side)
			assert.Assert(t, main.Bytes+2*side.Bytes <= max(p.Memory/8, 8<<20), mb)
			assert.Assert(t, main.Bytes >= 6<<20, mb)
		}
	}
	assert.ErrorContains(t, guard.Plan{Memory: 1 << 30, Descriptors: 80}.Check(), "descriptors")
}

// A message whose sender has stopped must give up its memory; the others are read whole.
func TestMessages(t *testing.T) {
	m := guard.Plan{Memory: 1 << 20}.Messages(zap.NewNop()) // the least bound, 4 MB
	noUse := func([]byte) error { return nil }
	r, w := io.Pipe()
	stalled := make(chan error, 1)
	go func() { stalled <- m.Read(r, 20<<20, func() { _ = r.CloseWithError(io.ErrClosedPipe) }, noUse) }()
	_, err := w.Write(make([]byte, 3<<20))
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		got := 0
		err := m.Read(strings.NewReader(strings.Repeat("x", 3<<20)), 20<<20, func() {}, func(b []byte) error { got = len(b); return nil })
		if err != nil || got != 3<<20 {
			return poll.Continue("%d bytes, %v", got, err)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(50*time.Millisecond))
	assert.ErrorContains(t, <-stalled, "closed pipe")
	assert.NilError(t, m.Read(strings.NewReader(strings.Repeat("x", 10<<20)), 20<<20, func() {}, noUse), "a large message alone")
	assert.ErrorContains(t, m.Read(strings.NewReader("hello"), 4, func() {}, noUse), "more than 4 bytes")
}
