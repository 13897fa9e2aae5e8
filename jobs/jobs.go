// Package jobs runs the jobs that an entry owns. Each job is recorded in the
// ledger before its first task starts, so that no task starts twice, even if
// entries crash or callers resend.
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

// Router runs single tasks. route.Router implements it.
type Router interface {
	// RunTask runs the task on a target. If guard is not nil, it is called with the
	// agent just before the start is sent, and the start is sent only if it
	// returns true.
	RunTask(ctx context.Context, t model.Task, guard func(ctx context.Context, agent wire.Node) bool) model.Outcome
	// Candidates returns at most n agents that the task may be placed on.
	Candidates(t model.Task, n int) []wire.Node
}

// Manager is the service that runs this entry's jobs.
type Manager struct {
	records record.Store
	router  Router
	node    *link.Node
	wg      sync.WaitGroup
	ctx     context.Context
	stop    context.CancelFunc

	mu          sync.Mutex
	jobs        map[string]*job
	answerBytes int // bytes of the answers of ended jobs in jobs
}

// New returns a manager without jobs.
func New(b record.Store, r Router) *Manager {
	m := &Manager{records: b, router: r, jobs: map[string]*job{}}
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
	link.Handle(m.node.Mux(), m.handleAskJob, keys.Entry)
	return nil
}

// Run implements kernel.Service: it sweeps out ended jobs until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-m.records.Clock.After(sweepInterval):
			m.sweep()
		}
	}
	m.stop()
	m.wg.Wait()
	return nil
}

// Drain implements kernel.Drainer: it waits until all jobs have ended.
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

// digest identifies the content of a submission, without its deadline and
// urgency.
func (s Spec) digest() []byte {
	return record.Digest(struct {
		Labels   model.Labels `cbor:"1,keyasint"`
		Selector string       `cbor:"2,keyasint"`
		Tasks    []TaskBody   `cbor:"3,keyasint"`
		Restart  bool         `cbor:"4,keyasint"`
	}{s.Labels, s.Selector, s.Tasks, s.Restart})
}

const (
	// retention is how long an ended job with its answer stays in memory.
	retention     = 10 * time.Minute
	sweepInterval = 10 * time.Second
	// maxAnswerBytes is the size of all kept answers above which ended jobs are
	// dropped sooner.
	maxAnswerBytes = 64 << 20
)

// sweep drops ended jobs past the retention, and all that ended more than a
// sweepInterval ago while the kept answers exceed maxAnswerBytes.
func (m *Manager) sweep() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.records.Clock.Now()
	for key, j := range m.jobs {
		if !j.ended() {
			continue
		}
		if age := now.Sub(j.endedAt); age > retention || (m.answerBytes > maxAnswerBytes && age > sweepInterval) {
			m.answerBytes -= j.answerSize
			delete(m.jobs, key)
		}
	}
}
