// Package jobs owns jobs and non-idempotent requests at an entry: each is
// recorded in the ledger before it starts, so that nothing starts twice,
// whoever dies and however often callers resend.
package jobs

import (
	"context"
	"crypto/sha256"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"cyclamenrelay.example/kernel"
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/ledger"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/member"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/spans"
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

// Ledger carries commands and queries to the ledger groups; leader.Client is one.
type Ledger interface {
	GroupOf(key string) uint32
	Propose(ctx context.Context, group uint32, command []byte) ([]byte, error)
	Query(ctx context.Context, group uint32, query []byte) ([]byte, error)
}

// Options configure a Manager.
type Options struct {
	Router Router
	Ledger Ledger
	Finder *member.Finder
	Clock  clockwork.Clock
	Log    *zap.Logger
}

// Manager is the service that owns jobs and claims.
type Manager struct {
	opts Options
	node *link.Node
	wg   sync.WaitGroup
	ctx  context.Context
	stop context.CancelFunc

	mu    sync.Mutex
	jobs  map[string]*job
	unrun map[string]bool // claims whose record was not confirmed and which were not run
	kept  int             // bytes of kept answers
}

// New returns a manager without jobs.
func New(opts Options) *Manager {
	m := &Manager{opts: opts, jobs: map[string]*job{}, unrun: map[string]bool{}}
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
		case <-m.opts.Clock.After(sweepInterval):
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

func (m *Manager) owner() ledger.Owner {
	self := m.opts.Finder.Self()
	return ledger.Owner{Entry: self.Name, Incarnation: self.Incarnation}
}

// find returns the live entry that is the owner. One that has just restarted may
// still be known here by its earlier incarnation.
func (m *Manager) find(o ledger.Owner) (wire.Node, bool) {
	for _, n := range m.opts.Finder.Nodes(keys.Entry) {
		if n.Name == o.Entry && n.Incarnation <= o.Incarnation {
			return n, true
		}
	}
	return wire.Node{}, false
}

func (m *Manager) alive(o ledger.Owner) bool {
	_, ok := m.find(o)
	return ok || o == m.owner()
}

func (m *Manager) background(f func(context.Context)) {
	m.wg.Go(func() { f(m.ctx) })
}

func (m *Manager) propose(ctx context.Context, key string, c ledger.Command) (ledger.Result, error) {
	ctx, span := spans.Start(ctx, "ledger")
	defer span.End()
	b, err := ledger.Commands.Encode(c)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	a, err := m.opts.Ledger.Propose(ctx, m.opts.Ledger.GroupOf(key), b)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return ledger.Results.Decode(a)
}

func (m *Manager) query(ctx context.Context, key string, q ledger.Query) (ledger.Result, error) {
	b, err := ledger.Queries.Encode(q)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	a, err := m.opts.Ledger.Query(ctx, m.opts.Ledger.GroupOf(key), b)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return ledger.Results.Decode(a)
}

func invalid(r ledger.Result) string {
	if i, ok := r.(ledger.Invalid); ok {
		return i.Reason
	}
	return "unexpected answer of the ledger"
}

// taskDigest identifies what a task asks for.
func taskDigest(t model.Task) []byte {
	return Spec{Labels: t.Labels, Selector: t.Selector, Tasks: []Body{{Data: t.Body, Type: t.Type}}}.digest()
}

// digest identifies what the job asks for; how soon and how urgent is not part of it.
func (s Spec) digest() []byte {
	b, err := wire.MarshalValue(struct {
		Labels   model.Labels `cbor:"1,keyasint"`
		Selector string       `cbor:"2,keyasint"`
		Tasks    []Body       `cbor:"3,keyasint"`
		Restart  bool         `cbor:"4,keyasint"`
	}{s.Labels, s.Selector, s.Tasks, s.Restart})
	if err != nil {
		panic("jobs: " + err.Error())
	}
	d := sha256.Sum256(b)
	return d[:]
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
	now := m.opts.Clock.Now()
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
