package main

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/gravitational/trace"
)

const (
	packetHeaders = 28 // bytes of the IP and UDP headers
	maxPacket     = 1 << 16
)

// counter counts what passes between two processes, headers included.
type counter struct{ bytes, packets atomic.Int64 }

func (c *counter) note(n int) {
	c.bytes.Add(int64(n + packetHeaders))
	c.packets.Add(1)
}

// relay forwards UDP to one process and counts it by the other process's address.
type relay struct {
	front *net.UDPConn
	to    *net.UDPAddr

	mu    sync.Mutex
	peers map[netip.AddrPort]*relayPeer
}

type relayPeer struct {
	conn *net.UDPConn
	counter
}

func newRelay(listen, to string) (*relay, error) {
	l, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	r := &relay{peers: map[netip.AddrPort]*relayPeer{}}
	if r.to, err = net.ResolveUDPAddr("udp", to); err != nil {
		return nil, trace.Wrap(err)
	}
	if r.front, err = net.ListenUDP("udp", l); err != nil {
		return nil, trace.Wrap(err)
	}
	go r.forward()
	return r, nil
}

func (r *relay) forward() {
	b := make([]byte, maxPacket)
	for {
		n, from, err := r.front.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if p := r.peer(from); p != nil {
			p.note(n)
			_, _ = p.conn.Write(b[:n])
		}
	}
}

func (r *relay) peer(from netip.AddrPort) *relayPeer {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.peers[from]; p != nil {
		return p
	}
	c, err := net.DialUDP("udp", nil, r.to)
	if err != nil {
		return nil
	}
	p := &relayPeer{conn: c}
	r.peers[from] = p
	go r.back(p, from)
	return p
}

func (r *relay) back(p *relayPeer, to netip.AddrPort) {
	b := make([]byte, maxPacket)
	for {
		n, err := p.conn.Read(b)
		if err != nil {
			return
		}
		p.note(n)
		_, _ = r.front.WriteToUDPAddrPort(b[:n], to)
	}
}

// passed returns the bytes and packets between the process and the one that
// listens at the address, both ways.
func (r *relay) passed(from string) (bytes, packets int64) {
	a, err := netip.ParseAddrPort(from)
	if err != nil {
		return 0, 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.peers[a]; p != nil {
		return p.bytes.Load(), p.packets.Load()
	}
	return 0, 0
}

func (r *relay) close() {
	_ = r.front.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.peers {
		_ = p.conn.Close()
	}
}
