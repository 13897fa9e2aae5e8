package link

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// poolIdle is how long an idle goroutine is kept. It is longer than the pauses
// between messages on a busy node, so that goroutines end only when a node is idle.
const poolIdle = 5 * time.Second

// pool runs functions on goroutines that it reuses. The stack of a new goroutine
// must be copied and grown several times before it is large enough to handle a call.
type pool struct {
	clock clockwork.Clock
	ctx   context.Context // its end stops idle goroutines
	wg    *sync.WaitGroup
	work  chan func() // unbuffered: a send succeeds only when a goroutine is idle
}

// Go runs f on one of the node's goroutines. Close waits for f to return.
func (n *Node) Go(f func()) { n.pool.run(f) }

// run runs f on an idle goroutine, else on a new one, and does not wait for it.
func (p *pool) run(f func()) {
	select {
	case p.work <- f:
	default:
		p.wg.Go(func() { p.loop(f) })
	}
}

// loop runs f, and then further functions until the goroutine stays idle.
func (p *pool) loop(f func()) {
	for f != nil {
		f()
		f = p.next()
	}
}

// next returns the next function, or nil when there is none within poolIdle or the
// node closes.
func (p *pool) next() func() {
	idle := p.clock.NewTimer(poolIdle)
	defer idle.Stop()
	select {
	case f := <-p.work:
		return f
	case <-p.ctx.Done():
	case <-idle.Chan():
	}
	return nil
}
