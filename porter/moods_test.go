package porter_test

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
	"cyclamenrelay.example/porter"
	"cyclamenrelay.example/wire"
)

// seeds is the number of random seeds of TestMoodyTarget. Longer manual runs set it
// higher.
var seeds = flag.Uint64("seeds", 2, "number of random seeds of TestMoodyTarget")

// moody is a target with random faults: it rejects some orders, loses some orders or
// their answers, and carries some out late.
type moody struct {
	*fakeTarget

	mu  sync.Mutex
	rng *rand.Rand
	// over holds the runs that the agent has reported as ended.
	over  map[porter.Running]bool
	wrong []string // violations that were seen
}

// errUnclear leaves open whether the order was carried out.
var errUnclear = errors.New("test: the answer was lost")

// mood draws a random number below 10, by which each kind of order chooses its fault:
// it is rejected, carried out with its answer lost, carried out late after that, or
// lost itself.
func (m *moody) mood() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rng.IntN(10)
}

// late draws the delay of an order that is carried out late.
func (m *moody) late() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(m.rng.IntN(1500)) * time.Millisecond
}

// begin starts a run, and records a violation if the agent has reported the run as
// ended.
func (m *moody) begin(o porter.Order) porter.Reply {
	a := m.fakeTarget.begin(o)
	key := porter.Running{Task: o.Task, Run: o.Run}
	m.mu.Lock()
	defer m.mu.Unlock()
	if a.Verdict == porter.Accepted && m.over[key] {
		m.wrong = append(m.wrong, fmt.Sprintf("%v was started after the agent had reported its end", key))
	}
	return a
}

func (m *moody) Start(_ context.Context, _ porter.Target, o porter.Order) (porter.Reply, error) {
	switch m.mood() {
	case 0:
		return m.reply(porter.Unhealthy), nil
	case 1:
		m.begin(o)
		return porter.Reply{}, errUnclear
	case 2:
		time.AfterFunc(m.late(), func() { m.begin(o) })
		return porter.Reply{}, errUnclear
	case 3:
		return porter.Reply{}, porter.NotDelivered{Reason: "test"}
	}
	return m.begin(o), nil
}

func (m *moody) Stop(ctx context.Context, t porter.Target, o porter.Order) (porter.Reply, error) {
	switch m.mood() {
	case 0, 1, 2, 3:
		return m.reply(porter.Unhealthy), nil
	case 4:
		_, _ = m.fakeTarget.Stop(ctx, t, o)
		return porter.Reply{}, errUnclear
	case 5:
		time.AfterFunc(m.late(), func() { _, _ = m.fakeTarget.Stop(ctx, t, o) })
		return porter.Reply{}, errUnclear
	case 6:
		return porter.Reply{}, porter.NotDelivered{Reason: "test"}
	}
	return m.fakeTarget.Stop(ctx, t, o)
}

func (m *moody) Hold(ctx context.Context, t porter.Target, h porter.Hold) (porter.Listing, error) {
	switch m.mood() {
	case 0:
		return porter.Listing{}, errUnclear
	case 1:
		_, _ = m.fakeTarget.Hold(ctx, t, h)
		return porter.Listing{}, errUnclear
	}
	return m.fakeTarget.Hold(ctx, t, h)
}

// ended records that the agent has reported the end of a run, and a violation if the
// run is still going on.
func (m *moody) ended(task string, e wire.RunEnded) {
	runs := m.isRunning(task, 1)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.over[porter.Running{Task: task, Run: 1}] = true
	if runs {
		m.wrong = append(m.wrong, fmt.Sprintf("%s was reported as %s, proven by %q, but is still running", task, e.End, e.Shown))
	}
}

// Guards against two simultaneous runs of a task: whatever a target answers, a run
// must neither continue nor start after the agent has reported its end.
func TestMoodyTarget(t *testing.T) {
	for seed := range *seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			m := &moody{fakeTarget: newTarget(), rng: rand.New(rand.NewPCG(seed, 1)), over: map[porter.Running]bool{}}
			b := newBedOf(t, m.fakeTarget, m)
			b.ready()
			var wg sync.WaitGroup
			for i := range 40 {
				wg.Go(func() {
					task := fmt.Sprint("t", i)
					time.Sleep(time.Duration(i%8) * 100 * time.Millisecond)
					a, err := b.entry.CallPeer(t.Context(), "agent-1", wire.StartRun{
						Job: "j", Task: task, Run: 1, Need: batch.Resources{CPU: 200}, Estimate: longLease, Patience: longLease,
						Overdue: time.Duration(1+i*5) * time.Millisecond,
					})
					e, ok := a.(wire.RunEnded)
					if assert.Check(t, err == nil && ok, "%v, %T", err, a) {
						m.ended(task, e)
					}
				})
			}
			wg.Wait()
			time.Sleep(1500 * time.Millisecond) // until all late orders have been carried out
			m.mu.Lock()
			defer m.mu.Unlock()
			assert.Equal(t, len(m.wrong), 0, "%v", m.wrong)
			m.change(func() { assert.Assert(t, m.most <= 1) })
		})
	}
}
