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
	defaultTryTimeout = 2 * time.Second // default of Client.TryTimeout
	// The back-off between tries doubles from backOffMin to backOffMax, with jitter.
	backOffMin = 10 * time.Millisecond
	backOffMax = 200 * time.Millisecond
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
	// LocalKeeper is the address of the keeper in this process, empty if there is none,
	// as at an entry. It learns of a new leader first, so that each call asks it
	// first instead of a remembered leader. It may be no member of the group, or cut
	// off, so that the others follow while it names no leader.
	LocalKeeper string
	// TryTimeout bounds one call to a keeper, 2 s when 0.
	TryTimeout time.Duration

	mu      sync.Mutex
	leaders map[uint32]string // the leaders' addresses by group, as far as known
	// builds has the incarnations, by name, of the keepers that know evacuations.
	builds map[string]uint64
}

// GroupOf returns the ledger group that a key belongs to.
func (c *Client) GroupOf(key string) uint32 {
	return 1 + uint32(xxhash.Sum64String(key)%uint64(c.Groups))
}

// Propose has the group commit and apply a command and returns the state machine's
// answer. It retries, at other keepers too, until ctx ends, so that the command
// must be idempotent. The error is NotAccepted when no keeper can have accepted the
// command, else a trace.ConnectionProblem.
func (c *Client) Propose(ctx context.Context, group uint32, command []byte) ([]byte, error) {
	a, err := c.send(ctx, group, wire.Propose{Group: group, Command: command, Trace: spans.Inject(ctx)})
	if err != nil {
		return nil, err
	}
	return a.(wire.Proposed).Result, nil
}

// Query returns the state machine's linearizable answer to a query. It retries and
// fails as Propose does.
func (c *Client) Query(ctx context.Context, group uint32, query []byte) ([]byte, error) {
	a, err := c.send(ctx, group, wire.Query{Group: group, Query: query})
	if err != nil {
		return nil, err
	}
	return a.(wire.Queried).Result, nil
}

// NotAccepted is the error of a request that no keeper can have accepted: none was
// reached, or each has refused it. Reason is that of the last try.
type NotAccepted struct{ Reason string }

// Error implements error.
func (u NotAccepted) Error() string { return "no keeper has accepted the request: " + u.Reason }

// send sends the request m to the group's leader until it is answered or ctx ends.
func (c *Client) send(ctx context.Context, group uint32, m wire.Message) (wire.Message, error) {
	mayBeAccepted := false
	reason := "no keeper is known"
	t := turn{local: c.LocalKeeper}
	for attempt := 0; ctx.Err() == nil; attempt++ {
		addr := c.keeperAddress(group, attempt, &t)
		if addr == "" {
			c.backOff(ctx, attempt)
			continue
		}
		a, err := c.sendTo(ctx, addr, m)
		if err != nil {
			mayBeAccepted = mayBeAccepted || !link.NotSent(err)
			reason = err.Error()
			t.failed(addr)
			c.forgetLeader(group, addr)
			c.backOff(ctx, attempt)
			continue
		}
		switch a := a.(type) {
		case wire.Proposed, wire.Queried:
			if c.LocalKeeper == "" {
				c.rememberLeader(group, addr)
			} else {
				c.forgetLeader(group, addr)
			}
			return a, nil
		case wire.Refused:
			reason = a.Reason
			mayBeAccepted = mayBeAccepted || a.MayHaveApplied
			if !c.followRefusal(group, addr, a.Leader) {
				c.backOff(ctx, attempt)
			}
		}
	}
	if !mayBeAccepted {
		return nil, trace.Wrap(NotAccepted{Reason: reason})
	}
	return nil, trace.ConnectionProblem(ctx.Err(), "no keeper has answered the request, which may have been carried out: %s", reason)
}

// sendTo sends the request m to one keeper.
func (c *Client) sendTo(ctx context.Context, addr string, m wire.Message) (wire.Message, error) {
	timeout := c.TryTimeout
	if timeout == 0 {
		timeout = defaultTryTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.Node.Call(ctx, link.Dest{Address: addr, Role: keys.Keeper}, m)
}

// keeperAddress returns the address for a try: that of the group's leader if known,
// else that of each keeper in turn, first the one in this process. It is empty when no
// keeper is known.
func (c *Client) keeperAddress(group uint32, attempt int, t *turn) string {
	c.mu.Lock()
	addr := c.leaders[group]
	c.mu.Unlock()
	if addr != "" {
		return addr
	}
	addrs := c.Finder.Addresses(keys.Keeper)
	if c.LocalKeeper != "" {
		return t.take(addrs)
	}
	if len(addrs) == 0 {
		return ""
	}
	return addrs[attempt%len(addrs)]
}

func (c *Client) rememberLeader(group uint32, addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaders == nil {
		c.leaders = map[uint32]string{}
	}
	c.leaders[group] = addr
}

func (c *Client) forgetLeader(group uint32, addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaders[group] == addr {
		delete(c.leaders, group)
	}
}

// followRefusal handles a refusal by the keeper at addr. It remembers the leader
// that the refusal names, and reports whether that is another known keeper.
func (c *Client) followRefusal(group uint32, addr, leader string) bool {
	c.forgetLeader(group, addr)
	for _, n := range c.Finder.Nodes(keys.Keeper) {
		if n.Name == leader && n.Address != addr {
			c.rememberLeader(group, n.Address)
			return true
		}
	}
	return false
}

// backOff waits between tries, with exponential back-off and jitter.
func (c *Client) backOff(ctx context.Context, attempt int) {
	d := min(backOffMin<<min(attempt, 10), backOffMax)
	select {
	case <-ctx.Done():
	case <-c.Clock.After(d/2 + rand.N(d)):
	}
}
