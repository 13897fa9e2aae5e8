// Package shape decides when the datagrams of a process may be sent over a link of a known
// rate. It does no I/O and reads no clock.
package shape

import (
	"sync"
	"time"
)

const (
	// usable is the part of the link's rate for what is shaped. The rest is for answers to
	// callers, acknowledgements and what goes first.
	usable = 0.85
	// burst is the time for which an idle link may be used at once.
	burst = 20 * time.Millisecond
	// overhead is the size of the IP and UDP headers of a datagram, and datagramBytes that
	// of a full one, as a write may hold several.
	overhead      = 28
	datagramBytes = 1252
)

// Link spreads datagrams over time, so that they wait in the process and not on the link:
// what goes first is sent at once, and finds the link's queue short. It is safe for concurrent
// use.
type Link struct {
	rate float64 // of what is shaped, bytes a second

	mu   sync.Mutex
	free time.Time // when all that was admitted has been sent
}

// NewLink returns a link of the given rate in bytes a second, or nil for a rate of 0, which
// stands for an unknown one.
func NewLink(rate float64) *Link {
	if rate <= 0 {
		return nil
	}
	return &Link{rate: usable * rate}
}

// Admit returns how long a write of n bytes has to wait, 0 for one that goes first. Both count
// as sent. A nil link has room for everything.
func (l *Link) Admit(now time.Time, n int, first bool) (wait time.Duration) {
	if l == nil {
		return 0
	}
	datagrams := (n + datagramBytes - 1) / datagramBytes
	need := time.Duration(float64(n+datagrams*overhead) / l.rate * float64(time.Second))
	l.mu.Lock()
	defer l.mu.Unlock()
	if earliest := now.Add(-burst); l.free.Before(earliest) {
		l.free = earliest
	}
	l.free = l.free.Add(need)
	if first {
		return 0
	}
	return max(0, l.free.Sub(now))
}
