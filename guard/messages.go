package guard

import (
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
)

const (
	// messagesFraction is the part of the memory for messages between processes while they
	// are received, and minMessages leaves room for the largest configuration.
	messagesFraction = 32
	minMessages      = 4 << 20
	// windowFraction gives the data that one connection may have in transit, 2 MB on the
	// smallest machines: enough for the largest configuration within a round trip.
	windowFraction = 2
	// messageStep is the memory that a message gets at first, enough for most.
	messageStep = 2 << 10
)

// Messages bounds the memory of the messages of other processes that are being received. A
// nil *Messages sets no bound.
type Messages struct {
	limit   int64
	clock   clockwork.Clock
	log     *zap.Logger
	refused *metrics.Counter

	mu     sync.Mutex
	held   int64
	open   map[*message]struct{}
	logged time.Time
}

// message is one that is being received.
type message struct {
	held, bytes  int64
	began, moved time.Time
	cancel       func()
}

// Messages returns the bound for the links of the process, nil when the machine's memory is
// not known.
func (p Plan) Messages(log *zap.Logger) *Messages {
	if p.Memory == 0 {
		return nil
	}
	clock := p.Clock
	if clock == nil {
		clock = clockwork.NewRealClock()
	}
	return &Messages{
		limit: max(p.Memory/messagesFraction, minMessages), clock: clock, log: log, open: map[*message]struct{}{},
		refused: metrics.GetOrCreateCounter(`relay_guard_refused_total{port="link",reason="memory"}`),
	}
}

// Window returns the memory in bytes that one connection may fill with data that is not read
// yet, at most largest.
func (m *Messages) Window(largest int64) int64 {
	if m == nil {
		return largest
	}
	return min(largest, m.limit/windowFraction)
}

// Read reads a message of at most limit bytes to its end and calls use with it, while its
// memory is reserved. cancel must make a read in progress fail: it is called when another
// message needs the memory of this one and its sender is slow. The error is a
// trace.LimitExceeded when the message is too large or there is no memory for it.
func (m *Messages) Read(r io.Reader, limit int, cancel func(), use func([]byte) error) error {
	if m == nil {
		b, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
		if err != nil {
			return trace.Wrap(err)
		}
		return use(b)
	}
	now := m.clock.Now()
	msg := &message{began: now, moved: now, cancel: cancel}
	m.mu.Lock()
	m.open[msg] = struct{}{}
	m.mu.Unlock()
	defer m.close(msg)
	var b []byte
	for {
		if len(b) == cap(b) {
			if len(b) > limit {
				return trace.LimitExceeded("the message has more than %d bytes", limit)
			}
			size := min(max(messageStep, 2*cap(b)), limit+1)
			if !m.grow(msg, int64(size)) {
				return trace.LimitExceeded("too many messages are being received")
			}
			b = append(make([]byte, 0, size), b...)
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		m.progress(msg, n)
		if err == io.EOF {
			return use(b)
		}
		if err != nil {
			return trace.Wrap(err)
		}
	}
}

func (m *Messages) close(msg *message) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.remove(msg)
}

// remove forgets a message. The caller holds mu.
func (m *Messages) remove(msg *message) {
	if _, ok := m.open[msg]; ok {
		delete(m.open, msg)
		m.held -= msg.held
	}
}

func (m *Messages) progress(msg *message, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	msg.bytes += int64(n)
	msg.moved = m.clock.Now()
}

// grow reserves memory for a larger buffer of the message, after giving up slower messages
// if it has to. It returns false when there is too little, or when the message was itself
// given up.
func (m *Messages) grow(msg *message, size int64) bool {
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.open[msg]; !ok {
		return false
	}
	need := size - msg.held
	// A message that is larger than the bound is received when it is alone.
	for m.held+need > m.limit && m.held > msg.held {
		v := m.slowest(now, msg)
		if v == nil {
			m.note(now)
			return false
		}
		m.remove(v)
		m.note(now)
		go v.cancel()
	}
	m.held += need
	msg.held = size
	return true
}

// slowest returns the message with the lowest rate of those with a slow sender. The caller
// holds mu.
func (m *Messages) slowest(now time.Time, except *message) *message {
	var best *message
	var bestRate float64
	for msg := range m.open {
		took := now.Sub(msg.began)
		stalled := now.Sub(msg.moved) >= stallTime
		rate := 0.
		if !stalled {
			rate = float64(msg.bytes) / max(took.Seconds(), rateTime.Seconds())
		}
		if msg == except || (!stalled && (took < rateTime || rate >= minRate)) {
			continue
		}
		if best == nil || rate < bestRate || (rate == bestRate && msg.held > best.held) {
			best, bestRate = msg, rate
		}
	}
	return best
}

// note counts a message that was refused or given up, and logs it when the last line is old
// enough. The caller holds mu.
func (m *Messages) note(now time.Time) {
	m.refused.Inc()
	if now.Sub(m.logged) < logInterval {
		return
	}
	m.logged = now
	m.log.Warn("message refused", zap.String("port", "link"), zap.String("reason", "memory"), zap.Int64("bytes", m.held), zap.Int("messages", len(m.open)))
}
