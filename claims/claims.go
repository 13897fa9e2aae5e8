// Package claims runs non-idempotent requests at most once: each is recorded in
// the ledger before it starts, whoever dies and however often callers resend.
package claims

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"cyclamenrelay.example/leader"
	"cyclamenrelay.example/ledger"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/record"
	"cyclamenrelay.example/wire"
)

// ServiceName is the name that other services find the manager by.
const ServiceName = "claims"

const (
	// settleWait bounds how long an answer waits for its record.
	settleWait = 3 * time.Second
	pollPause  = 100 * time.Millisecond
	maxUnrun   = 10_000 // claims that are remembered as not run
)

// Router runs single tasks; route.Router is one.
type Router interface {
	Do(ctx context.Context, t model.Task, guard func(ctx context.Context, agent wire.Node) bool) model.Outcome
}

// Manager is the service that owns claims.
type Manager struct {
	book   record.Book
	router Router
	wg     sync.WaitGroup
	ctx    context.Context
	stop   context.CancelFunc

	mu    sync.Mutex
	unrun map[string]bool // claims whose record was not confirmed and which were not run
}

// New returns a manager of claims.
func New(b record.Book, r Router) *Manager {
	m := &Manager{book: b, router: r, unrun: map[string]bool{}}
	m.ctx, m.stop = context.WithCancel(context.Background())
	return m
}

// Name implements kernel.Service.
func (m *Manager) Name() string { return ServiceName }

// Run implements kernel.Service.
func (m *Manager) Run(ctx context.Context) error {
	<-ctx.Done()
	m.stop()
	m.wg.Wait()
	return nil
}

func (m *Manager) background(f func(context.Context)) {
	m.wg.Go(func() { f(m.ctx) })
}

// digest identifies what a task asks for; how soon and how urgent is not part of it.
func digest(t model.Task) []byte {
	return record.Digest(model.Task{Labels: t.Labels, Selector: t.Selector, Body: t.Body, Type: t.Type})
}

// Do runs a non-idempotent request at most once: its key is recorded before
// it starts, and a resend gets the first answer or the truth that it may have run.
func (m *Manager) Do(ctx context.Context, key string, t model.Task) model.Outcome {
	// The work goes on when its caller goes away, so that a resend finds its answer.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), t.TimeLeft)
	defer cancel()
	deadline := m.book.Clock.Now().Add(t.TimeLeft)
	digest := digest(t)
	id := uuid.NewString()
	open := ledger.OpenClaim{Key: key, Digest: digest, Owner: m.book.Owner(), ID: id}
	rctx, rcancel := context.WithTimeout(ctx, record.OpenLimit)
	defer rcancel()
	res, err := m.book.Propose(rctx, key, open)
	if err != nil {
		m.unclaim(key, id, err)
		return model.NotRun{Code: model.CodeNoQuorum, Reason: "the claim could not be recorded: " + err.Error(), RetryAfter: time.Second}
	}
	r, ok := res.(ledger.ClaimResult)
	switch {
	case !ok:
		return model.NotRun{Code: model.CodeInvalid, Reason: record.Reason(res)}
	case r.Verdict == ledger.Full:
		return model.NotRun{Code: model.CodeQueueFull, Reason: "the ledger is full", RetryAfter: time.Minute}
	case r.Verdict == ledger.Conflict:
		return model.NotRun{Code: model.CodeConflict, Reason: "the key was used for another request"}
	case r.Claim.ID != id || r.Claim.Owner != m.book.Owner():
		return m.earlier(ctx, *r.Claim)
	}
	t = t.WithTimeLeft(deadline.Sub(m.book.Clock.Now()))
	o := m.router.Do(ctx, t, nil)
	m.settle(key, id, o)
	return o
}

// unclaim releases a claim that was sent but not answered: its work was not run.
func (m *Manager) unclaim(key, id string, err error) {
	var unsent leader.Unsent
	if errors.As(err, &unsent) {
		return
	}
	m.mu.Lock()
	if len(m.unrun) < maxUnrun {
		m.unrun[id] = true
	}
	m.mu.Unlock()
	m.background(func(ctx context.Context) {
		m.finish(ctx, key, ledger.ReleaseClaim{Key: key, Owner: m.book.Owner(), ID: id})
	})
}

func (m *Manager) forsaken(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unrun[id]
}

// settle records the end of a claim, and waits for the record a short while.
func (m *Manager) settle(key, id string, o model.Outcome) {
	var c ledger.Command
	switch o := o.(type) {
	case model.Complete:
		c = ledger.FinishClaim{Key: key, Owner: m.book.Owner(), ID: id, Complete: &o}
	case model.Failed:
		c = ledger.FinishClaim{Key: key, Owner: m.book.Owner(), ID: id, Failed: &o}
	case model.NotRun:
		c = ledger.ReleaseClaim{Key: key, Owner: m.book.Owner(), ID: id}
	}
	done := make(chan struct{})
	m.background(func(ctx context.Context) {
		defer close(done)
		m.finish(ctx, key, c)
	})
	select {
	case <-done:
	case <-m.book.Clock.After(settleWait):
	}
}

func (m *Manager) finish(ctx context.Context, key string, c ledger.Command) {
	ctx, cancel := context.WithTimeout(ctx, record.EndLimit)
	defer cancel()
	if _, err := m.book.Propose(ctx, key, c); err != nil {
		m.book.Log.Warn("end of work not recorded", zap.String("key", key), zap.Error(err))
	}
}

// earlier answers a resend by what is known of the first request.
func (m *Manager) earlier(ctx context.Context, c ledger.Claim) model.Outcome {
	if m.forsaken(c.ID) {
		// The record came through after its request was answered as not run.
		m.background(func(ctx context.Context) {
			m.finish(ctx, c.Key, ledger.ReleaseClaim{Key: c.Key, Owner: m.book.Owner(), ID: c.ID})
		})
		return model.NotRun{Code: model.CodeBusy, Reason: "an earlier claim is being released", RetryAfter: pollPause}
	}
	for pause := pollPause; c.Status == ledger.Open && m.book.Alive(c.Owner); pause = min(2*pause, record.MaxPause) {
		select {
		case <-ctx.Done():
			return model.Failed{Reason: "the first request with this key is still in progress", MayHaveRun: true}
		case <-m.book.Clock.After(pause):
		}
		res, err := m.book.Query(ctx, c.Key, ledger.GetClaim{Key: c.Key})
		if err != nil {
			continue
		}
		r, ok := res.(ledger.ClaimResult)
		if !ok || r.Claim == nil {
			return model.NotRun{Code: model.CodeBusy, Reason: "the first request with this key was not run", RetryAfter: pollPause}
		}
		c = *r.Claim
	}
	switch {
	case c.Complete != nil && c.BodyKept:
		return *c.Complete
	case c.Complete != nil:
		return model.Failed{Reason: "the request was complete before; its answer is too large to be kept", MayHaveRun: true}
	case c.Failed != nil:
		return *c.Failed
	}
	return model.Failed{Reason: "the entry that had the request is gone", MayHaveRun: true}
}
