package guard

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

// phase is what a connection's client and the process are at.
type phase int

const (
	reading  phase = iota // the head of a request
	handling              // the handler runs
	body                  // the handler reads the body
	ending                // the handler has returned, the answer is sent and the body skipped
	idle                  // between two requests
)

const (
	// writeTimeout bounds the time for a part of an answer, of at most writePart bytes, to
	// be sent.
	writeTimeout = 15 * time.Second
	writePart    = 64 << 10
	// requestTime is the time for an operator's request over an encrypted connection.
	requestTime = 15 * time.Second
	// answerTimeout bounds the sending of a refusal. It fits in the socket's empty buffer.
	answerTimeout = 10 * time.Millisecond
)

// conn is a connection of a Port.
type conn struct {
	net.Conn
	port  *Port
	addr  netip.Addr
	began time.Time
	held  int64 // bytes, guarded by port.mu

	mu sync.Mutex
	// opaque is set when the content is encrypted, so that heads can't be read here.
	opaque bool
	phase  phase
	moved  time.Time // of the last progress
	since  time.Time // start of the phase
	bytes  int64     // read or written in the phase
	head   head
	left   int64 // bytes of the body that are still to be read, -1 if unknown
	writes bool  // a write is in progress
	// pipelined is set when the client has sent a part of another request before the answer.
	pipelined bool
	closed    bool
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, trace.NotImplemented("the connection has no descriptor")
	}
	return sc.SyscallConn()
}

// Read implements net.Conn. It refuses heads that pass a limit, before net/http gets them.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	c.progress(int64(n))
	scan := !c.opaque && (c.phase == reading || c.phase == idle)
	if !scan {
		if c.left >= 0 && !c.opaque {
			// One byte is the read by which net/http notices the end of a connection.
			c.left -= int64(n)
			c.pipelined = c.pipelined || (c.left < 0 && n > 1)
		}
		c.mu.Unlock()
		return n, err
	}
	if c.phase == idle {
		c.enter(reading)
	}
	lines, bytes := c.head.scan(b[:n])
	lead, total, size := c.head.lead, c.head.lines, c.head.bytes
	c.mu.Unlock()
	switch {
	case lead > maxLead:
		return c.refuse("emptyLines", answerMalformed)
	case total > maxLines:
		return c.refuse("headerLines", answerLines)
	case int64(size) > c.port.maxHead.Load()+headSlop:
		return c.refuse("headerBytes", c.port.headAnswer())
	case !c.port.reserve(c, int64(lines*lineBytes+bytes*byteCost)):
		return c.refuse("", answerBusy)
	}
	return n, err
}

// refuse answers in place of net/http and ends the connection.
func (c *conn) refuse(reason, answer string) (int, error) {
	if reason != "" {
		c.port.note(reason, c)
	}
	refuse(c.Conn, c.port.opts.Clock.Now(), answer)
	return 0, io.EOF
}

// refuse sends an answer without waiting for the client to read it.
func refuse(c net.Conn, now time.Time, answer string) {
	_ = c.SetWriteDeadline(now.Add(answerTimeout))
	_, _ = c.Write([]byte(answer))
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}

// Write implements net.Conn. It fails when the client does not read.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.writes = true
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		c.writes = false
		c.mu.Unlock()
	}()
	written := 0
	for {
		if err := c.SetWriteDeadline(c.port.opts.Clock.Now().Add(writeTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(b[written:min(len(b), written+writePart)])
		written += n
		c.mu.Lock()
		c.progress(int64(n))
		c.mu.Unlock()
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.port.remove(c)
	return c.Conn.Close()
}

// evict closes the connection in favour of another one. A client that is still sending its
// request is told so.
func (c *conn) evict(now time.Time) {
	c.mu.Lock()
	sending := !c.opaque && !c.writes && (c.phase == body || (c.phase == reading && c.head.lines > 0))
	c.mu.Unlock()
	if sending {
		refuse(c.Conn, now, answerSlow)
	}
	_ = c.Close()
}

// progress records that n bytes were read or written. The caller holds mu.
func (c *conn) progress(n int64) {
	if n > 0 {
		c.moved = c.port.opts.Clock.Now()
		c.bytes += n
	}
}

// enter begins a phase. The caller holds mu.
func (c *conn) enter(p phase) {
	now := c.port.opts.Clock.Now()
	c.phase, c.since, c.moved, c.bytes = p, now, now, 0
}

// waits reports whether the process waits for the client. The caller holds mu.
func (c *conn) waits() bool { return c.phase != handling || c.writes }

// idle returns the time since the last progress, and whether the connection may be closed
// for another one: no request is in progress, or its client has stalled.
func (c *conn) idle(now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := now.Sub(c.moved)
	if c.opaque {
		// The requests of an encrypted connection are not seen here. All end within requestTime.
		return d, c.bytes == 0 || d >= requestTime
	}
	if c.phase == reading || c.phase == idle {
		return d, true
	}
	return d, c.waits() && d >= stallTime
}

// slow returns the rate of the client in bytes a second, and whether it may lose its memory.
func (c *conn) slow(now time.Time) (int64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.waits() {
		return 0, false
	}
	since := c.since
	if since.IsZero() {
		since = c.began
	}
	if now.Sub(c.moved) >= stallTime {
		return 0, true
	}
	took := now.Sub(since)
	if took < rateTime {
		return 0, false
	}
	rate := int64(float64(c.bytes) / took.Seconds())
	return rate, rate < minRate
}

// beginRequest is called when the handler starts. length is the size of the body, -1 if
// unknown. It returns false when the connection has been closed.
func (c *conn) beginRequest(length int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left = length
	if length >= 0 {
		c.left -= int64(c.head.after)
		c.pipelined = c.pipelined || c.left < 0
	}
	c.enter(handling)
	return !c.closed
}

// endRequest is called when the handler has returned.
func (c *conn) endRequest() {
	c.mu.Lock()
	c.enter(ending)
	c.mu.Unlock()
	c.port.release(c, c.port.heldBy(c))
	// net/http skips the rest of a body, without a limit of time.
	_ = c.SetReadDeadline(c.port.opts.Clock.Now().Add(headerTimeout))
}

// becomeIdle is called when net/http awaits the next request.
func (c *conn) becomeIdle() {
	c.mu.Lock()
	c.enter(idle)
	c.head, c.left = head{}, 0
	pipelined := c.pipelined
	c.mu.Unlock()
	if pipelined {
		_ = c.Close()
	}
}

func (p *Port) heldBy(c *conn) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.held
}

func (c *conn) setOpaque() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.opaque = true
}
