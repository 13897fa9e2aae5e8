package fault

import (
	"net"
	"slices"
	"sync"
	"time"
)

const (
	maxQueuedPackets = 4096 // packets in flight in one direction
	packetBytes      = 64 << 10
	tcpReadBytes     = 32 << 10
	maxSessions      = 4096 // UDP clients of a link
	idleTimeout      = 2 * time.Minute
	// reorderDelay is the extra delay of a reordered packet, so that later packets overtake it.
	reorderDelay = 5 * time.Millisecond
)

type packet struct {
	data []byte
	due  time.Time
}

// pipe queues the packets of one direction of a connection and delivers them
// in order, each once it is due and the rule lets it pass.
type pipe struct {
	parentLink *link
	source     string // the client's address
	backward   bool
	holdOnCut  bool // whether a cut holds packets back
	queue      chan packet
	write      func([]byte) error
}

func (l *link) newPipe(source string, back, hold bool, write func([]byte) error) *pipe {
	return &pipe{parentLink: l, source: source, backward: back, holdOnCut: hold, queue: make(chan packet, maxQueuedPackets), write: write}
}

// run delivers packets until the queue is closed, the link is closed or a write fails.
func (p *pipe) run() {
	for pkt := range p.queue {
		if !p.waitToDeliver(pkt.due) || p.write(pkt.data) != nil {
			return
		}
	}
}

// waitToDeliver waits until the due time has come and no rule holds packets
// back. It returns false when the link is closed.
func (p *pipe) waitToDeliver(due time.Time) bool {
	for {
		r, changed := p.parentLink.rule(p.source, p.backward)
		left := due.Sub(p.parentLink.clock.Now())
		if left <= 0 && !p.holdsBack(r) {
			return true
		}
		if left <= 0 {
			left = time.Hour
		}
		timer := p.parentLink.clock.NewTimer(left)
		select {
		case <-timer.Chan():
		case <-changed:
		case <-p.parentLink.closed:
			timer.Stop()
			return false
		}
		timer.Stop()
	}
}

func (p *pipe) holdsBack(r Rule) bool { return r.Freeze || (r.Cut && p.holdOnCut) }

// enqueueDatagram applies loss, duplication, reordering and delay to a UDP
// packet and queues it; a full queue drops it.
func (p *pipe) enqueueDatagram(b []byte) {
	r, _ := p.parentLink.rule(p.source, p.backward)
	if r.Cut || p.parentLink.withProbability(r.Loss) {
		return
	}
	n := 1
	if p.parentLink.withProbability(r.Duplicate) {
		n = 2
	}
	for range n {
		d := p.parentLink.drawDelay(r)
		if p.parentLink.withProbability(r.Reorder) {
			p.parentLink.clock.AfterFunc(d+reorderDelay, func() { p.deliverReordered(b) })
			continue
		}
		select {
		case p.queue <- packet{b, p.parentLink.clock.Now().Add(d)}:
		default:
		}
	}
}

// deliverReordered writes a packet past the queue, or drops it when the rule
// is now cut or freeze.
func (p *pipe) deliverReordered(b []byte) {
	if r, _ := p.parentLink.rule(p.source, p.backward); !r.Cut && !r.Freeze {
		_ = p.write(b)
	}
}

func (l *link) listenTCP() error {
	ln, err := net.Listen("tcp", l.cfg.Listen)
	if err != nil {
		return err
	}
	l.addr = ln.Addr()
	l.track(ln)
	l.wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if l.track(c) {
				l.wg.Go(func() { l.relayTCP(c) })
			}
		}
	})
	return nil
}

func (l *link) relayTCP(c net.Conn) {
	defer l.closeTracked(c)
	if !l.newPipe(c.RemoteAddr().String(), false, true, nil).waitToDeliver(l.clock.Now()) {
		return
	}
	to, err := net.Dial("tcp", l.cfg.To)
	if err != nil || !l.track(to) {
		return
	}
	defer l.closeTracked(to)
	var wg sync.WaitGroup
	source := c.RemoteAddr().String()
	wg.Go(func() { l.copyTCP(source, c, to, false) })
	wg.Go(func() { l.copyTCP(source, to, c, true) })
	wg.Wait()
}

// copyTCP relays one direction of a connection until its end, then closes the
// receiving side for writing.
func (l *link) copyTCP(source string, from, to net.Conn, back bool) {
	p := l.newPipe(source, back, true, func(b []byte) error {
		_, err := to.Write(b)
		return err
	})
	deliveryEnded := make(chan struct{})
	go func() {
		defer close(deliveryEnded)
		p.run()
		if c, ok := to.(*net.TCPConn); ok {
			_ = c.CloseWrite()
		}
	}()
	defer func() { <-deliveryEnded }()
	defer close(p.queue)
	buf := make([]byte, tcpReadBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			r, _ := l.rule(source, back)
			select {
			case p.queue <- packet{slices.Clone(buf[:n]), l.clock.Now().Add(l.drawDelay(r))}:
			case <-deliveryEnded:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (l *link) listenUDP() error {
	addr, err := net.ResolveUDPAddr("udp", l.cfg.Listen)
	if err != nil {
		return err
	}
	ln, err := net.ListenUDP("udp", addr)
	if err != nil {
		return err
	}
	l.addr = ln.LocalAddr()
	l.track(ln)
	l.wg.Go(func() { l.relayUDP(ln) })
	return nil
}

// relayUDP relays the packets of clients, over one socket per client towards
// the address To.
func (l *link) relayUDP(ln *net.UDPConn) {
	var mu sync.Mutex
	sessions := map[string]*pipe{}
	buf := make([]byte, packetBytes)
	for {
		n, client, err := ln.ReadFromUDP(buf)
		if err != nil {
			return
		}
		key := client.String()
		mu.Lock()
		p := sessions[key]
		full := len(sessions) >= maxSessions
		mu.Unlock()
		if p == nil && !full {
			if p = l.dialUDP(ln, client, func() {
				mu.Lock()
				defer mu.Unlock()
				delete(sessions, key)
			}); p != nil {
				mu.Lock()
				sessions[key] = p
				mu.Unlock()
			}
		}
		if p != nil {
			p.enqueueDatagram(append([]byte(nil), buf[:n]...))
		}
	}
}

// dialUDP opens the session of a client. It calls end when nothing came from
// the address To for idleTimeout or the link is closed.
func (l *link) dialUDP(ln *net.UDPConn, client *net.UDPAddr, end func()) *pipe {
	c, err := net.Dial("udp", l.cfg.To)
	if err != nil || !l.track(c) {
		return nil
	}
	// A refused datagram (no listener yet) counts as lost and does not end the session.
	forward := l.newPipe(client.String(), false, false, func(b []byte) error { _, _ = c.Write(b); return nil })
	back := l.newPipe(client.String(), true, false, func(b []byte) error { _, _ = ln.WriteToUDP(b, client); return nil })
	stop := make(chan struct{})
	l.wg.Go(func() { forward.runUntil(stop) })
	l.wg.Go(func() { back.runUntil(stop) })
	l.wg.Go(func() {
		defer end()
		defer close(stop)
		defer l.closeTracked(c)
		buf := make([]byte, packetBytes)
		for {
			_ = c.SetReadDeadline(l.clock.Now().Add(idleTimeout))
			n, err := c.Read(buf)
			if err == nil {
				back.enqueueDatagram(append([]byte(nil), buf[:n]...))
				continue
			}
			if ne, ok := err.(net.Error); (ok && ne.Timeout()) || l.isClosed() {
				return
			}
		}
	})
	return forward
}

func (l *link) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

// runUntil delivers packets until stop or the link is closed.
func (p *pipe) runUntil(stop <-chan struct{}) {
	for {
		select {
		case pkt := <-p.queue:
			if !p.waitToDeliver(pkt.due) || p.write(pkt.data) != nil {
				return
			}
		case <-stop:
			return
		case <-p.parentLink.closed:
			return
		}
	}
}
