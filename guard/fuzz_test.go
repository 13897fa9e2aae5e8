package guard_test

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"cyclamenrelay.example/guard"
)

const (
	// fuzzBase is what the connection, its goroutines and the answer may allocate, and
	// fuzzPerByte what each byte of the request may: a header line of two bytes takes 256.
	fuzzBase    = 1 << 20
	fuzzPerByte = 256
)

// FuzzRequest sends bytes to a server behind a port: whatever they are, the server must end
// the connection, allocate no more than a bound, and give back all that it has reserved.
func FuzzRequest(f *testing.F) {
	p := guard.NewPort(guard.Options{Name: "fuzz", Limits: guard.Limits{Connections: 8, Bytes: 4 << 20}, Clock: clockwork.NewRealClock(), Log: zap.NewNop()})
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if b, err := p.ReadBody(w, r, bodyLimit); err == nil {
			if n, err := guard.DecodedSize(b); err == nil {
				p.Reserve(r, n)
			}
		}
	})}
	p.Configure(srv)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f, err)
	go func() { _ = srv.Serve(p.Listener(l)) }()
	f.Cleanup(func() { _ = srv.Close() })
	for _, s := range []string{
		"", "\r\n\r\n\r\n\r\n\r\n\r\nGET / HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", post("/", "{}", 0), post("/", "{", 100),
		"GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\n", 4000), "GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx", "GET / HTTP/1.1\r\nHost: h\r\n x\r\n\x01: y\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;" + strings.Repeat("e", 5000) + "\r\na\r\n0\r\n" + strings.Repeat("t: v\r\n", 500) + "\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 18446744073709551616\r\n\r\n", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nxGET / HTTP/1.1\r\n",
		post("/", "["+strings.Repeat("{},", 30_000)+"{}]", 0), strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 100),
		"POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		c, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		assert.NilError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
		// The server may have ended the connection before all is written or read.
		_, _ = c.Write(b)
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
		for end := time.Now().Add(10 * time.Second); p.Usage() != (guard.Limits{}); time.Sleep(time.Millisecond) {
			assert.Assert(t, time.Now().Before(end), "still occupied: %+v", p.Usage())
		}
		runtime.ReadMemStats(&after)
		n := after.TotalAlloc - before.TotalAlloc
		assert.Assert(t, n <= uint64(fuzzBase+fuzzPerByte*len(b)), "%d bytes allocated for a request of %d", n, len(b))
	})
}
