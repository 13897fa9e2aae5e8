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
func TestJobComesAgainWhileItsRunEnds(t *testing.T) {
	b := newBed(t)
	var now, most atomic.Int32
	begun, over := make(chan struct{}, 9), make(chan struct{})
	slow := func(ctx context.Context, _ wire.StartRun) wire.RunEnded {
		most.Store(max(most.Load(), now.Add(1)))
		defer now.Add(-1)
		begun <- struct{}{}
		<-ctx.Done()
		<-over
		return wire.RunEnded{End: batch.Stopped, Shown: batch.ByListing}
	}
	b.agent("a1", 1000, slow)
	b.agent("a2", 1000, slow)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-begun
		cancel()
	}()
	submit := func(ctx context.Context) string {
		return kindOf(b.broker.Submit(ctx, new(caller), queue(), job("j", batch.Step{Count: 1}), time.Now().Add(time.Minute)))
	}
	assert.Equal(t, submit(ctx), "broken")
	again, leave := context.WithTimeout(t.Context(), time.Second)
	defer leave()
	assert.Equal(t, submit(again), "broken")
	assert.Equal(t, most.Load(), int32(1), "highest number of simultaneous runs of the task")
	close(over)
}
