package guard

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
)

const (
	// DefaultMaxHead bounds the head of a request, in bytes, where a configuration sets no
	// other limit.
	DefaultMaxHead = 16 << 10
	// headSlop is added to the limit of a head for the request line, as net/http does.
	headSlop = 4 << 10
	// maxLines bounds the header lines of a request. Each costs hundreds of bytes however
	// short it is.
	maxLines = 256
	// lineBytes is what net/http takes for a header line beside its text, and byteCost how
	// often it holds the text.
	lineBytes = 256
	byteCost  = 2

	// smallRequest is the size in bytes up to which a request may use the last part of a
	// port's memory, 1/smallFraction, so that large ones can't keep small ones out.
	smallRequest  = 16 << 10
	smallFraction = 8

	// stallTime is the time without progress after which a client may lose its place.
	stallTime = 500 * time.Millisecond
	// rateTime is the time over which the rate of a sender is measured, and minRate the rate
	// in bytes a second below which it counts as slow. Slow clients lose their place only
	// when another one needs it.
	rateTime = time.Second
	minRate  = 16 << 10
	// sample is the number of connections from which the one to close is chosen.
	sample = 64
	// logInterval is the shortest time between two log lines of the same reason.
	logInterval = 10 * time.Second
)

// Options configure a Port.
type Options struct {
	Name   string
	Limits Limits
	Clock  clockwork.Clock
	Log    *zap.Logger
}

// Port bounds what the clients of one listener occupy.
type Port struct {
	opts    Options
	maxHead atomic.Int64
	// headLimitKnown tells whether maxHead is in force, nil if it always is.
	headLimitKnown atomic.Pointer[func() bool]

	mu     sync.Mutex
	held   int64 // bytes
	conns  map[*conn]struct{}
	byAddr map[netip.Addr]int
	notes  map[string]*note
}

// note counts the refusals of one reason between two log lines.
type note struct {
	counter *metrics.Counter
	count   int
	logged  time.Time
}

// NewPort returns the guard of a listener.
func NewPort(o Options) *Port {
	p := &Port{opts: o, conns: map[*conn]struct{}{}, byAddr: map[netip.Addr]int{}, notes: map[string]*note{}}
	p.maxHead.Store(DefaultMaxHead)
	metrics.GetOrCreateGauge(`relay_guard_bytes{port="`+o.Name+`"}`, func() float64 { return float64(p.Usage().Bytes) })
	metrics.GetOrCreateGauge(`relay_guard_connections{port="`+o.Name+`"}`, func() float64 { return float64(p.Usage().Connections) })
	return p
}

// Usage returns what the clients of the port occupy now.
func (p *Port) Usage() Limits {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Limits{Connections: len(p.conns), Bytes: p.held}
}

// SetMaxHead sets the limit of a request's head in bytes; 0 restores the default.
func (p *Port) SetMaxHead(n int) {
	if n <= 0 {
		n = DefaultMaxHead
	}
	p.maxHead.Store(int64(min(n, maxHeadBytes)))
}

// SetHeadLimitKnown makes heads beyond the limit get 503 in place of 431 while known returns
// false: the limit may have been raised.
func (p *Port) SetHeadLimitKnown(known func() bool) { p.headLimitKnown.Store(&known) }

// headAnswer returns the answer to a head beyond the limit.
func (p *Port) headAnswer() string {
	if known := p.headLimitKnown.Load(); known != nil && !(*known)() {
		return answerHeadLater
	}
	return answerHead
}

// Listen listens on a TCP address.
func (p *Port) Listen(addr string) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return p.Listener(l), nil
}

// Listener returns l with the limits of the port.
func (p *Port) Listener(l net.Listener) net.Listener { return &listener{l, p} }

type listener struct {
	net.Listener
	port *Port
}

// Accept implements net.Listener. When the places are taken, the connection of the client
// that has made no progress for the longest time is closed. Without such a client the new
// one is refused.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if g := l.port.admit(c); g != nil {
			return g, nil
		}
		refuse(c, l.port.opts.Clock.Now(), answerBusy)
		_ = c.Close()
	}
}

// admit registers a connection, nil when no place can be had.
func (p *Port) admit(nc net.Conn) *conn {
	now := p.opts.Clock.Now()
	c := &conn{Conn: nc, port: p, began: now, moved: now}
	if a, err := netip.ParseAddrPort(nc.RemoteAddr().String()); err == nil {
		c.addr = a.Addr().Unmap()
	}
	p.mu.Lock()
	var victim *conn
	if len(p.conns) >= p.opts.Limits.Connections {
		if victim = p.slowest(now); victim == nil {
			p.mu.Unlock()
			p.note("connections", nc)
			return nil
		}
		p.removeLocked(victim)
	}
	p.conns[c] = struct{}{}
	p.byAddr[c.addr]++
	p.mu.Unlock()
	if victim != nil {
		p.note("connections", victim)
		victim.evict(now)
	}
	return c
}

// slowest returns the connection to close for a new one, nil for none: of those without a
// request in progress or with a stalled one, one of an address that has many places, and
// of these the one that has made no progress for the longest time. The caller holds mu.
func (p *Port) slowest(now time.Time) *conn {
	var best *conn
	var bestMany bool
	var bestIdle time.Duration
	seen := 0
	for c := range p.conns { // in random order
		idle, ok := c.idle(now)
		seen++
		if ok {
			many := p.byAddr[c.addr] > p.opts.Limits.Connections/2
			if best == nil || (many && !bestMany) || (many == bestMany && idle > bestIdle) {
				best, bestMany, bestIdle = c, many, idle
			}
		}
		if seen >= sample && best != nil {
			break
		}
	}
	return best
}

// remove forgets a connection and what it holds.
func (p *Port) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeLocked(c)
}

func (p *Port) removeLocked(c *conn) {
	if _, ok := p.conns[c]; !ok {
		return
	}
	delete(p.conns, c)
	if p.byAddr[c.addr]--; p.byAddr[c.addr] == 0 {
		delete(p.byAddr, c.addr)
	}
	p.held -= c.held
	c.held = 0
}

// reserve charges n bytes to the connection, unless the port has too few left and no slower
// client can be made to give up its own.
func (p *Port) reserve(c *conn, n int64) bool {
	now := p.opts.Clock.Now()
	p.mu.Lock()
	if _, ok := p.conns[c]; !ok {
		p.mu.Unlock()
		return false
	}
	limit := p.opts.Limits.Bytes
	if c.held+n > smallRequest {
		limit -= limit / smallFraction
	}
	var victims []*conn
	for p.held+n > limit {
		v := p.slowestHolder(now, c)
		if v == nil {
			break
		}
		p.removeLocked(v)
		victims = append(victims, v)
	}
	ok := p.held+n <= limit
	if ok {
		p.held += n
		c.held += n
	}
	p.mu.Unlock()
	for _, v := range victims {
		p.note("slow", v)
		v.evict(now)
	}
	if !ok {
		p.note("memory", c)
	}
	return ok
}

// slowestHolder returns the connection with the lowest rate, of those that hold memory
// while their client is slow or stalled. The caller holds mu.
func (p *Port) slowestHolder(now time.Time, except *conn) *conn {
	var best *conn
	var bestRate int64
	for c := range p.conns {
		if c == except || c.held == 0 {
			continue
		}
		if rate, ok := c.slow(now); ok && (best == nil || rate < bestRate || (rate == bestRate && c.held > best.held)) {
			best, bestRate = c, rate
		}
	}
	return best
}

// release gives back n bytes of the connection, at most what it holds.
func (p *Port) release(c *conn, n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n = min(n, c.held)
	p.held -= n
	c.held -= n
}

// note counts a refusal, and logs it when the last line with the same reason is old enough.
func (p *Port) note(reason string, c net.Conn) {
	now := p.opts.Clock.Now()
	p.mu.Lock()
	n := p.notes[reason]
	if n == nil {
		n = &note{counter: metrics.GetOrCreateCounter(`relay_guard_refused_total{port="` + p.opts.Name + `",reason="` + reason + `"}`)}
		p.notes[reason] = n
	}
	n.counter.Inc()
	n.count++
	count := n.count
	due := n.logged.IsZero() || now.Sub(n.logged) >= logInterval
	if due {
		n.logged, n.count = now, 0
	}
	held, conns := p.held, len(p.conns)
	p.mu.Unlock()
	if due {
		p.opts.Log.Warn("client refused", zap.String("port", p.opts.Name), zap.String("reason", reason), zap.Int("count", count),
			zap.String("last", c.RemoteAddr().String()), zap.Int64("bytes", held), zap.Int("connections", conns))
	}
}
