// Package claims runs non-idempotent requests at most once, even if entries
// crash or callers resend: each is claimed in the ledger before it starts.
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
	// recordWait bounds how long an answer waits for its outcome to be recorded.
	recordWait   = 3 * time.Second
	pollPause    = 100 * time.Millisecond
	maxAbandoned = 10_000 // IDs in Manager.abandoned
)

// Router runs single tasks; route.Router is one.
type Router interface {
	RunTask(ctx context.Context, t model.Task, guard func(ctx context.Context, agent wire.Node) bool) model.Outcome
}

// Manager is the service that makes and finishes this entry's claims.
type Manager struct {
	records record.Store
	router  Router
	wg      sync.WaitGroup
	ctx     context.Context
	stop    context.CancelFunc

	mu sync.Mutex
	// abandoned holds the IDs of claims that the ledger did not confirm. Their
	// requests were answered as not run, but the ledger may have recorded them.
	abandoned map[string]bool
}

// New returns a manager of claims.
func New(b record.Store, r Router) *Manager {
	m := &Manager{records: b, router: r, abandoned: map[string]bool{}}
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

// digest identifies the content of a request, without its deadline and urgency.
func digest(t model.Task) []byte {
	return record.Digest(model.Task{Labels: t.Labels, Selector: t.Selector, Body: t.Body, Type: t.Type})
}

// Do runs a non-idempotent request at most once: its key is claimed before it
// starts. A resend gets the first outcome, or a Failed with MayHaveRun when that
// is not known.
func (m *Manager) Do(ctx context.Context, key string, t model.Task) model.Outcome {
	// The request goes on when its caller disconnects, so that a resend finds the
	// answer.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), t.TimeLeft)
	defer cancel()
	deadline := m.records.Clock.Now().Add(t.TimeLeft)
	digest := digest(t)
	id := uuid.NewString()
	open := ledger.OpenClaim{Key: key, Digest: digest, Owner: m.records.Owner(), ID: id}
	rctx, rcancel := context.WithTimeout(ctx, record.OpenTimeout)
	defer rcancel()
	res, err := m.records.Propose(rctx, key, open)
	if err != nil {
		m.abandon(key, id, err)
		return model.NotRun{Code: model.CodeNoQuorum, Reason: "the claim could not be recorded: " + err.Error(), RetryAfter: time.Second}
	}
	r, ok := res.(ledger.ClaimResult)
	switch {
	case !ok:
		return model.NotRun{Code: model.CodeInvalid, Reason: record.UnexpectedReason(res)}
	case r.Verdict == ledger.Full:
		return model.NotRun{Code: model.CodeQueueFull, Reason: "the ledger is full", RetryAfter: time.Minute}
	case r.Verdict == ledger.Conflict:
		return model.NotRun{Code: model.CodeConflict, Reason: "the key was used for another request"}
	case r.Claim.ID != id || r.Claim.Owner != m.records.Owner():
		return m.answerResend(ctx, *r.Claim)
	}
	t = t.WithTimeLeft(deadline.Sub(m.records.Clock.Now()))
	o := m.router.RunTask(ctx, t, nil)
	m.recordOutcome(key, id, o)
	return o
}

// abandon releases a claim that the ledger may have recorded without an answer:
// its request was not run.
func (m *Manager) abandon(key, id string, err error) {
	var unsent leader.NotAccepted
	if errors.As(err, &unsent) {
		return
	}
	m.mu.Lock()
	if len(m.abandoned) < maxAbandoned {
		m.abandoned[id] = true
	}
	m.mu.Unlock()
	m.background(func(ctx context.Context) {
		m.proposeEnd(ctx, key, ledger.ReleaseClaim{Key: key, Owner: m.records.Owner(), ID: id})
	})
}

func (m *Manager) isAbandoned(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.abandoned[id]
}

// recordOutcome finishes or releases the claim in the background, and waits at
// most recordWait for that.
func (m *Manager) recordOutcome(key, id string, o model.Outcome) {
	var c ledger.Command
	switch o := o.(type) {
	case model.Complete:
		c = ledger.FinishClaim{Key: key, Owner: m.records.Owner(), ID: id, Complete: &o}
	case model.Failed:
		c = ledger.FinishClaim{Key: key, Owner: m.records.Owner(), ID: id, Failed: &o}
	case model.NotRun:
		c = ledger.ReleaseClaim{Key: key, Owner: m.records.Owner(), ID: id}
	}
	done := make(chan struct{})
	m.background(func(ctx context.Context) {
		defer close(done)
		m.proposeEnd(ctx, key, c)
	})
	select {
	case <-done:
	case <-m.records.Clock.After(recordWait):
	}
}

func (m *Manager) proposeEnd(ctx context.Context, key string, c ledger.Command) {
	ctx, cancel := context.WithTimeout(ctx, record.EndTimeout)
	defer cancel()
	if _, err := m.records.Propose(ctx, key, c); err != nil {
		m.records.Log.Warn("outcome of claim not recorded", zap.String("key", key), zap.Error(err))
	}
}

// answerResend answers a request whose key has a claim already. It waits for the
// first request to end while its owner is alive.
func (m *Manager) answerResend(ctx context.Context, c ledger.Claim) model.Outcome {
	if m.isAbandoned(c.ID) {
		// The ledger recorded the claim after its request was answered as not run.
		m.background(func(ctx context.Context) {
			m.proposeEnd(ctx, c.Key, ledger.ReleaseClaim{Key: c.Key, Owner: m.records.Owner(), ID: c.ID})
		})
		return model.NotRun{Code: model.CodeBusy, Reason: "an earlier claim is being released", RetryAfter: pollPause}
	}
	for pause := pollPause; c.Status == ledger.Open && m.records.OwnerAlive(c.Owner); pause = min(2*pause, record.MaxPause) {
		select {
		case <-ctx.Done():
			return model.Failed{Reason: "the first request with this key is still in progress", MayHaveRun: true}
		case <-m.records.Clock.After(pause):
		}
		res, err := m.records.Query(ctx, c.Key, ledger.GetClaim{Key: c.Key})
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
		return model.Failed{Reason: "the request completed earlier, but its answer was too large to be kept", MayHaveRun: true}
	case c.Failed != nil:
		return *c.Failed
	}
	return model.Failed{Reason: "the entry that owned the request is gone", MayHaveRun: true}
}
