package member

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/wire"
)

// ServiceName is the name under which other services find the finder.
const ServiceName = "member"

const (
	// announceInterval is the time between an entry's or a keeper's announcements.
	announceInterval = time.Second
	// agentInterval is the shortest time between an agent's polls.
	agentInterval = 2 * time.Second
	// A process that has just started polls sooner, after firstPause, which doubles, and
	// an agent waits at most firstTimeout: when all processes start at once, some keepers
	// do not answer yet, and those that do know few entries.
	firstPause   = 100 * time.Millisecond
	firstTimeout = 250 * time.Millisecond
	pollTimeout  = time.Second
	// pollsPerKeeper is how many times on average an agent polls the same keeper.
	pollsPerKeeper = 500
	// NodeLease is how long a process counts as alive after its last announcement.
	NodeLease = 5 * time.Second
	// agentNodeLease is how long an agent keeps a process that the polled keepers
	// do not list. A keeper that has just started lists few.
	agentNodeLease = 5 * agentInterval
)

// Finder announces this process to the keepers, and discovers the other processes
// through them.
type Finder struct {
	node      *link.Node
	clock     clockwork.Clock
	log       *zap.Logger
	joinAddrs []string

	mu    sync.Mutex
	self  wire.Node
	known map[string]wire.Node
	// answers holds the newest answer of each keeper, by its address.
	answers    map[string]wire.Nodes
	keeperAddr string // address of the keeper that an agent polls
	// listed holds the processes that an agent's keepers have listed lately, since
	// it polls one keeper at a time and each may lack some.
	listed *Table
	// leaving is closed when this process begins to shut down.
	leaving chan struct{}
	announcer
}

// NewFinder returns a finder that first contacts the addresses in join.
func NewFinder(node *link.Node, clock clockwork.Clock, log *zap.Logger, self wire.Node, join []string) *Finder {
	return &Finder{
		node: node, clock: clock, log: log, self: self, joinAddrs: join,
		known: map[string]wire.Node{}, answers: map[string]wire.Nodes{}, listed: NewTable(clock, agentNodeLease), leaving: make(chan struct{}),
		announcer: announcer{asked: map[string]bool{}},
	}
}

// Name implements kernel.Service.
func (f *Finder) Name() string { return ServiceName }

// Self returns this process as it is announced.
func (f *Finder) Self() wire.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.self
}

// SetJoinAddresses replaces the join addresses.
func (f *Finder) SetJoinAddresses(join []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.joinAddrs = join
	f.changed = true
}

// SetReplica sets the announced number of this keeper's data folder.
func (f *Finder) SetReplica(n uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.self.Replica = n
}

// Leave announces, immediately and from now on, that this process is shutting
// down.
func (f *Finder) Leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.self.Leaving {
		f.self.Leaving = true
		close(f.leaving)
	}
}

// Nodes returns the known processes with a role, those of this data centre first.
func (f *Finder) Nodes(role keys.Role) []wire.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes(role)
}

// nodes is Nodes for a caller that holds mu.
func (f *Finder) nodes(role keys.Role) []wire.Node {
	var near, far []wire.Node
	for _, n := range f.known {
		if !slices.Contains(n.Roles, string(role)) {
			continue
		}
		if n.DataCentre == f.self.DataCentre {
			near = append(near, n)
		} else {
			far = append(far, n)
		}
	}
	return append(near, far...)
}

// ServeNodes registers a FindNodes handler that answers with the known processes, for
// a process that is not a keeper. Agents can then join through entries alone.
func (f *Finder) ServeNodes() {
	link.Handle(f.node.Mux(), func(_ context.Context, _ link.Peer, m wire.FindNodes) wire.Message {
		f.mu.Lock()
		defer f.mu.Unlock()
		nodes := []wire.Node{f.self}
		for name, n := range f.known {
			if name != f.self.Name {
				nodes = append(nodes, n)
			}
		}
		return AnswerNodes(m, nodes)
	}, keys.Agent, keys.Entry)
}

// Addresses returns the addresses of the known processes with a role, those of
// this data centre first, or the join addresses while none is known.
func (f *Finder) Addresses(role keys.Role) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, n := range f.nodes(role) {
		out = append(out, n.Address)
	}
	if len(out) == 0 {
		return f.joinAddrs
	}
	return out
}

// Run implements kernel.Service.
func (f *Finder) Run(ctx context.Context) error {
	if f.announces() {
		f.announceLoop(ctx)
	} else {
		f.pollLoop(ctx)
	}
	return nil
}

// pollLoop has an agent poll one keeper after another.
func (f *Finder) pollLoop(ctx context.Context) {
	leaving := f.leaving
	next := firstPause
	for ctx.Err() == nil {
		starting := next < agentInterval
		timeout := pollTimeout
		if starting {
			timeout = firstTimeout
		}
		anyKnown := f.poll(ctx, timeout)
		pause := announceInterval
		switch {
		case starting:
			pause = min(next, announceInterval)
			next *= 2
		case anyKnown:
			pause = agentInterval + rand.N(agentInterval)
		}
		select {
		case <-ctx.Done():
		case <-leaving:
			leaving = nil
		case <-f.clock.After(pause):
		}
	}
}

// announces reports whether keepers have this process in their tables, as they do
// entries and keepers but not agents.
func (f *Finder) announces() bool {
	roles := f.Self().Roles
	return slices.Contains(roles, string(keys.Entry)) || slices.Contains(roles, string(keys.Keeper))
}

// poll asks one keeper for the live processes, since there are many agents, and
// reports whether any process is known.
func (f *Finder) poll(ctx context.Context, timeout time.Duration) bool {
	polled := f.pickKeeper(f.Addresses(keys.Keeper))
	for _, addr := range polled {
		f.askKeeper(ctx, addr, timeout)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	found := f.union(polled)
	for _, n := range found {
		f.listed.Renew(n)
	}
	for _, n := range f.listed.Live() {
		found[n.Name] = n
	}
	f.setKnown(found)
	return len(f.known) > 0
}

// pickKeeper returns one address: that of the keeper polled last if it answered
// and lists an entry, else a random one of the known addresses and the join
// addresses, in case no known keeper is alive. Once in pollsPerKeeper polls it
// picks a random one anyway, so that a keeper that has come back gets its share of
// the load.
func (f *Finder) pickKeeper(addrs []string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if slices.Contains(addrs, f.keeperAddr) && slices.ContainsFunc(f.answers[f.keeperAddr].Nodes, isEntry) && rand.N(pollsPerKeeper) != 0 {
		return []string{f.keeperAddr}
	}
	all := slices.Concat(addrs, f.joinAddrs)
	if len(all) == 0 {
		return nil
	}
	f.keeperAddr = all[rand.N(len(all))]
	return []string{f.keeperAddr}
}

func isEntry(n wire.Node) bool { return slices.Contains(n.Roles, string(keys.Entry)) }

// askKeeper announces this process, as it returns it, to one keeper. It stores the
// answer, and drops the stored one if the keeper does not answer: ok is false.
func (f *Finder) askKeeper(ctx context.Context, addr string, timeout time.Duration) (self wire.Node, answer wire.Nodes, ok bool) {
	f.mu.Lock()
	q := wire.FindNodes{Self: f.self, Known: f.answers[addr].Digest}
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	m, err := f.node.Call(ctx, link.Dest{Address: addr}, q)
	a, ok := m.(wire.Nodes)
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case err != nil || !ok:
		f.log.Debug("process not reachable", zap.String("address", addr), zap.Error(err))
		delete(f.answers, addr)
		f.changed = true
		return q.Self, wire.Nodes{}, false
	case a.Digest != q.Known:
		f.answers[addr] = a
		f.changed = true
	}
	return q.Self, a, true
}

// union returns the processes that the answers of the polled keepers list. The caller
// holds mu.
func (f *Finder) union(polled []string) map[string]wire.Node {
	found := map[string]wire.Node{}
	for _, addr := range polled {
		for _, n := range f.answers[addr].Nodes {
			if old, ok := found[n.Name]; !ok || n.Incarnation >= old.Incarnation {
				found[n.Name] = n
			}
		}
	}
	return found
}

// setKnown sets the known processes. While no keeper answers, the last known ones
// stay. The caller holds mu.
func (f *Finder) setKnown(found map[string]wire.Node) {
	if len(found) > 0 {
		f.known = found
	}
}
