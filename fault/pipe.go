package fault

import (
	"net"
	"slices"
	"sync"
	"time"
)

const (
	pipeLength  = 4096 // packets in flight in one direction
	packetBytes = 64 << 10
	chunkBytes  = 32 << 10
	maxSessions = 4096 // UDP clients of a link
	idleTimeout = 2 * time.Minute
	// reorderDelay holds a reordered packet behind those that follow it.
	reorderDelay = 5 * time.Millisecond
)

type packet struct {
	data []byte
	due  time.Time
}

// pipe delivers the packets of one direction of a connection in order.
type pipe struct {
	l      *link
	source string // the client's address
	back   bool
	hold   bool // whether a cut holds packets back
	queue  chan packet
	write  func([]byte) error
}

func (l *link) newPipe(source string, back, hold bool, write func([]byte) error) *pipe {
	return &pipe{l: l, source: source, back: back, hold: hold, queue: make(chan packet, pipeLength), write: write}
}

// run delivers packets until the queue is closed, the link is closed or a write fails.
func (p *pipe) run() {
	for k := range p.queue {
		if !p.wait(k.due) || p.write(k.data) != nil {
			return
		}
	}
}

// wait returns true when a packet that is due at the time may go, and false
// when the link is closed.
func (p *pipe) wait(due time.Time) bool {
	for {
		r, changed := p.l.rule(p.source, p.back)
		left := due.Sub(p.l.clock.Now())
		if left <= 0 && !p.held(r) {
			return true
		}
		if left <= 0 {
			left = time.Hour
		}
		timer := p.l.clock.NewTimer(left)
		select {
		case <-timer.Chan():
		case <-changed:
		case <-p.l.closed:
			timer.Stop()
			return false
		}
		timer.Stop()
	}
}

func (p *pipe) held(r Rule) bool { return r.Freeze || (r.Cut && p.hold) }

// datagram passes a UDP packet on by the rule; a full queue loses it.
func (p *pipe) datagram(b []byte) {
	r, _ := p.l.rule(p.source, p.back)
	if r.Cut || p.l.chance(r.Loss) {
		return
	}
	n := 1
	if p.l.chance(r.Duplicate) {
		n = 2
	}
	for range n {
		d := p.l.delay(r)
		if p.l.chance(r.Reorder) {
			p.l.clock.AfterFunc(d+reorderDelay, func() { p.late(b) })
			continue
		}
		select {
		case p.queue <- packet{b, p.l.clock.Now().Add(d)}:
		default:
		}
	}
}

// late delivers a reordered packet, unless the link is cut or frozen by then.
func (p *pipe) late(b []byte) {
	if r, _ := p.l.rule(p.source, p.back); !r.Cut && !r.Freeze {
		_ = p.write(b)
	}
}

func (l *link) listenTCP() error {
	ln, err := net.Listen("tcp", l.cfg.Listen)
	if err != nil {
		return err
	}
	l.addr = ln.Addr()
	l.keep(ln)
	l.wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if l.keep(c) {
				l.wg.Go(func() { l.relayTCP(c) })
			}
		}
	})
	return nil
}

func (l *link) relayTCP(c net.Conn) {
	defer l.drop(c)
	if !l.newPipe(c.RemoteAddr().String(), false, true, nil).wait(l.clock.Now()) {
		return
	}
	to, err := net.Dial("tcp", l.cfg.To)
	if err != nil || !l.keep(to) {
		return
	}
	defer l.drop(to)
	var wg sync.WaitGroup
	source := c.RemoteAddr().String()
	wg.Go(func() { l.copyTCP(source, c, to, false) })
	wg.Go(func() { l.copyTCP(source, to, c, true) })
	wg.Wait()
}

// copyTCP relays one direction of a connection and closes it for writing at its end.
func (l *link) copyTCP(source string, from, to net.Conn, back bool) {
	p := l.newPipe(source, back, true, func(b []byte) error {
		_, err := to.Write(b)
		return err
	})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		p.run()
		if c, ok := to.(*net.TCPConn); ok {
			_ = c.CloseWrite()
		}
	}()
	defer func() { <-ended }()
	defer close(p.queue)
	buf := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			r, _ := l.rule(source, back)
			select {
			case p.queue <- packet{slices.Clone(buf[:n]), l.clock.Now().Add(l.delay(r))}:
			case <-ended:
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
	l.keep(ln)
	l.wg.Go(func() { l.relayUDP(ln) })
	return nil
}

// relayUDP reads from clients and gives each its own socket towards the
// address To.
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
			p.datagram(append([]byte(nil), buf[:n]...))
		}
	}
}

// dialUDP opens the session of a client; end is called when it was idle for long.
func (l *link) dialUDP(ln *net.UDPConn, client *net.UDPAddr, end func()) *pipe {
	c, err := net.Dial("udp", l.cfg.To)
	if err != nil || !l.keep(c) {
		return nil
	}
	// A refused datagram (no listener yet) is a loss, not an end.
	forward := l.newPipe(client.String(), false, false, func(b []byte) error { _, _ = c.Write(b); return nil })
	back := l.newPipe(client.String(), true, false, func(b []byte) error { _, _ = ln.WriteToUDP(b, client); return nil })
	stop := make(chan struct{})
	l.wg.Go(func() { forward.runUntil(stop) })
	l.wg.Go(func() { back.runUntil(stop) })
	l.wg.Go(func() {
		defer end()
		defer close(stop)
		defer l.drop(c)
		buf := make([]byte, packetBytes)
		for {
			_ = c.SetReadDeadline(l.clock.Now().Add(idleTimeout))
			n, err := c.Read(buf)
			if err == nil {
				back.datagram(append([]byte(nil), buf[:n]...))
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
		case k := <-p.queue:
			if !p.wait(k.due) || p.write(k.data) != nil {
				return
			}
		case <-stop:
			return
		case <-p.l.closed:
			return
		}
	}
}
