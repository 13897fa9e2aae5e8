package link

import (
	"context"
	"sync"

	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"

	"cyclamenrelay.example/wire"
)

// Close closes all connections and waits for the handlers to return. Before that it
// waits a bounded time until the answers in progress are sent and have arrived, so
// that a shutdown does not lose the results of finished work. Calls that arrive
// meanwhile are refused.
func (n *Node) Close() error {
	n.drain()
	n.stop()
	_ = n.ln.Close()
	for _, c := range n.conns() {
		_ = c.CloseWithError(closeNormal, "closing")
	}
	err := n.tr.Close()
	_ = n.tr.Conn.Close()
	n.wg.Wait()
	return trace.Wrap(err)
}

// drain refuses new calls and waits, for at most CloseWait, until the answers in
// progress are sent and have arrived.
func (n *Node) drain() {
	n.mu.Lock()
	if !n.closing && n.callsInProgress == 0 {
		close(n.drained)
	}
	n.closing = true
	n.mu.Unlock()
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	end := n.opts.Clock.AfterFunc(n.opts.CloseWait, cancel)
	defer end.Stop()
	select {
	case <-n.drained:
	case <-ctx.Done():
	}
	var wg sync.WaitGroup
	for _, c := range n.conns() {
		wg.Go(func() { n.awaitArrival(ctx, c) })
	}
	wg.Wait()
	<-n.opts.Clock.After(closeLinger)
}

// conns returns all connections, dialled and accepted.
func (n *Node) conns() []*quic.Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []*quic.Conn
	for _, d := range n.dialled {
		if d.conn != nil {
			out = append(out, d.conn)
		}
	}
	for _, c := range n.accepted {
		out = append(out, c)
	}
	return out
}

// awaitArrival returns when the peer awaits no more answers from this node, or when
// ctx ends. Until then, answers that this node has written may still be in transit.
func (n *Node) awaitArrival(ctx context.Context, c *quic.Conn) {
	for ctx.Err() == nil {
		m, err := n.call(ctx, c, wire.GetPendingCalls{})
		a, ok := m.(wire.PendingCalls)
		if err != nil || !ok || a.Calls == 0 {
			return
		}
		select {
		case <-ctx.Done():
		case <-n.opts.Clock.After(pendingPollInterval):
		}
	}
}

// unansweredCalls returns how many of this node's calls on the connection have no
// answer yet.
func (n *Node) unansweredCalls(c *quic.Conn) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.unanswered[c]
}

// countCall counts a call on the connection as unanswered until the returned
// function is called.
func (n *Node) countCall(c *quic.Conn) (done func()) {
	add := func(d int) {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.unanswered[c] += d; n.unanswered[c] == 0 {
			delete(n.unanswered, c)
		}
	}
	add(1)
	return func() { add(-1) }
}
