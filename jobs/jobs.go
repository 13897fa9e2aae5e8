// Package jobs owns jobs at an entry: each is recorded in the ledger before its
// first start, so that no task starts twice, whoever dies and however often
// callers resend.
package jobs

import (
	"context"
	"sync"
	"time"

	"cyclamenrelay.example/kernel"
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/record"
	"cyclamenrelay.example/wire"
)

// ServiceName is the name that other services find the manager by.
const ServiceName = "jobs"

// Router runs single tasks; route.Router is one.
type Router interface {
	// Do runs the task on some target for which guard, if not nil, returns
	// true just before the start is sent.
	Do(ctx context.Context, t model.Task, guard func(ctx context.Context, agent wire.Node) bool) model.Outcome
	// Candidates returns the agents that the task may be placed on, at most n.
	Candidates(t model.Task, n int) []wire.Node
}

// Manager is the service that owns jobs.
type Manager struct {
	book   record.Book
	router Router
	node   *link.Node
	wg     sync.WaitGroup
	ctx    context.Context
	stop   context.CancelFunc

	mu   sync.Mutex
	jobs map[string]*job
	kept int // bytes of kept answers
}

// New returns a manager without jobs.
func New(b record.Book, r Router) *Manager {
	m := &Manager{book: b, router: r, jobs: map[string]*job{}}
	m.ctx, m.stop = context.WithCancel(context.Background())
	return m
}

// Name implements kernel.Service.
func (m *Manager) Name() string { return ServiceName }

// Start implements kernel.Starter.
func (m *Manager) Start(k *kernel.Kernel) (err error) {
	if m.node, err = kernel.Find[*link.Node](k, link.ServiceName); err != nil {
		return err
	}
	link.On(m.node.Mux(), m.asked, keys.Entry)
	return nil
}

// Run implements kernel.Service: it forgets old jobs until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-m.book.Clock.After(sweepInterval):
			m.sweep()
		}
	}
	m.stop()
	m.wg.Wait()
	return nil
}

// Drain implements kernel.Drainer: it waits for the running jobs.
func (m *Manager) Drain(ctx context.Context) {
	for {
		m.mu.Lock()
		var open *job
		for _, j := range m.jobs {
			if !j.ended() {
				open = j
			}
		}
		m.mu.Unlock()
		if open == nil {
			return
		}
		select {
		case <-open.done:
		case <-ctx.Done():
			return
		}
	}
}

func (m *Manager) background(f func(context.Context)) {
	m.wg.Go(func() { f(m.ctx) })
}

// digest identifies what the job asks for; how soon and how urgent is not part of it.
func (s Spec) digest() []byte {
	return record.Digest(struct {
		Labels   model.Labels `cbor:"1,keyasint"`
		Selector string       `cbor:"2,keyasint"`
		Tasks    []Body       `cbor:"3,keyasint"`
		Restart  bool         `cbor:"4,keyasint"`
	}{s.Labels, s.Selector, s.Tasks, s.Restart})
}

const (
	// keepFor is how long an ended job's answer stays in this entry's memory.
	keepFor       = 10 * time.Minute
	sweepInterval = 10 * time.Second
	// maxKept bounds the answers kept in memory, in bytes.
	maxKept = 64 << 20
)

// sweep forgets jobs that ended long ago, sooner while their answers take up
// too much memory.
func (m *Manager) sweep() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.book.Clock.Now()
	for key, j := range m.jobs {
		if !j.ended() {
			continue
		}
		if age := now.Sub(j.at); age > keepFor || (m.kept > maxKept && age > sweepInterval) {
			m.kept -= j.size
			delete(m.jobs, key)
		}
	}
}
