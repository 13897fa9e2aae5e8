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

	"go.opentelemetry.io/otel/attribute"

	"cyclamenrelay.example/link"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/share"
	"cyclamenrelay.example/spans"
	"cyclamenrelay.example/wire"
)

// start serves wire.Start: it runs the task now, or refuses it.
func (a *Agent) start(ctx context.Context, p link.Peer, m wire.Start) wire.Message {
	ctx, span := spans.Start(spans.Extract(ctx, m.Trace), "agent", attribute.String("task", m.Task.ID))
	defer span.End()
	if m.Task.Job != "" {
		// The owner may die; its successor asks for the outcome.
		ctx = context.WithoutCancel(ctx)
	}
	if inc := a.finder.Self().Incarnation; m.Incarnation != 0 && m.Incarnation != inc {
		return a.result(m.Task.ID, model.NotRun{Code: model.CodeBusy, Reason: "the agent has restarted"})
	}
	o := a.log.run(ctx, m.Task, func(ctx context.Context) model.Outcome { return a.run(ctx, p.Name, m) })
	span.SetAttributes(attribute.String("outcome", model.OutcomeName(o)))
	return a.result(m.Task.ID, o)
}

func (a *Agent) result(id string, o model.Outcome) wire.Message {
	r := wire.ResultOf(id, o)
	r.Free = a.free()
	return r
}

// fence serves wire.Fence.
func (a *Agent) fence(_ context.Context, _ link.Peer, m wire.Fence) wire.Message {
	tasks, ok := a.log.fence(m.Job, m.Epoch)
	return wire.Fenced{Incarnation: a.finder.Self().Incarnation, Tasks: tasks, Refused: !ok}
}

func (a *Agent) cancel(_ context.Context, _ link.Peer, m wire.Cancel) wire.Message {
	a.log.cancel(m.ID)
	return wire.Done{}
}

// run runs the task once the core has a slot for it.
func (a *Agent) run(ctx context.Context, entry string, m wire.Start) model.Outcome {
	l, refusal := a.usable()
	if refusal != nil {
		return *refusal
	}
	if refusal = a.enter(ctx, entry, m); refusal != nil {
		return *refusal
	}
	t := m.Task
	defer a.step(share.Finished{ID: t.ID})
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

// usable returns the target's lease, or says why no new work may start there.
func (a *Agent) usable() (*lease, *model.NotRun) {
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
	case a.drained(cfg):
		return nil, &model.NotRun{Code: model.CodeLeaving, Reason: "the target is drained"}
	}
	return l, nil
}

// enter waits for the core to run or refuse the start.
func (a *Agent) enter(ctx context.Context, entry string, m wire.Start) *model.NotRun {
	d := make(chan *model.NotRun, 1)
	id := m.Task.ID
	a.mu.Lock()
	a.waiting[id] = d
	a.mu.Unlock()
	a.step(share.Start{Entry: entry, Start: m})
	select {
	case refusal := <-d:
		return refusal
	case <-ctx.Done():
		a.step(share.Cancelled{Entry: entry, ID: id})
		return <-d
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
