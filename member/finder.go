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

// ServiceName is the name that other services find the finder by.
const ServiceName = "member"

const (
	// findInterval is the time between an entry's or a keeper's announcements.
	findInterval = time.Second
	// agentInterval is the least time between an agent's questions. The first ones
	// follow each other sooner, from agentFirst on and each pause twice as long:
	// keepers that have just started, too, know few entries in their first second.
	agentInterval = 2 * time.Second
	agentFirst    = 200 * time.Millisecond
	findTimeout   = time.Second
	// roundsKept is how many times on average an agent asks one keeper.
	roundsKept = 500
	// NodeLease is how long a process counts as alive after it was heard of.
	NodeLease = 5 * time.Second
	// agentMemory is how long an agent knows a process that the keepers that it
	// asks do not name. A keeper that has just started names few.
	agentMemory = 5 * agentInterval
)

// Finder announces this process to the keepers and learns the other processes
// from them.
type Finder struct {
	node  *link.Node
	clock clockwork.Clock
	log   *zap.Logger
	join  []string

	mu    sync.Mutex
	self  wire.Node
	found map[string]wire.Node
	// answers holds the newest list of each keeper, by its address.
	answers map[string]wire.Nodes
	kept    string // the keeper that an agent asks
	// named holds what an agent was told, since it asks one keeper at a time.
	named *Table
	// left is closed when this process begins to shut down.
	left chan struct{}
}

// NewFinder returns a finder that starts from the addresses in join.
func NewFinder(node *link.Node, clock clockwork.Clock, log *zap.Logger, self wire.Node, join []string) *Finder {
	return &Finder{
		node: node, clock: clock, log: log, self: self, join: join,
		found: map[string]wire.Node{}, answers: map[string]wire.Nodes{}, named: NewTable(clock, agentMemory), left: make(chan struct{}),
	}
}

// Name implements kernel.Service.
func (f *Finder) Name() string { return ServiceName }

// Self returns this process as others see it.
func (f *Finder) Self() wire.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.self
}

// SetJoin replaces the addresses to start from.
func (f *Finder) SetJoin(join []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.join = join
}

// joinBy returns the addresses to start from.
func (f *Finder) joinBy() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.join
}

// SetReplica announces the random number of this keeper's data folder.
func (f *Finder) SetReplica(n uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.self.Replica = n
}

// Leave announces at once and from now on that this process is shutting down.
func (f *Finder) Leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.self.Leaving {
		f.self.Leaving = true
		close(f.left)
	}
}

// Nodes returns the known processes of a role, those of this data centre first.
func (f *Finder) Nodes(role keys.Role) []wire.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	var near, far []wire.Node
	for _, n := range f.found {
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

// Answer answers FindNodes at a process that is no keeper with what it knows,
// so that agents can join by entries alone.
func (f *Finder) Answer() {
	link.On(f.node.Mux(), func(_ context.Context, _ link.Peer, m wire.FindNodes) wire.Message {
		f.mu.Lock()
		defer f.mu.Unlock()
		nodes := []wire.Node{f.self}
		for name, n := range f.found {
			if name != f.self.Name {
				nodes = append(nodes, n)
			}
		}
		return AnswerTo(m, nodes)
	}, keys.Agent, keys.Entry)
}

// Addresses returns the addresses of the known processes of a role, those of
// this data centre first, or the addresses to join by while none is known.
func (f *Finder) Addresses(role keys.Role) []string {
	var out []string
	for _, n := range f.Nodes(role) {
		out = append(out, n.Address)
	}
	if len(out) == 0 {
		return f.joinBy()
	}
	return out
}

// Run implements kernel.Service.
func (f *Finder) Run(ctx context.Context) error {
	left := f.left
	first := agentFirst
	for ctx.Err() == nil {
		known := f.round(ctx)
		pause := findInterval
		switch {
		case f.announces():
		case first < agentInterval:
			pause = min(first, findInterval)
			first *= 2
		case known:
			pause = agentInterval + rand.N(agentInterval)
		}
		select {
		case <-ctx.Done():
		case <-left:
			left = nil
		case <-f.clock.After(pause):
		}
	}
	return nil
}

// announces reports whether this process is one that keepers keep in their tables.
func (f *Finder) announces() bool {
	roles := f.Self().Roles
	return slices.Contains(roles, string(keys.Entry)) || slices.Contains(roles, string(keys.Keeper))
}

// round asks the keepers for the live processes, and reports whether any is
// known. An entry or a keeper announces itself to every keeper; an agent asks
// one, since there are many agents.
func (f *Finder) round(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	addrs := f.Addresses(keys.Keeper)
	if !f.announces() {
		addrs = f.one(addrs)
	} else {
		for _, a := range f.joinBy() {
			if !slices.Contains(addrs, a) {
				addrs = append(addrs, a)
			}
		}
	}
	var wg sync.WaitGroup
	for _, addr := range addrs {
		wg.Go(func() { f.ask(ctx, addr) })
	}
	wg.Wait()
	return f.merge(addrs)
}

// one returns one address: that of the keeper asked last if it answered and is
// not cut off from all entries, else any of the known ones and those to join by,
// in case none of the known ones lives. Now and then it takes another one, so
// that a keeper that was away gets its part.
func (f *Finder) one(addrs []string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if slices.Contains(addrs, f.kept) && slices.ContainsFunc(f.answers[f.kept].Nodes, isEntry) && rand.N(roundsKept) != 0 {
		return []string{f.kept}
	}
	all := slices.Concat(addrs, f.join)
	if len(all) == 0 {
		return nil
	}
	f.kept = all[rand.N(len(all))]
	return []string{f.kept}
}

func isEntry(n wire.Node) bool { return slices.Contains(n.Roles, string(keys.Entry)) }

// ask keeps a keeper's answer; one that does not answer is forgotten.
func (f *Finder) ask(ctx context.Context, addr string) {
	f.mu.Lock()
	q := wire.FindNodes{Self: f.self, Known: f.answers[addr].Digest}
	f.mu.Unlock()
	m, err := f.node.Call(ctx, link.To{Address: addr}, q)
	a, ok := m.(wire.Nodes)
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case err != nil || !ok:
		f.log.Debug("process not reached", zap.String("address", addr), zap.Error(err))
		delete(f.answers, addr)
	case a.Digest != q.Known:
		f.answers[addr] = a
	}
}

// merge takes the union of the answers of the asked keepers. While none
// answers, the last known processes stay.
func (f *Finder) merge(asked []string) bool {
	alone := !f.announces()
	f.mu.Lock()
	defer f.mu.Unlock()
	found := map[string]wire.Node{}
	for _, addr := range asked {
		for _, n := range f.answers[addr].Nodes {
			if old, ok := found[n.Name]; !ok || n.Incarnation >= old.Incarnation {
				found[n.Name] = n
			}
		}
	}
	if alone {
		for _, n := range found {
			f.named.Heard(n)
		}
		for _, n := range f.named.Live() {
			found[n.Name] = n
		}
	}
	if len(found) > 0 {
		f.found = found
	}
	return len(f.found) > 0
}
