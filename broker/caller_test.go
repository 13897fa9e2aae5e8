package broker_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/batch"
	"cyclamenrelay.example/broker"
	"cyclamenrelay.example/wire"
)

// Guards against a second run of a job that its caller, after leaving, has already sent
// to another entry.
func TestCallerGoneBeforeStart(t *testing.T) {
	b := newTestbed(t)
	b.agent("a1", 100, done)
	gone := &caller{}
	gone.gone.Store(true)
	o := b.broker.Submit(t.Context(), gone, queue(), job("j", batch.Step{Count: 1}), time.Now().Add(time.Minute))
	assert.Equal(t, outcomeKind(o), "refuse", "%+v", o)
	assert.Equal(t, len(b.startedTasks()), 0)
	assert.Equal(t, outcomeKind(b.submit(job("j", batch.Step{Count: 1}))), "complete", "the refused job or its reserved capacity was not released")
}

// Guards against starting the next step or another run of a task after the caller has
// left while the entry was paused.
func TestCallerGoneBeforeLaterStart(t *testing.T) {
	for name, end := range map[string]batch.End{"next step": batch.Done, "next run": batch.Failed} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t)
			var c caller
			b.agent("a1", 1000, func(context.Context, wire.StartRun) wire.RunEnded {
				c.gone.Store(true)
				return wire.RunEnded{End: end, Proof: batch.ProofListing}
			})
			o := b.broker.Submit(t.Context(), &c, queue(), job("j", batch.Step{Count: 1}, batch.Step{Count: 1, After: []int{0}}), time.Now().Add(time.Minute))
			assert.Equal(t, outcomeKind(o), "broken", "%+v", o)
			assert.DeepEqual(t, b.startedTasks(), []string{"j.0.0.0"})
		})
	}
}

// doneWatcher is a context that closes waiting when a call first asks for Done.
type doneWatcher struct {
	context.Context
	waiting chan struct{}
}

func (w doneWatcher) Done() <-chan struct{} {
	close(w.waiting)
	return w.Context.Done()
}

// Guards against giving up a job while another of its callers still waits.
func TestOneOfTwoCallersGone(t *testing.T) {
	b := newTestbed(t)
	running, proceed := make(chan struct{}, 2), make(chan struct{})
	b.agent("a1", 1000, func(context.Context, wire.StartRun) wire.RunEnded {
		running <- struct{}{}
		<-proceed
		return wire.RunEnded{End: batch.Done, Proof: batch.ProofListing}
	})
	j := job("j", batch.Step{Count: 1}, batch.Step{Count: 1, After: []int{0}})
	outcomes := make(chan broker.Outcome, 2)
	submit := func(ctx context.Context, c broker.Caller) {
		outcomes <- b.broker.Submit(ctx, c, queue(), j, time.Now().Add(time.Minute))
	}
	var first caller
	go submit(t.Context(), &first)
	<-running
	second := doneWatcher{t.Context(), make(chan struct{})}
	go submit(second, new(caller))
	<-second.waiting
	first.gone.Store(true)
	close(proceed)
	assert.Equal(t, outcomeKind(<-outcomes), "complete")
	assert.Equal(t, outcomeKind(<-outcomes), "complete")
	assert.Equal(t, len(b.startedTasks()), 2)
}
