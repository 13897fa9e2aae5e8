// Package link is the RPC transport between the system's own processes: QUIC with
// mutual TLS, with one stream for each call and its answer, or for each one-way
// message.
package link

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"github.com/quic-go/quic-go"
	"go.uber.org/zap"

	"cyclamenrelay.example/guard"
	"cyclamenrelay.example/kernel"
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/shape"
	"cyclamenrelay.example/wire"
)

const (
	idleTimeout = 6 * time.Second
	keepAlive   = 2 * time.Second
	dialTimeout = 2 * time.Second
	redialDelay = 200 * time.Millisecond
	// receiveTimeout bounds the time for a peer's message to arrive whole.
	receiveTimeout = 30 * time.Second
	maxStreams     = 1 << 14
	streamWindow   = 1 << 20  // bytes
	connWindow     = 16 << 20 // bytes

	// defaultCloseWait is the default of Options.CloseWait: a third of the shortest
	// grace period that a platform gives to a stopping process, 6 s.
	defaultCloseWait = 2 * time.Second
	// closeLinger is the time for the last packets to arrive before the connections
	// are closed, a few round trips.
	closeLinger = 100 * time.Millisecond
	// pendingPollInterval is the interval at which a closing node asks a peer whether it
	// still awaits answers, about a round trip within a region.
	pendingPollInterval = 5 * time.Millisecond

	closeNormal quic.ApplicationErrorCode = 0
	closeDenied quic.ApplicationErrorCode = 1
)

// ServiceName is the service name of the node.
const ServiceName = "link"

// Options configure a Node.
type Options struct {
	// Address is the IP address and UDP port to listen on.
	Address string
	// Keys is the node's certificate and the CAs that it trusts.
	Keys *keys.Identity
	// CloseWait bounds how long Close waits until the answers in progress are sent and
	// have arrived, 0 for 2 s.
	CloseWait time.Duration
	// Rate is the rate of the host's link in bytes a second, 0 if it is unknown. Messages to
	// keepers go first on a link with a rate.
	Rate float64
	// Messages bounds the memory of messages that are being received, nil for no bound.
	Messages *guard.Messages
	Log      *zap.Logger
	Clock    clockwork.Clock
}

// Node is a process's endpoint for messages to and from its peers. It listens and
// dials on one UDP socket.
type Node struct {
	opts Options
	mux  *Mux
	tr   *quic.Transport
	conn *shapedConn // nil for a link of unknown rate
	ln   *quic.Listener
	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup
	pool *pool

	mu       sync.Mutex
	dialled  map[string]*dialledConn // by address
	accepted map[string]*quic.Conn   // dialled by the peer, by the peer's name
	// unanswered counts the calls of this node that have no answer yet, by connection.
	unanswered map[*quic.Conn]int
	// callsInProgress counts the calls of peers whose answers are not written yet.
	callsInProgress int
	closing         bool
	drained         chan struct{} // closed when closing and callsInProgress is 0
}

// dialledConn is a connection that this node has dialled or is dialling.
type dialledConn struct {
	ready   chan struct{} // closed when the dial has ended and the other fields are set
	conn    *quic.Conn
	peer    Peer
	err     error
	endedAt time.Time // end of the dial
}

// New returns a node that does not listen yet.
func New(opts Options) *Node {
	if opts.CloseWait == 0 {
		opts.CloseWait = defaultCloseWait
	}
	n := &Node{
		opts: opts, mux: NewMux(), dialled: map[string]*dialledConn{}, accepted: map[string]*quic.Conn{},
		unanswered: map[*quic.Conn]int{}, drained: make(chan struct{}),
	}
	n.ctx, n.stop = context.WithCancel(context.Background())
	n.pool = &pool{clock: opts.Clock, ctx: n.ctx, wg: &n.wg, work: make(chan func())}
	return n
}

// Name implements kernel.Service.
func (n *Node) Name() string { return ServiceName }

// Mux returns the node's Mux, to register handlers at before Start.
func (n *Node) Mux() *Mux { return n.mux }

// Start implements kernel.Starter: it opens the socket. The error is a
// trace.BadParameter for an invalid address.
func (n *Node) Start(*kernel.Kernel) error {
	addr, err := net.ResolveUDPAddr("udp", n.opts.Address)
	if err != nil {
		return trace.BadParameter("listen address %q: %v", n.opts.Address, err)
	}
	pc, err := net.ListenUDP("udp", addr)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	reset := quic.StatelessResetKey(n.opts.Keys.ResetKey())
	n.tr = &quic.Transport{Conn: pc, StatelessResetKey: &reset}
	if l := shape.NewLink(n.opts.Rate); l != nil {
		n.conn = newShapedConn(pc, l, n.opts.Clock)
		n.tr.Conn = n.conn
	}
	n.ln, err = n.tr.Listen(n.opts.Keys.ServerConfig(), n.quicConfig())
	if err != nil {
		_ = pc.Close()
		return trace.Wrap(err)
	}
	return nil
}

// Run implements kernel.Service: it serves peers until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	n.wg.Go(n.accept)
	<-ctx.Done()
	return n.Close()
}

func (n *Node) quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:       dialTimeout,
		MaxIdleTimeout:             idleTimeout,
		KeepAlivePeriod:            keepAlive,
		MaxIncomingStreams:         maxStreams,
		MaxIncomingUniStreams:      maxStreams,
		InitialStreamReceiveWindow: streamWindow,
		MaxConnectionReceiveWindow: uint64(n.opts.Messages.Window(connWindow)),
	}
}

// Address returns the address that the node listens on.
func (n *Node) Address() string { return n.tr.Conn.LocalAddr().String() }

// beginCall counts a peer's call until endCall. It returns false when the node is
// closing.
func (n *Node) beginCall() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closing {
		return false
	}
	n.callsInProgress++
	return true
}

func (n *Node) endCall() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.callsInProgress--
	if n.closing && n.callsInProgress == 0 {
		close(n.drained)
	}
}

// accept serves the connections that peers open.
func (n *Node) accept() {
	for {
		c, err := n.ln.Accept(n.ctx)
		if err != nil {
			return
		}
		p, err := peerOf(c)
		if err != nil {
			n.opts.Log.Warn("connection refused: invalid peer certificate", zap.String("address", c.RemoteAddr().String()), zap.Error(err))
			_ = c.CloseWithError(closeDenied, "certificate refused")
			continue
		}
		n.mu.Lock()
		n.accepted[p.Name] = c
		n.mu.Unlock()
		n.wg.Go(func() { n.serveConn(c, p) })
	}
}

func peerOf(c *quic.Conn) (Peer, error) {
	kp, err := keys.PeerOf(c.ConnectionState().TLS)
	if err != nil {
		return Peer{}, trace.Wrap(err)
	}
	return Peer{Name: kp.Name, Roles: kp.Roles, Address: c.RemoteAddr().String()}, nil
}

// serveConn handles the peer's messages on the connection until the connection ends.
func (n *Node) serveConn(c *quic.Conn, p Peer) {
	n.wg.Go(func() { n.servePosts(c, p) })
	for {
		s, err := c.AcceptStream(n.ctx)
		if err != nil {
			n.removeConn(c, p)
			return
		}
		n.pool.run(func() { n.serveCall(c, s, p) })
	}
}

// servePosts handles the peer's one-way messages until the connection ends.
func (n *Node) servePosts(c *quic.Conn, p Peer) {
	for {
		s, err := c.AcceptUniStream(n.ctx)
		if err != nil {
			return
		}
		n.pool.run(func() {
			m, err := n.receive(s)
			if err != nil {
				n.opts.Log.Debug("invalid message from peer", zap.String("peer", p.Name), zap.Error(err))
				return
			}
			n.handle(n.ctx, p, m)
		})
	}
}

// receiveStream is the receive side of a stream that a peer has opened.
type receiveStream interface {
	io.Reader
	SetReadDeadline(time.Time) error
	CancelRead(quic.StreamErrorCode)
}

// receive reads one message within receiveTimeout and cancels the rest of the stream.
func (n *Node) receive(s receiveStream) (wire.Message, error) {
	defer s.CancelRead(0)
	if err := s.SetReadDeadline(n.opts.Clock.Now().Add(receiveTimeout)); err != nil {
		return nil, trace.Wrap(err)
	}
	return readMessage(s, n.opts.Messages, func() { s.CancelRead(0) })
}

// serveCall handles one call of a peer.
func (n *Node) serveCall(c *quic.Conn, s *quic.Stream, p Peer) {
	m, err := n.receive(s)
	if err != nil {
		n.opts.Log.Debug("invalid message from peer", zap.String("peer", p.Name), zap.Error(err))
		n.answer(s, wire.Refused{Reason: err.Error()})
		return
	}
	if _, ok := m.(wire.GetPendingCalls); ok {
		n.answer(s, wire.PendingCalls{Calls: n.unansweredCalls(c)})
		return
	}
	if !n.beginCall() {
		n.answer(s, wire.Refused{Reason: "the node is closing"})
		return
	}
	defer n.endCall()
	a, ok := n.handle(s.Context(), p, m)
	if !ok {
		// A refusal would say that the message had no effect.
		s.CancelWrite(0)
		return
	}
	n.answer(s, a)
}

// handle passes a message to its handler. A run-time error in the handler ends this
// exchange alone, without an answer: ok is false.
func (n *Node) handle(ctx context.Context, p Peer, m wire.Message) (answer wire.Message, ok bool) {
	defer kernel.CatchRuntimeError(n.opts.Log.With(zap.String("peer", p.Name)), fmt.Sprintf("handling %T", m), func() { ok = false })
	return n.mux.Serve(ctx, p, m), true
}

// answer sends the answer to a peer's call.
func (n *Node) answer(s *quic.Stream, m wire.Message) {
	b, err := encode(m)
	if err == nil {
		err = writeMessage(s, b)
	}
	if err != nil {
		s.CancelWrite(0)
		n.opts.Log.Debug("answer not sent", zap.Error(err))
	}
}

// removeConn removes an ended connection.
func (n *Node) removeConn(c *quic.Conn, p Peer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.accepted[p.Name] == c {
		delete(n.accepted, p.Name)
	}
	for a, d := range n.dialled {
		if d.conn == c {
			delete(n.dialled, a)
		}
	}
}
