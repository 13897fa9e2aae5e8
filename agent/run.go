package agent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel/attribute"

	"cyclamenrelay.example/link"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/spans"
	"cyclamenrelay.example/spread"
	"cyclamenrelay.example/wire"
)

// start serves wire.Start: it runs the task now, or refuses it.
func (a *Agent) start(ctx context.Context, _ link.Peer, m wire.Start) wire.Message {
	ctx, span := spans.Start(spans.Extract(ctx, m.Trace), "agent", attribute.String("task", m.Task.ID))
	defer span.End()
	if m.Task.Job != "" {
		// The owner may die; its successor asks for the outcome.
		ctx = context.WithoutCancel(ctx)
	}
	o := a.log.run(ctx, m.Task, func(ctx context.Context) model.Outcome { return a.run(ctx, m.Task) })
	span.SetAttributes(attribute.String("outcome", model.OutcomeName(o)))
	return a.result(m.Task.ID, o)
}

func (a *Agent) result(id string, o model.Outcome) wire.Message {
	r := wire.Result{ID: id, Free: a.free()}
	switch o := o.(type) {
	case model.Complete:
		r.Complete, r.Digest = &o, xxhash.Sum64(o.Body)
	case model.Failed:
		r.Failed = &o
	case model.NotRun:
		r.NotRun = &o
	}
	return r
}

func (a *Agent) cancel(_ context.Context, _ link.Peer, m wire.Cancel) wire.Message {
	a.log.cancel(m.ID)
	return wire.Done{}
}

// free returns how many slots the target has free.
func (a *Agent) free() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.target
	if l == nil || a.draining || !a.opts.Clock.Now().Before(l.ends) {
		return 0
	}
	return max(0, l.target.Slots-a.running)
}

func (a *Agent) run(ctx context.Context, t model.Task) model.Outcome {
	l, refusal := a.take()
	if refusal != nil {
		return *refusal
	}
	defer a.release()
	if t.TimeLeft > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, t.TimeLeft)
		defer cancel()
	}
	ctx, span := spans.Start(ctx, "target", attribute.String("target", l.target.Name))
	defer span.End()
	defer a.tend(ctx, t.ID)()
	return a.post(ctx, l, t)
}

// steered is what the configuration makes of the target.
type steered struct {
	version uint64
	of      *lease
	target  model.Target
	drained bool
}

// steered is called with mu held and a target present.
func (a *Agent) steered(cfg model.Config) steered {
	if a.steer.of != a.target || a.steer.version != cfg.Version() {
		t := a.target.target
		a.steer = steered{cfg.Version(), a.target, spread.Effective(cfg, t), spread.Drained(cfg, t)}
	}
	return a.steer
}

// take holds a slot of the target, or says why there is none to hold.
func (a *Agent) take() (*lease, *model.NotRun) {
	if !a.opts.View.Usable() {
		return nil, &model.NotRun{Code: model.CodeStale, Reason: "the agent has no fresh configuration"}
	}
	cfg := a.opts.View.Config()
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.target
	switch {
	case a.draining:
		return nil, &model.NotRun{Code: model.CodeLeaving, Reason: "the agent is shutting down"}
	case l == nil || !a.opts.Clock.Now().Before(l.ends):
		return nil, &model.NotRun{Code: model.CodeNoTarget, Reason: "the agent's target is gone"}
	case a.steered(cfg).drained:
		return nil, &model.NotRun{Code: model.CodeLeaving, Reason: "the target is drained"}
	case a.running >= l.target.Slots:
		return nil, &model.NotRun{Code: model.CodeBusy, Reason: "the target has no free slot"}
	}
	a.running++
	return l, nil
}

func (a *Agent) release() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running--
	if a.running < 0 {
		panic("agent: more slots released than taken")
	}
	if a.draining && a.running == 0 {
		a.closeIdle()
	}
}

func (a *Agent) post(ctx context.Context, l *lease, t model.Task) model.Outcome {
	name := l.target.Name
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, l.url+"/v1/tasks/"+url.PathEscape(t.ID), bytes.NewReader(t.Body))
	if err != nil {
		return model.NotRun{Code: model.CodeInvalid, Reason: err.Error()}
	}
	// net/http must not send the task a second time on a broken connection.
	req.GetBody = nil
	setHeaders(req.Header, t, spans.Inject(ctx))
	resp, err := l.client.Do(req)
	if err != nil {
		return postError(ctx, name, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, model.MaxBody+1))
	switch {
	case err != nil:
		return model.Failed{Reason: "the answer broke off: " + err.Error(), MayHaveRun: true, Target: name}
	case resp.StatusCode == http.StatusTooManyRequests && resp.Header.Get("Relay-Outcome") == "notRun":
		return model.NotRun{Code: model.CodeBusy, Reason: "the target refused the task"}
	case resp.StatusCode < 200 || resp.StatusCode > 299:
		return model.Failed{Reason: "the target answered " + resp.Status, Status: resp.StatusCode, Target: name}
	case len(body) > model.MaxBody:
		return model.Failed{Reason: "the answer is larger than the limit", Status: resp.StatusCode, Target: name}
	}
	return model.Complete{Status: resp.StatusCode, Body: body, Target: name, Type: resp.Header.Get("Content-Type")}
}

// postError tells a task that was never sent from one that may have run.
func postError(ctx context.Context, target string, err error) model.Outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return model.NotRun{Code: model.CodeNoTarget, Reason: "the target cannot be reached"}
	}
	if ctx.Err() != nil {
		return model.Failed{Reason: "stopped: " + context.Cause(ctx).Error(), MayHaveRun: true, Target: target}
	}
	return model.Failed{Reason: "no answer: " + err.Error(), MayHaveRun: true, Target: target}
}

func setHeaders(h http.Header, t model.Task, parent string) {
	if t.Type != "" {
		h.Set("Content-Type", t.Type)
	}
	if parent != "" {
		h.Set("Traceparent", parent)
	}
	if t.TimeLeft > 0 {
		h.Set("Relay-Deadline", t.TimeLeft.String())
	}
	if t.Job != "" {
		h.Set("Relay-Job", t.Job)
	}
	h.Set("Relay-Lease", taskLease.String())
	pairs := make([]string, 0, len(t.Labels))
	for k, v := range t.Labels {
		pairs = append(pairs, k+"="+v)
	}
	slices.Sort(pairs)
	h.Set("Relay-Labels", strings.Join(pairs, ","))
}
