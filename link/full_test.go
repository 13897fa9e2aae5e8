package link_test

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/polls"
	"cyclamenrelay.example/wire"
)

const (
	narrowRate = 250_000                // bytes a second: 2 Mbit/s
	narrowWait = 600 * time.Millisecond // the longest wait in the queue; what comes then is dropped
	narrowSize = narrowRate * int(narrowWait/time.Millisecond) / 1000
)

// narrowLink is the uplink of a host: all datagrams to its forwarders share one queue, which
// is emptied at narrowRate. Answers take no time.
type narrowLink struct {
	t      *testing.T
	queue  chan func() int // sends a datagram and returns its size
	queued atomic.Int64    // bytes
}

func newNarrowLink(t *testing.T) *narrowLink {
	n := &narrowLink{t: t, queue: make(chan func() int, 10_000)}
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		free := time.Now()
		for {
			select {
			case <-done:
				return
			case send := <-n.queue:
				size := send()
				// A sleep that took too long is made up for.
				if earliest := time.Now().Add(-100 * time.Millisecond); free.Before(earliest) {
					free = earliest
				}
				free = free.Add(time.Duration(size) * time.Second / narrowRate)
				time.Sleep(time.Until(free))
				n.queued.Add(int64(-size))
			}
		}
	}()
	return n
}

// forward returns an address that stands for the other one behind the link.
func (n *narrowLink) forward(to string) string {
	ln, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(n.t, err)
	c, err := net.Dial("udp", to)
	assert.NilError(n.t, err)
	n.t.Cleanup(func() {
		_ = ln.Close()
		_ = c.Close()
	})
	var host atomic.Pointer[net.UDPAddr]
	go func() {
		b := make([]byte, 65536)
		for {
			k, err := c.Read(b)
			if err != nil {
				return
			}
			_, _ = ln.WriteToUDP(b[:k], host.Load())
		}
	}()
	go func() {
		b := make([]byte, 65536)
		for {
			k, from, err := ln.ReadFromUDP(b)
			if err != nil {
				return
			}
			host.Store(from)
			datagram := append([]byte(nil), b[:k]...)
			if n.queued.Load()+int64(k) > int64(narrowSize) {
				continue
			}
			n.queued.Add(int64(k))
			n.queue <- func() int {
				_, _ = c.Write(datagram)
				return len(datagram)
			}
		}
	}()
	return ln.LocalAddr().String()
}

// startAt runs a node on a link of the given rate until the test ends.
func startAt(t *testing.T, id *keys.Identity, rate float64, register func(*link.Mux)) *link.Node {
	return startWith(t, link.Options{Keys: id, Rate: rate, CloseWait: time.Millisecond}, register)
}

// TestFullLinkDelaysNoPoll guards against polls of the configuration that wait behind an
// entry's starts on a full link: the entry refused requests by an old configuration.
func TestFullLinkDelaysNoPoll(t *testing.T) {
	a := newTestCA(t)
	up := newNarrowLink(t)
	keeper := startAt(t, a.identity("keeper-1", keys.Keeper), 0, serveFindNodes)
	to := link.Dest{Address: up.forward(keeper.Address()), Role: keys.Keeper}
	entry := startAt(t, a.identity("entry-1", keys.Entry), narrowRate, nil)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	starts := wire.FindNodes{Self: wire.Node{Name: strings.Repeat("x", 1000)}}
	for _, name := range []string{"agent-1", "agent-2", "agent-3", "agent-4", "agent-5", "agent-6"} {
		agent := link.Dest{Address: up.forward(startAt(t, a.identity(name, keys.Agent), 0, nil).Address())}
		for range 8 {
			go func() {
				for ctx.Err() == nil {
					_ = entry.Post(ctx, agent, starts)
				}
			}()
		}
	}
	call := func() time.Duration {
		ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
		defer cancel()
		began := time.Now()
		_, err := entry.Call(ctx, to, wire.FindNodes{})
		assert.NilError(t, err)
		return time.Since(began)
	}
	call() // the link is not full yet
	time.Sleep(time.Second)
	allowed := 2 * polls.Limits{InForce: 2500 * time.Millisecond, Tolerance: 2}.Way()
	for range 30 {
		took := call()
		assert.Assert(t, took <= allowed, "a call took %v, %d bytes wait on the link", took, up.queued.Load())
		time.Sleep(50 * time.Millisecond)
	}
}
