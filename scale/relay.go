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

// trafficCounter counts the packets between two processes and their bytes,
// including IP and UDP headers.
type trafficCounter struct{ bytes, packets atomic.Int64 }

func (c *trafficCounter) countPacket(n int) {
	c.bytes.Add(int64(n + packetHeaders))
	c.packets.Add(1)
}

// relay forwards UDP between one process and its peers and counts the traffic
// by the peer's address.
type relay struct {
	listener *net.UDPConn
	to       *net.UDPAddr

	mu    sync.Mutex
	peers map[netip.AddrPort]*relayPeer
}

type relayPeer struct {
	conn *net.UDPConn
	trafficCounter
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
	if r.listener, err = net.ListenUDP("udp", l); err != nil {
		return nil, trace.Wrap(err)
	}
	go r.forward()
	return r, nil
}

func (r *relay) forward() {
	b := make([]byte, maxPacket)
	for {
		n, from, err := r.listener.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if p := r.peer(from); p != nil {
			p.countPacket(n)
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
	go r.returnPackets(p, from)
	return p
}

func (r *relay) returnPackets(p *relayPeer, to netip.AddrPort) {
	b := make([]byte, maxPacket)
	for {
		n, err := p.conn.Read(b)
		if err != nil {
			return
		}
		p.countPacket(n)
		_, _ = r.listener.WriteToUDPAddrPort(b[:n], to)
	}
}

// trafficWith returns the bytes and packets in both directions between the
// process and the peer with the address.
func (r *relay) trafficWith(from string) (bytes, packets int64) {
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
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.peers {
		_ = p.conn.Close()
	}
}
