package guard

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
)

const (
	headerTimeout = 3 * time.Second
	idleTimeout   = 15 * time.Second
	// bodyTimeout bounds the time without any byte of a body.
	bodyTimeout = 15 * time.Second
	// maxHeadBytes is the largest head that SetMaxHead allows.
	maxHeadBytes = 64 << 10
	// bodyStep is the memory that is reserved at once for a body of unknown size.
	bodyStep = 16 << 10
	// retryAfter is in the refusals for lack of memory or places, in seconds.
	retryAfter = "1"
)

// Answers to requests that net/http does not get to see.
const (
	answerEnd       = "Content-Type: application/json\r\nConnection: close\r\n\r\n"
	answerBusy      = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: " + retryAfter + "\r\n" + answerEnd + `{"error":"too many requests are in progress"}`
	answerSlow      = "HTTP/1.1 408 Request Timeout\r\n" + answerEnd + `{"error":"the request came too slowly"}`
	answerLines     = "HTTP/1.1 431 Request Header Fields Too Large\r\n" + answerEnd + `{"error":"the request has more than 256 header lines"}`
	answerHead      = "HTTP/1.1 431 Request Header Fields Too Large\r\n" + answerEnd + `{"error":"the head of the request is too large"}`
	answerHeadLater = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: " + retryAfter + "\r\n" + answerEnd + `{"error":"the head of the request is too large, by a limit that may be outdated"}`
	answerMalformed = "HTTP/1.1 400 Bad Request\r\n" + answerEnd + `{"error":"empty lines in place of a request"}`
)

type connKey struct{}

func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// unwrap returns the connection of the port below a TLS connection.
func unwrap(nc net.Conn) *conn {
	if t, ok := nc.(*tls.Conn); ok {
		nc = t.NetConn()
	}
	c, _ := nc.(*conn)
	return c
}

// Configure sets up srv, which must be run by a listener of the port. Time-outs that srv has
// already are kept.
func (p *Port) Configure(srv *http.Server) {
	if srv.MaxHeaderBytes == 0 {
		srv.MaxHeaderBytes = maxHeadBytes
	}
	if srv.ReadHeaderTimeout == 0 {
		srv.ReadHeaderTimeout = headerTimeout
	}
	if srv.IdleTimeout == 0 {
		srv.IdleTimeout = idleTimeout
	}
	srv.Handler = p.handler(srv.Handler)
	outer := srv.ConnContext
	srv.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		if outer != nil {
			ctx = outer(ctx, nc)
		}
		c := unwrap(nc)
		if _, encrypted := nc.(*tls.Conn); encrypted && c != nil {
			c.setOpaque()
		}
		return context.WithValue(ctx, connKey{}, c)
	}
	srv.ConnState = func(nc net.Conn, s http.ConnState) {
		if c := unwrap(nc); c != nil && s == http.StateIdle {
			c.becomeIdle()
		}
	}
}

// handler returns h with the beginning and end of each request recorded.
func (p *Port) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if c == nil || r.ProtoMajor != 1 {
			h.ServeHTTP(w, r)
			return
		}
		if !c.beginRequest(r.ContentLength) {
			panic(http.ErrAbortHandler) // nobody would get the answer
		}
		defer c.endRequest()
		c.closeIfPipelined(w, r)
		h.ServeHTTP(w, r)
	})
}

// closeIfPipelined has the connection closed after the answer when the client sends requests
// before it has read the answer, or may do so. The heads of such requests would be read
// without being counted.
func (c *conn) closeIfPipelined(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pipelined || r.ContentLength < 0 {
		w.Header().Set("Connection", "close")
	}
}

// ReadBody reads the body of a request. Its memory is reserved before it is read, and held
// until the handler returns or Release is called. The error is a trace.LimitExceeded when the
// body is larger than limit, a trace.ConnectionProblem when the port has no memory for it, and
// any other when it could not be read.
func (p *Port) ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	c := connOf(r.Context())
	if r.ContentLength > limit {
		return nil, trace.LimitExceeded("the body has more than %d bytes", limit)
	}
	if c == nil {
		return readBody(r.Body, limit, r.ContentLength, func(int64) bool { return true }, func() {})
	}
	c.mu.Lock()
	c.enter(body)
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		c.enter(handling)
		c.mu.Unlock()
	}()
	b, err := readBody(r.Body, limit, r.ContentLength, func(n int64) bool { return p.reserve(c, n) }, func() {
		_ = c.SetReadDeadline(p.opts.Clock.Now().Add(bodyTimeout))
	})
	if err == nil {
		_ = c.SetReadDeadline(time.Time{})
	}
	c.closeIfPipelined(w, r)
	return b, err
}

// readBody reads a body of the given length, or of an unknown one if it is negative.
func readBody(r io.Reader, limit, length int64, reserve func(int64) bool, progress func()) ([]byte, error) {
	noMemory := trace.ConnectionProblem(nil, "too many requests are in progress")
	size := length
	if size < 0 {
		size = min(bodyStep, limit+1)
	}
	if !reserve(size) {
		return nil, noMemory
	}
	b := make([]byte, 0, size)
	for {
		if len(b) == cap(b) {
			if length >= 0 {
				return b, nil
			}
			if int64(len(b)) > limit {
				return nil, trace.LimitExceeded("the body has more than %d bytes", limit)
			}
			// The old buffer is garbage until the next collection.
			size = min(2*int64(cap(b)), limit+1)
			if !reserve(size) {
				return nil, noMemory
			}
			b = append(make([]byte, 0, size), b...)
		}
		progress()
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if err == io.EOF {
			if int64(len(b)) > limit {
				return nil, trace.LimitExceeded("the body has more than %d bytes", limit)
			}
			return b, nil
		}
		if err != nil {
			return nil, trace.BadParameter("the body could not be read: %v", err)
		}
	}
}

// Reserve charges n bytes to a request until its handler returns. It reports whether the port
// has them.
func (p *Port) Reserve(r *http.Request, n int64) bool {
	c := connOf(r.Context())
	return c == nil || p.reserve(c, n)
}

// Release gives back n bytes of a request.
func (p *Port) Release(r *http.Request, n int64) {
	if c := connOf(r.Context()); c != nil {
		p.release(c, n)
	}
}

// Serve runs srv, which Configure has set up, on its address.
func (p *Port) Serve(srv *http.Server) error {
	l, err := p.Listen(srv.Addr)
	if err != nil {
		return err
	}
	return srv.Serve(l)
}

// Busy prepares the answer to a request that the port has no memory for.
func Busy(w http.ResponseWriter) {
	w.Header().Set("Retry-After", retryAfter)
	w.Header().Set("Connection", "close")
}
