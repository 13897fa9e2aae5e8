// Package keeper serves the replicated state to the other processes.
package keeper

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"cyclamenrelay.example/kernel"
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/member"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/wire"
)

// ServiceName is the name that other services find the keeper by.
const ServiceName = "keeper"

const watchWait = 500 * time.Millisecond

// Solo is a keeper without replicas that keeps the configuration in memory.
type Solo struct {
	Clock clockwork.Clock
	Self  func() wire.Node

	mu      sync.Mutex
	cfg     model.Config
	changed chan struct{}
}

// Name implements kernel.Service.
func (s *Solo) Name() string { return ServiceName }

// Start implements kernel.Starter.
func (s *Solo) Start(k *kernel.Kernel) error {
	n, err := kernel.Find[*link.Node](k, link.ServiceName)
	if err != nil {
		return err
	}
	s.changed = make(chan struct{})
	serveNodes(n.Mux(), member.NewTable(s.Clock, member.NodeLease), s.Self)
	link.On(n.Mux(), s.watch, keys.Entry)
	link.On(n.Mux(), s.change, keys.Entry)
	return nil
}

// Run implements kernel.Service.
func (s *Solo) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

func (s *Solo) watch(ctx context.Context, _ link.Peer, m wire.WatchConfig) wire.Message {
	s.mu.Lock()
	c, changed := s.cfg, s.changed
	s.mu.Unlock()
	if c.Version() <= m.Version {
		select {
		case <-ctx.Done():
		case <-changed:
		case <-s.Clock.After(watchWait):
		}
	}
	s.mu.Lock()
	c = s.cfg
	s.mu.Unlock()
	u := wire.ConfigUpdate{Fresh: model.Fresh{Version: c.Version()}}
	if c.Version() > m.Version {
		u.Delta = c.Since(m.Version)
	}
	return u
}

func (s *Solo) change(_ context.Context, _ link.Peer, m wire.ChangeConfig) wire.Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	ch := m.Change
	old := s.cfg.Item(ch.Key)
	if old.Count != ch.Expected {
		return wire.ChangeAnswer{Result: model.ChangeResult{Item: old, Version: s.cfg.Version(), Reason: "conflict"}}
	}
	v := s.cfg.Version() + 1
	item := model.Item{Key: ch.Key, Count: old.Count + 1, Version: v, Value: ch.Value, Operator: ch.Operator, ChangeID: ch.ID}
	s.cfg, _ = s.cfg.With(model.Delta{From: v - 1, To: v, Items: []model.Item{item}})
	close(s.changed)
	s.changed = make(chan struct{})
	return wire.ChangeAnswer{Result: model.ChangeResult{Accepted: true, Item: item, Version: v}}
}
