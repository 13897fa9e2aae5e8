package runner_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/batch"
	"cyclamenrelay.example/runner"
	"cyclamenrelay.example/wire"
)

// seeds is the number of random seeds of TestFaultyTarget. Longer manual runs set it
// higher.
var seeds = flag.Uint64("seeds", 2, "number of random seeds of TestFaultyTarget")

// faultyTarget is a target with random faults: it rejects some orders, loses some orders
// or their answers, and carries some out late.
type faultyTarget struct {
	*fakeTarget

	mu  sync.Mutex
	rng *rand.Rand
	// reportedEnded holds the runs that the agent has reported as ended.
	reportedEnded map[runner.RunKey]bool
	violations    []string // violations that were seen
}

// errAnswerLost leaves open whether the order was carried out.
var errAnswerLost = errors.New("test: the answer was lost")

// drawFault draws a random number below 10, by which each kind of order chooses its
// fault: it is rejected, carried out with its answer lost, carried out late after that,
// or lost itself.
func (m *faultyTarget) drawFault() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rng.IntN(10)
}

// drawDelay draws the delay of an order that is carried out late.
func (m *faultyTarget) drawDelay() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(m.rng.IntN(1500)) * time.Millisecond
}

// startRun starts a run, and records a violation if the agent has reported the run as
// ended.
func (m *faultyTarget) startRun(o runner.Order) runner.Reply {
	a := m.fakeTarget.startRun(o)
	key := runner.RunKey{Task: o.Task, Run: o.Run}
	m.mu.Lock()
	defer m.mu.Unlock()
	if a.Verdict == runner.Accepted && m.reportedEnded[key] {
		m.violations = append(m.violations, fmt.Sprintf("%v was started after the agent had reported its end", key))
	}
	return a
}

func (m *faultyTarget) Start(_ context.Context, _ runner.Target, o runner.Order) (runner.Reply, error) {
	switch m.drawFault() {
	case 0:
		return m.reply(runner.Unhealthy), nil
	case 1:
		m.startRun(o)
		return runner.Reply{}, errAnswerLost
	case 2:
		time.AfterFunc(m.drawDelay(), func() { m.startRun(o) })
		return runner.Reply{}, errAnswerLost
	case 3:
		return runner.Reply{}, runner.NotDelivered{Reason: "test"}
	}
	return m.startRun(o), nil
}

func (m *faultyTarget) Stop(ctx context.Context, t runner.Target, o runner.Order) (runner.Reply, error) {
	switch m.drawFault() {
	case 0, 1, 2, 3:
		return m.reply(runner.Unhealthy), nil
	case 4:
		_, _ = m.fakeTarget.Stop(ctx, t, o)
		return runner.Reply{}, errAnswerLost
	case 5:
		time.AfterFunc(m.drawDelay(), func() { _, _ = m.fakeTarget.Stop(ctx, t, o) })
		return runner.Reply{}, errAnswerLost
	case 6:
		return runner.Reply{}, runner.NotDelivered{Reason: "test"}
	}
	return m.fakeTarget.Stop(ctx, t, o)
}

func (m *faultyTarget) Renew(ctx context.Context, t runner.Target, h runner.Renewal) (runner.Listing, error) {
	switch m.drawFault() {
	case 0:
		return runner.Listing{}, errAnswerLost
	case 1:
		_, _ = m.fakeTarget.Renew(ctx, t, h)
		return runner.Listing{}, errAnswerLost
	}
	return m.fakeTarget.Renew(ctx, t, h)
}

// recordEnd records that the agent has reported the end of a run, and a violation if the
// run is still going on.
func (m *faultyTarget) recordEnd(task string, e wire.RunEnded) {
	runs := m.isRunning(task, 1)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reportedEnded[runner.RunKey{Task: task, Run: 1}] = true
	if runs {
		m.violations = append(m.violations, fmt.Sprintf("%s was reported as %s, proven by %q, but is still running", task, e.End, e.Proof))
	}
}

// Guards against two simultaneous runs of a task: whatever a target answers, a run
// must neither continue nor start after the agent has reported its end.
func TestFaultyTarget(t *testing.T) {
	for seed := range *seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			m := &faultyTarget{fakeTarget: newTarget(), rng: rand.New(rand.NewPCG(seed, 1)), reportedEnded: map[runner.RunKey]bool{}}
			b := newTestbedWithDriver(t, m.fakeTarget, m)
			b.openTarget()
			var wg sync.WaitGroup
			for i := range 40 {
				wg.Go(func() {
					task := fmt.Sprint("t", i)
					time.Sleep(time.Duration(i%8) * 100 * time.Millisecond)
					a, err := b.entry.CallPeer(t.Context(), "agent-1", wire.StartRun{
						Job: "j", Task: task, Run: 1, Need: batch.Resources{CPU: 200}, Estimate: longLease, MaxStartDelay: longLease,
						MaxRunTime: time.Duration(1+i*5) * time.Millisecond,
					})
					e, ok := a.(wire.RunEnded)
					if assert.Check(t, err == nil && ok, "%v, %T", err, a) {
						m.recordEnd(task, e)
					}
				})
			}
			wg.Wait()
			time.Sleep(1500 * time.Millisecond) // until all late orders have been carried out
			m.mu.Lock()
			defer m.mu.Unlock()
			assert.Equal(t, len(m.violations), 0, "%v", m.violations)
			m.withLock(func() { assert.Assert(t, m.maxSimultaneous <= 1) })
		})
	}
}
