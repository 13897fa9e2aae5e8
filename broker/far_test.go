package broker_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/batch"
	"cyclamenrelay.example/broker"
)

// The agent must get the run time that is expected away from the data: its own estimates of
// speed and of the time until capacity is free follow from it.
func TestStartsAwayFromTheDataHaveALongerEstimate(t *testing.T) {
	b := newTestbed(t)
	b.agent("a1", 1000, done)
	assert.Equal(t, b.submit(job("away", batch.Step{Count: 1, Rack: "r1"})), broker.Outcome(broker.Complete{}))
	assert.Equal(t, b.submit(job("anywhere", batch.Step{Count: 1})), broker.Outcome(broker.Complete{}))
	b.mu.Lock()
	defer b.mu.Unlock()
	assert.Equal(t, b.starts[0].Estimate, 1500*time.Millisecond)
	assert.Equal(t, b.starts[1].Estimate, time.Second)
}
