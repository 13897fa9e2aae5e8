package member

import (
	"context"
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
	findInterval = time.Second
	findTimeout  = time.Second
	// NodeLease is how long a process counts as alive after it was heard of.
	NodeLease = 5 * time.Second
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
}

// NewFinder returns a finder that starts from the addresses in join.
func NewFinder(node *link.Node, clock clockwork.Clock, log *zap.Logger, self wire.Node, join []string) *Finder {
	return &Finder{node: node, clock: clock, log: log, self: self, join: join, found: map[string]wire.Node{}}
}

// Name implements kernel.Service.
func (f *Finder) Name() string { return ServiceName }

// Self returns this process as others see it.
func (f *Finder) Self() wire.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.self
}

// SetReplica announces the random number of this keeper's data folder.
func (f *Finder) SetReplica(n uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.self.Replica = n
}

// Leave announces from now on that this process is shutting down.
func (f *Finder) Leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.self.Leaving = true
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
	link.On(f.node.Mux(), func(context.Context, link.Peer, wire.FindNodes) wire.Message {
		f.mu.Lock()
		defer f.mu.Unlock()
		out := wire.Nodes{Nodes: []wire.Node{f.self}}
		for name, n := range f.found {
			if name != f.self.Name {
				out.Nodes = append(out.Nodes, n)
			}
		}
		return out
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
		return f.join
	}
	return out
}

// Run implements kernel.Service.
func (f *Finder) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		f.round(ctx)
		select {
		case <-ctx.Done():
		case <-f.clock.After(findInterval):
		}
	}
	return nil
}

// round announces this process to every keeper and takes the union of their answers.
func (f *Finder) round(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	addrs := f.Addresses(keys.Keeper)
	for _, a := range f.join {
		if !slices.Contains(addrs, a) {
			addrs = append(addrs, a)
		}
	}
	answers := make([]wire.Nodes, len(addrs))
	var wg sync.WaitGroup
	for i, addr := range addrs {
		wg.Go(func() {
			m, err := f.node.Call(ctx, link.To{Address: addr}, wire.FindNodes{Self: f.Self()})
			if err != nil {
				f.log.Debug("process not reached", zap.String("address", addr), zap.Error(err))
				return
			}
			answers[i], _ = m.(wire.Nodes)
		})
	}
	wg.Wait()
	found := map[string]wire.Node{}
	for _, a := range answers {
		for _, n := range a.Nodes {
			if old, ok := found[n.Name]; !ok || n.Incarnation >= old.Incarnation {
				found[n.Name] = n
			}
		}
	}
	if len(found) == 0 {
		return
	}
	f.mu.Lock()
	f.found = found
	f.mu.Unlock()
}
