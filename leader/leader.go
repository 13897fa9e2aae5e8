// Package leader is the client of the keepers' Raft groups: it finds the leader of
// a group, sends commands and queries to it, and retries with back-off.
package leader

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/member"
	"cyclamenrelay.example/spans"
	"cyclamenrelay.example/wire"
)

const (
	tryTimeout = 2 * time.Second // default of Client.TryTimeout
	// The back-off between tries doubles from pauseMin to pauseMax, with jitter.
	pauseMin = 10 * time.Millisecond
	pauseMax = 200 * time.Millisecond
)

// ConfigGroup is the Raft group of the configuration. Those of the ledger have the
// numbers after it.
const ConfigGroup uint32 = 0

// Client sends requests to the leaders of groups. Its methods may be called
// concurrently.
type Client struct {
	Node   *link.Node
	Finder *member.Finder
	Clock  clockwork.Clock
	Log    *zap.Logger
	// Groups is the number of ledger groups.
	Groups int
	// Beside is the address of the keeper in this process, empty if there is none,
	// as at an entry. It learns of a new leader first, so that each call asks it
	// first instead of a remembered leader.
	Beside string
	// TryTimeout bounds one call to a keeper, 2 s when 0.
	TryTimeout time.Duration

	mu      sync.Mutex
	leaders map[uint32]string // the leaders' addresses by group, as far as known
}

// GroupOf returns the ledger group that a key belongs to.
func (c *Client) GroupOf(key string) uint32 {
	return 1 + uint32(xxhash.Sum64String(key)%uint64(c.Groups))
}

// Propose has the group commit and apply a command and returns the state machine's
// answer. It retries, at other keepers too, until ctx ends, so that the command
// must be idempotent. The error is Unsent when no keeper can have accepted the
// command, else a trace.ConnectionProblem.
func (c *Client) Propose(ctx context.Context, group uint32, command []byte) ([]byte, error) {
	a, err := c.do(ctx, group, wire.Propose{Group: group, Command: command, Trace: spans.Inject(ctx)})
	if err != nil {
		return nil, err
	}
	return a.(wire.Proposed).Result, nil
}

// Query returns the state machine's linearizable answer to a query. It retries and
// fails as Propose does.
func (c *Client) Query(ctx context.Context, group uint32, query []byte) ([]byte, error) {
	a, err := c.do(ctx, group, wire.Query{Group: group, Query: query})
	if err != nil {
		return nil, err
	}
	return a.(wire.Queried).Result, nil
}

// Unsent is the error of a request that no keeper can have accepted: none was
// reached, or each has refused it. Reason is that of the last try.
type Unsent struct{ Reason string }

// Error implements error.
func (u Unsent) Error() string { return "no keeper has accepted the request: " + u.Reason }

// do sends the request m to the group's leader until it is answered or ctx ends.
func (c *Client) do(ctx context.Context, group uint32, m wire.Message) (wire.Message, error) {
	sent := false
	reason := "no keeper is known"
	for try := 0; ctx.Err() == nil; try++ {
		addr := c.pick(group, try)
		if addr == "" {
			c.pause(ctx, try)
			continue
		}
		a, err := c.try(ctx, addr, m)
		if err != nil {
			sent = sent || !link.NotSent(err)
			reason = err.Error()
			c.forget(group, addr)
			c.pause(ctx, try)
			continue
		}
		switch a := a.(type) {
		case wire.Proposed, wire.Queried:
			if c.Beside == "" {
				c.remember(group, addr)
			} else {
				c.forget(group, addr)
			}
			return a, nil
		case wire.Refused:
			reason = a.Reason
			sent = sent || a.MayBeDone
			if !c.follow(group, addr, a.Leader) {
				c.pause(ctx, try)
			}
		}
	}
	if !sent {
		return nil, trace.Wrap(Unsent{Reason: reason})
	}
	return nil, trace.ConnectionProblem(ctx.Err(), "no keeper has answered the request, which may have been carried out: %s", reason)
}

// try sends the request m to one keeper.
func (c *Client) try(ctx context.Context, addr string, m wire.Message) (wire.Message, error) {
	limit := c.TryTimeout
	if limit == 0 {
		limit = tryTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return c.Node.Call(ctx, link.To{Address: addr, Role: keys.Keeper}, m)
}

// pick returns the address for a try: that of the group's leader if known, else
// that of the keeper in this process, else that of each keeper in turn. It is
// empty when no keeper is known.
func (c *Client) pick(group uint32, try int) string {
	c.mu.Lock()
	addr := c.leaders[group]
	c.mu.Unlock()
	if addr != "" {
		return addr
	}
	if c.Beside != "" {
		return c.Beside
	}
	addrs := c.Finder.Addresses(keys.Keeper)
	if len(addrs) == 0 {
		return ""
	}
	return addrs[try%len(addrs)]
}

func (c *Client) remember(group uint32, addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaders == nil {
		c.leaders = map[uint32]string{}
	}
	c.leaders[group] = addr
}

func (c *Client) forget(group uint32, addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaders[group] == addr {
		delete(c.leaders, group)
	}
}

// follow handles a refusal by the keeper at addr. It remembers the leader that the
// refusal names, and reports whether that is another known keeper.
func (c *Client) follow(group uint32, addr, leader string) bool {
	c.forget(group, addr)
	for _, n := range c.Finder.Nodes(keys.Keeper) {
		if n.Name == leader && n.Address != addr {
			c.remember(group, n.Address)
			return true
		}
	}
	return false
}

// pause waits between tries, with exponential back-off and jitter.
func (c *Client) pause(ctx context.Context, try int) {
	d := min(pauseMin<<min(try, 10), pauseMax)
	select {
	case <-ctx.Done():
	case <-c.Clock.After(d/2 + rand.N(d)):
	}
}
