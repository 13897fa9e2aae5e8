package broker_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cyclamenrelay.example/batch"
	"cyclamenrelay.example/broker"
)

// submitAsync submits a job by the testbed's fake clock.
func submitAsync(b *testbed, clock *clockwork.FakeClock) <-chan broker.Outcome {
	out := make(chan broker.Outcome, 1)
	go func() {
		j := job("j", batch.Step{Count: 1})
		out <- b.broker.Submit(b.t.Context(), new(caller), queue(), j, clock.Now().Add(10*time.Second))
	}()
	return out
}

// Pattern: all processes start at once. Guards against refusals by an entry that has not
// heard of its targets yet.
func TestJobBeforeTheFirstReportIsServed(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := newTestbedWithClock(t, "entry-1", nil, clock)
	out := submitAsync(b, clock)
	// The broker's ticker and the job that waits for a report.
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 2))
	b.agent("a1", 1000, done)
	assert.Equal(t, <-out, broker.Outcome(broker.Complete{}))
}

// Guards against jobs that wait for good at an entry without targets.
func TestJobIsRefusedAfterTheWarmUp(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := newTestbedWithClock(t, "entry-1", nil, clock)
	out := submitAsync(b, clock)
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 2))
	clock.Advance(2 * time.Second)
	assert.Equal(t, outcomeKind(<-out), "refuse")
	assert.Equal(t, outcomeKind(<-submitAsync(b, clock)), "refuse")
}
