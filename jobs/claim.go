package jobs

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"cyclamenrelay.example/leader"
	"cyclamenrelay.example/ledger"
	"cyclamenrelay.example/model"
)

const (
	// recordLimit bounds the wait for a record that work must not start without.
	recordLimit = 10 * time.Second
	// settleLimit bounds how long the end of work is offered to the ledger.
	settleLimit = time.Minute
	// settleWait bounds how long an answer waits for its record.
	settleWait = 3 * time.Second
	pollPause  = 100 * time.Millisecond
	maxPause   = time.Second
	maxUnrun   = 10_000 // claims that are remembered as not run
)

// Claim runs a non-idempotent request at most once: its key is recorded before
// it starts, and a resend gets the first answer or the truth that it may have run.
func (m *Manager) Claim(ctx context.Context, key string, t model.Task) model.Outcome {
	// The work goes on when its caller goes away, so that a resend finds its answer.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), t.TimeLeft)
	defer cancel()
	deadline := m.opts.Clock.Now().Add(t.TimeLeft)
	digest := taskDigest(t)
	id := uuid.NewString()
	open := ledger.OpenClaim{Key: key, Digest: digest, Owner: m.owner(), ID: id}
	rctx, rcancel := context.WithTimeout(ctx, recordLimit)
	defer rcancel()
	res, err := m.propose(rctx, key, open)
	if err != nil {
		m.unclaim(key, id, err)
		return model.NotRun{Code: model.CodeNoQuorum, Reason: "the claim could not be recorded: " + err.Error(), RetryAfter: time.Second}
	}
	r, ok := res.(ledger.ClaimResult)
	switch {
	case !ok:
		return model.NotRun{Code: model.CodeInvalid, Reason: invalid(res)}
	case r.Verdict == ledger.Full:
		return model.NotRun{Code: model.CodeQueueFull, Reason: "the ledger is full", RetryAfter: time.Minute}
	case r.Verdict == ledger.Conflict:
		return model.NotRun{Code: model.CodeConflict, Reason: "the key was used for another request"}
	case r.Claim.ID != id || r.Claim.Owner != m.owner():
		return m.earlier(ctx, *r.Claim)
	}
	t = t.WithTimeLeft(deadline.Sub(m.opts.Clock.Now()))
	o := m.opts.Router.Do(ctx, t, nil)
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
		m.finish(ctx, key, ledger.ReleaseClaim{Key: key, Owner: m.owner(), ID: id})
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
		c = ledger.FinishClaim{Key: key, Owner: m.owner(), ID: id, Complete: &o}
	case model.Failed:
		c = ledger.FinishClaim{Key: key, Owner: m.owner(), ID: id, Failed: &o}
	case model.NotRun:
		c = ledger.ReleaseClaim{Key: key, Owner: m.owner(), ID: id}
	}
	done := make(chan struct{})
	m.background(func(ctx context.Context) {
		defer close(done)
		m.finish(ctx, key, c)
	})
	select {
	case <-done:
	case <-m.opts.Clock.After(settleWait):
	}
}

func (m *Manager) finish(ctx context.Context, key string, c ledger.Command) {
	ctx, cancel := context.WithTimeout(ctx, settleLimit)
	defer cancel()
	if _, err := m.propose(ctx, key, c); err != nil {
		m.opts.Log.Warn("end of work not recorded", zap.String("key", key), zap.Error(err))
	}
}

// earlier answers a resend by what is known of the first request.
func (m *Manager) earlier(ctx context.Context, c ledger.Claim) model.Outcome {
	if m.forsaken(c.ID) {
		// The record came through after its request was answered as not run.
		m.background(func(ctx context.Context) {
			m.finish(ctx, c.Key, ledger.ReleaseClaim{Key: c.Key, Owner: m.owner(), ID: c.ID})
		})
		return model.NotRun{Code: model.CodeBusy, Reason: "an earlier claim is being released", RetryAfter: pollPause}
	}
	for pause := pollPause; c.Status == ledger.Open && m.alive(c.Owner); pause = min(2*pause, maxPause) {
		select {
		case <-ctx.Done():
			return model.Failed{Reason: "the first request with this key is still in progress", MayHaveRun: true}
		case <-m.opts.Clock.After(pause):
		}
		res, err := m.query(ctx, c.Key, ledger.GetClaim{Key: c.Key})
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
