package agent

import (
	"context"

	"go.opentelemetry.io/otel/attribute"

	"cyclamenrelay.example/link"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/share"
	"cyclamenrelay.example/spans"
	"cyclamenrelay.example/wire"
)

// handleStart handles wire.Start: it runs the task to its end, or refuses it.
func (a *Agent) handleStart(ctx context.Context, p link.Peer, m wire.Start) wire.Message {
	a.beginStart()
	defer a.endStart()
	ctx, span := spans.Start(spans.Extract(ctx, m.Trace), "agent", attribute.String("task", m.Task.ID))
	defer span.End()
	if m.Task.Job != "" {
		// The task goes on when the job's owner fails: the next owner asks for the outcome.
		ctx = context.WithoutCancel(ctx)
	}
	if inc := a.finder.Self().Incarnation; m.Incarnation != 0 && m.Incarnation != inc {
		return a.result(m.Task.ID, model.NotRun{Code: model.CodeBusy, Reason: "the agent has restarted"})
	}
	if m.Task.TimeLeft <= 0 {
		return a.result(m.Task.ID, model.NotRun{Code: model.CodeDeadline, Reason: "the deadline passed before the start"})
	}
	m.Task = m.Task.WithTimeLeft(min(m.Task.TimeLeft, model.MaxTimeToLive))
	o := a.starts.run(ctx, m.Task, func(ctx context.Context) model.Outcome { return a.run(ctx, p.Name, m) })
	span.SetAttributes(attribute.String("outcome", model.OutcomeName(o)))
	return a.result(m.Task.ID, o)
}

// result returns the answer to a start, with the number of free slots.
func (a *Agent) result(id string, o model.Outcome) wire.Message {
	r := wire.ResultOf(id, o)
	r.Free = a.free()
	return r
}

// handleFence handles wire.Fence, by which a job's new owner takes over its tasks.
func (a *Agent) handleFence(_ context.Context, _ link.Peer, m wire.Fence) wire.Message {
	tasks, ok := a.starts.fence(m.Job, m.Epoch)
	return wire.Fenced{Incarnation: a.finder.Self().Incarnation, Tasks: tasks, Refused: !ok}
}

// handleCancel handles wire.Cancel.
func (a *Agent) handleCancel(_ context.Context, _ link.Peer, m wire.Cancel) wire.Message {
	a.starts.cancel(m.ID)
	return wire.Done{}
}

// run waits for the core to give the task a slot, and runs it on the target.
func (a *Agent) run(ctx context.Context, entry string, m wire.Start) model.Outcome {
	l, refusal := a.usableLease()
	if refusal != nil {
		return *refusal
	}
	if refusal = a.awaitSlot(ctx, entry, m); refusal != nil {
		return *refusal
	}
	t := m.Task
	defer a.step(share.Finished{ID: t.ID})
	if refusal = a.lateRefusal(l); refusal != nil {
		return *refusal
	}
	ctx, cancel := context.WithTimeout(ctx, t.TimeLeft)
	defer cancel()
	ctx, span := spans.Start(ctx, "target", attribute.String("target", l.target.Name))
	defer span.End()
	stopRenewal := a.renewLease(ctx, t.ID)
	o := l.client.Start(ctx, l.target.Name, t, taskLease)
	stopRenewal()
	switch o := o.(type) {
	case model.Failed:
		if o.MayHaveRun {
			a.stopTask(t.ID)
		}
	case model.NotRun:
		if o.Code == model.CodeNoTarget {
			a.endLease(l)
		}
	}
	return o
}

// usableLease returns the lease of the target, or the refusal to start new tasks
// on it.
func (a *Agent) usableLease() (*lease, *model.NotRun) {
	if !a.opts.View.Usable() {
		return nil, &model.NotRun{Code: model.CodeStale, Reason: "the agent has no fresh configuration"}
	}
	cfg := a.opts.View.Config()
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.targetLease
	switch {
	case a.draining:
		return nil, &model.NotRun{Code: model.CodeLeaving, Reason: "the agent is shutting down"}
	case l == nil || !a.opts.Clock.Now().Before(l.ends):
		return nil, &model.NotRun{Code: model.CodeNoTarget, Reason: "the agent has no target with a valid lease"}
	case a.targetDrained(cfg):
		return nil, &model.NotRun{Code: model.CodeLeaving, Reason: "the target is drained"}
	}
	return l, nil
}

// awaitSlot passes the start to the core and waits until the core gives it a slot or
// refuses it.
func (a *Agent) awaitSlot(ctx context.Context, entry string, m wire.Start) *model.NotRun {
	decision := make(chan *model.NotRun, 1)
	id := m.Task.ID
	a.mu.Lock()
	a.undecided[id] = decision
	a.mu.Unlock()
	a.step(share.Start{Entry: entry, Start: m})
	select {
	case refusal := <-decision:
		return refusal
	case <-ctx.Done():
		a.step(share.Cancelled{Entry: entry, ID: id})
		return <-decision
	}
}
