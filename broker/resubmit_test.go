package broker_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/batch"
	"cyclamenrelay.example/wire"
)

// Guards against two simultaneous runs of a task: a job whose caller had left was sent
// to the same entry again, which started it while the earlier run was being stopped.
func TestResubmittedJobWhileItsRunIsStopped(t *testing.T) {
	b := newTestbed(t)
	var running, maxRunning atomic.Int32
	started, finish := make(chan struct{}, 9), make(chan struct{})
	slow := func(ctx context.Context, _ wire.StartRun) wire.RunEnded {
		maxRunning.Store(max(maxRunning.Load(), running.Add(1)))
		defer running.Add(-1)
		started <- struct{}{}
		<-ctx.Done()
		<-finish
		return wire.RunEnded{End: batch.Stopped, Proof: batch.ProofListing}
	}
	b.agent("a1", 1000, slow)
	b.agent("a2", 1000, slow)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	submit := func(ctx context.Context) string {
		return outcomeKind(b.broker.Submit(ctx, new(caller), queue(), job("j", batch.Step{Count: 1}), time.Now().Add(time.Minute)))
	}
	assert.Equal(t, submit(ctx), "broken")
	secondCtx, cancelSecond := context.WithTimeout(t.Context(), time.Second)
	defer cancelSecond()
	assert.Equal(t, submit(secondCtx), "broken")
	assert.Equal(t, maxRunning.Load(), int32(1), "highest number of simultaneous runs of the task")
	close(finish)
}
