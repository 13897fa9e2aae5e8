package link

import (
	"context"
	"errors"
	"io"
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"

	"cyclamenrelay.example/guard"
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/wire"
)

// Dest is the destination of a call.
type Dest struct {
	// Address is the peer's IP address and UDP port.
	Address string
	// Role is the role that the peer's certificate must have, empty for any.
	Role keys.Role
	// RedialSilent makes later calls dial anew when nothing has arrived on the connection in
	// the first silentAfter of a call. Otherwise a connection to a peer
	// that lost power is used until idleTimeout, unless the peer resets it once it is back.
	// It does so only in answer to packets of more than 42 bytes, and that can be lost.
	RedialSilent bool
}

// silentAfter is the time without a packet from the peer after which a connection is taken for
// dead. A live peer acknowledges a call within a round trip, however long its answer takes.
const silentAfter = time.Second

// notSentError wraps the error of a message that was not sent.
type notSentError struct{ error }

func (e notSentError) Unwrap() error { return e.error }

// NotSent reports whether err means that the peer has certainly not received the
// message.
func NotSent(err error) bool {
	var e notSentError
	return errors.As(err, &e)
}

// Call sends m and returns the peer's answer, which may be a wire.Refused. Unless
// NotSent reports true for the error, the peer may have received m.
func (n *Node) Call(ctx context.Context, to Dest, m wire.Message) (wire.Message, error) {
	c, err := n.dial(ctx, to)
	if err != nil {
		return nil, notSentError{err}
	}
	defer n.countCall(c)()
	if to.RedialSilent {
		defer n.leaveIfSilent(to.Address, c)()
	}
	return n.call(ctx, c, m)
}

// leaveIfSilent makes later calls dial anew when the connection is silent for silentAfter, unless
// the returned function is called before. The connection itself stays open: calls in progress on
// it may still be answered.
func (n *Node) leaveIfSilent(addr string, c *quic.Conn) (stop func()) {
	before := c.ConnectionStats().PacketsReceived
	timer := n.opts.Clock.AfterFunc(silentAfter, func() {
		if c.ConnectionStats().PacketsReceived > before {
			return
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		if d := n.dialled[addr]; d != nil && d.conn == c {
			delete(n.dialled, addr)
		}
	})
	return func() { timer.Stop() }
}

// CallPeer is Call over the connection that the named peer has opened to this node.
func (n *Node) CallPeer(ctx context.Context, name string, m wire.Message) (wire.Message, error) {
	n.mu.Lock()
	c := n.accepted[name]
	n.mu.Unlock()
	if c == nil {
		return nil, notSentError{trace.NotFound("peer %s is not connected", name)}
	}
	defer n.countCall(c)()
	return n.call(ctx, c, m)
}

// CallNode is CallPeer when the named peer has a connection open to this node, and Call
// otherwise.
func (n *Node) CallNode(ctx context.Context, name string, to Dest, m wire.Message) (wire.Message, error) {
	n.mu.Lock()
	connected := n.accepted[name] != nil
	n.mu.Unlock()
	if connected || to.Address == "" {
		return n.CallPeer(ctx, name, m)
	}
	return n.Call(ctx, to, m)
}

// Post sends m without waiting for an answer; m may be lost.
func (n *Node) Post(ctx context.Context, to Dest, m wire.Message) error {
	c, err := n.dial(ctx, to)
	if err != nil {
		return notSentError{err}
	}
	return post(ctx, c, m)
}

// PostPeer is Post over the connection that the named peer has opened to this node.
func (n *Node) PostPeer(ctx context.Context, name string, m wire.Message) error {
	n.mu.Lock()
	c := n.accepted[name]
	n.mu.Unlock()
	if c == nil {
		return notSentError{trace.NotFound("peer %s is not connected", name)}
	}
	return post(ctx, c, m)
}

// post sends m on a new one-way stream of the connection.
func post(ctx context.Context, c *quic.Conn, m wire.Message) error {
	b, err := encode(m)
	if err != nil {
		return notSentError{err}
	}
	s, err := c.OpenUniStreamSync(ctx)
	if err != nil {
		return notSentError{trace.Wrap(err)}
	}
	return trace.Wrap(writeMessage(s, b))
}

// call sends m on a new stream of the connection and reads the answer from it.
func (n *Node) call(ctx context.Context, c *quic.Conn, m wire.Message) (wire.Message, error) {
	b, err := encode(m)
	if err != nil {
		return nil, notSentError{err}
	}
	s, err := c.OpenStreamSync(ctx)
	if err != nil {
		return nil, notSentError{trace.Wrap(err)}
	}
	stop := context.AfterFunc(ctx, func() {
		s.CancelWrite(0)
		s.CancelRead(0)
	})
	defer stop()
	if err := writeMessage(s, b); err != nil {
		s.CancelRead(0)
		return nil, trace.Wrap(err)
	}
	a, err := readMessage(s, n.opts.Messages, func() { s.CancelRead(0) })
	if err != nil {
		s.CancelRead(0)
		return nil, trace.Wrap(err)
	}
	return a, nil
}

// encode encodes m. The error is a trace.LimitExceeded when m is larger than peers
// accept.
func encode(m wire.Message) ([]byte, error) {
	b, err := wire.Encode(m)
	if err != nil {
		return nil, err
	}
	if len(b) > wire.MaxMessage {
		return nil, trace.LimitExceeded("message %T has %d bytes, allowed are %d", m, len(b), wire.MaxMessage)
	}
	return b, nil
}

// writeMessage writes b as the only message of a stream.
func writeMessage(s io.WriteCloser, b []byte) error {
	if _, err := s.Write(b); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(s.Close())
}

// readMessage reads the only message of a stream. cancel makes a read in progress fail.
func readMessage(r io.Reader, bound *guard.Messages, cancel func()) (m wire.Message, err error) {
	err = bound.Read(r, wire.MaxMessage, cancel, func(b []byte) error {
		m, err = wire.Decode(b)
		return err
	})
	return m, err
}

// dial returns the open connection to an address. When there is none, it starts a dial, or
// waits for that of another caller, until ctx ends.
func (n *Node) dial(ctx context.Context, to Dest) (*quic.Conn, error) {
	if n.conn != nil && to.Role == keys.Keeper {
		n.conn.putFirst(to.Address)
	}
	d, isNew := n.connFor(to.Address)
	if isNew {
		n.pool.run(func() { n.finishDial(d, to) })
	}
	select {
	case <-d.ready:
	case <-ctx.Done():
		return nil, trace.Wrap(ctx.Err())
	}
	if d.err != nil {
		return nil, d.err
	}
	if to.Role != "" && !d.peer.Has(to.Role) {
		return nil, trace.AccessDenied("%s at %s does not have the role %s", d.peer.Name, to.Address, to.Role)
	}
	return d.conn, nil
}

// finishDial dials the peer and serves the connection. It does not end with the call that
// needs the connection first, because later calls use the connection too.
func (n *Node) finishDial(d *dialledConn, to Dest) {
	c, p, err := n.connect(to)
	// removeConn and Close read the connections of all dials, also of those in
	// progress.
	n.mu.Lock()
	d.conn, d.peer, d.err, d.endedAt = c, p, err, n.opts.Clock.Now()
	n.mu.Unlock()
	close(d.ready)
	if err == nil {
		n.wg.Go(func() { n.serveConn(c, p) })
	}
}

// connFor returns the connection to an address, which may still be dialling. When
// there is none, or only a stale one, it adds one that the caller must dial: isNew
// is set.
func (n *Node) connFor(addr string) (d *dialledConn, isNew bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	d = n.dialled[addr]
	if d != nil && !d.stale(n.opts.Clock.Now()) {
		return d, false
	}
	d = &dialledConn{ready: make(chan struct{})}
	n.dialled[addr] = d
	return d, true
}

// stale reports whether the connection has ended, or the dial failed at least
// redialDelay ago.
func (d *dialledConn) stale(now time.Time) bool {
	select {
	case <-d.ready:
	default:
		return false
	}
	if d.err != nil {
		return now.Sub(d.endedAt) >= redialDelay
	}
	return d.conn.Context().Err() != nil
}

// connect dials the peer and checks its certificate.
func (n *Node) connect(to Dest) (*quic.Conn, Peer, error) {
	addr, err := net.ResolveUDPAddr("udp", to.Address)
	if err != nil {
		return nil, Peer{}, trace.BadParameter("address %q: %v", to.Address, err)
	}
	ctx, cancel := context.WithTimeout(n.ctx, dialTimeout)
	defer cancel()
	c, err := n.tr.Dial(ctx, addr, n.opts.Keys.ClientConfig(), n.quicConfig())
	if err != nil {
		return nil, Peer{}, trace.ConnectionProblem(err, "dialling %s", to.Address)
	}
	p, err := peerOf(c)
	if err != nil {
		_ = c.CloseWithError(closeDenied, "certificate refused")
		return nil, Peer{}, trace.Wrap(err)
	}
	return c, p, nil
}
