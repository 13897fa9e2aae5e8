package link

import (
	"net"
	"net/netip"
	"sync"

	"github.com/jonboulle/clockwork"

	"cyclamenrelay.example/shape"
)

// shapedConn is the UDP socket of a node whose link has a known rate. Datagrams to the
// keepers go first; the others wait in their connections until the link has room, instead of
// in its queue.
type shapedConn struct {
	*net.UDPConn
	link  *shape.Link
	clock clockwork.Clock

	mu    sync.RWMutex
	first map[netip.AddrPort]bool
}

func newShapedConn(c *net.UDPConn, link *shape.Link, clock clockwork.Clock) *shapedConn {
	return &shapedConn{UDPConn: c, link: link, clock: clock, first: map[netip.AddrPort]bool{}}
}

// WriteMsgUDP implements quic.OOBCapablePacketConn. quic-go calls it for each connection on a
// goroutine of its own, so that a wait holds up the datagrams to one peer.
func (c *shapedConn) WriteMsgUDP(b, oob []byte, addr *net.UDPAddr) (n, oobn int, err error) {
	if wait := c.link.Admit(c.clock.Now(), len(b), c.goesFirst(addr)); wait > 0 {
		c.clock.Sleep(wait)
	}
	return c.UDPConn.WriteMsgUDP(b, oob, addr)
}

// goesFirst reports whether putFirst was called with the address.
func (c *shapedConn) goesFirst(addr *net.UDPAddr) bool {
	a := addr.AddrPort()
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.first[netip.AddrPortFrom(a.Addr().Unmap(), a.Port())]
}

// putFirst lets all datagrams to an IP address and UDP port go first.
func (c *shapedConn) putFirst(addr string) {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return // the dial will fail
	}
	c.mu.RLock()
	known := c.first[a]
	c.mu.RUnlock()
	if known {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.first[a] = true
}
