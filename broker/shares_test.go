package broker_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cyclamenrelay.example/batch"
	"cyclamenrelay.example/broker"
	"cyclamenrelay.example/meter"
	"cyclamenrelay.example/peers"
	"cyclamenrelay.example/wire"
)

// withShares makes the entry of a testbed admit by shares.
func withShares(o *broker.Options) { o.FairAdmission = true }

// Guards against refusing a job because a search for targets of other entries has just ended,
// while they have free capacity and the slack leaves time for another search.
func TestJobWaitsForTheNextSearch(t *testing.T) {
	lender := newTestbedWith(t, "lender", nil)
	lender.agent("a1", 100, done)
	others := func() []wire.Node {
		all := []wire.Node{lender.entryNode("lender")}
		for i := range peers.HomeEntries { // more than an agent reports to
			all = append(all, wire.Node{Name: fmt.Sprint("absent", i)})
		}
		return all
	}
	b := newTestbedWithClock(t, "entry-1", others, clockwork.NewRealClock(), withShares)
	assert.Equal(t, outcomeKind(b.submit(job("j1", batch.Step{Count: 1}))), "complete")
	lender.agent("a2", 1000, done)
	large := job("j2", batch.Step{Count: 1})
	large.Steps[0].Need.CPU = 200
	assert.Equal(t, outcomeKind(b.submit(large)), "complete")
}

// Pattern: all entries are full. Jobs are refused at once with few questions to others, and
// their callers are told to come back at different times.
func TestRefusedCallersComeBackAtDifferentTimes(t *testing.T) {
	full := func(ctx context.Context, _ wire.StartRun) wire.RunEnded {
		<-ctx.Done()
		return wire.RunEnded{End: batch.Stopped, Proof: batch.ProofListing}
	}
	lender := newTestbedWith(t, "lender", nil)
	lender.agent("a1", 100, full)
	questions := 0
	b := newTestbedWithClock(t, "entry-1", func() []wire.Node {
		questions++
		return []wire.Node{lender.entryNode("lender")}
	}, clockwork.NewRealClock(), withShares)
	counted := meter.Refusals("q", "target").Get()
	after := map[time.Duration]bool{}
	const jobs, atMostEvery = 100, 50 * time.Millisecond
	before := time.Now()
	for i := range jobs {
		j := job(fmt.Sprint("j", i), batch.Step{Count: 1})
		j.Steps[0].Need.CPU = 200
		refused, ok := b.submit(j).(broker.Refused)
		assert.Assert(t, ok && refused.Overload && refused.After >= time.Second, "%+v", refused)
		after[refused.After] = true
	}
	assert.Assert(t, questions <= 1+int(time.Since(before)/atMostEvery), "%d questions", questions)
	assert.Assert(t, len(after) > jobs/2, "%d different times", len(after))
	assert.Assert(t, meter.Refusals("q", "target").Get() >= counted+jobs)
}
