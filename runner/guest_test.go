package runner_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cyclamenrelay.example/batch"
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/wire"
)

// Guards against refusing an entry whose first report is under way: an entry without a
// lease is asked whether it still wants the run.
func TestRunIsConfirmedBeforeTheFirstLease(t *testing.T) {
	x := newTarget()
	b := newTestbedWithLease(t, x, 30*time.Millisecond)
	b.mu.Lock()
	b.refusesRenewals = true
	b.mu.Unlock()
	b.openTarget()
	end := b.start("t1", 100)
	b.await("a question whether the run is wanted", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(b.confirmations) > 0
	})
	assert.Assert(t, (<-end).End != batch.NotStarted, "the task was refused though its entry confirmed it")
}

// Guards against a start that was delayed on its way: its entry has given the run up, and
// the task may run elsewhere.
func TestUnconfirmedRunIsNotStarted(t *testing.T) {
	x := newTarget()
	b := newTestbed(t, x)
	b.mu.Lock()
	b.gaveUp, b.refusesRenewals = true, true
	b.mu.Unlock()
	b.openTarget()
	e := <-b.start("t1", 100)
	assert.Equal(t, e.End, batch.NotStarted)
	assert.Equal(t, x.maxSimultaneous, 0)
}

// guest adds an entry that the agent does not find by itself, and returns a function that
// sends a task to the agent, and one that returns the number of reports.
func (b *testbed) guest(name string) (start func(task string) <-chan wire.RunEnded, reports func() int) {
	n := b.node(name, keys.Entry)
	count := make(chan int, 1)
	count <- 0
	link.Handle(n.Mux(), func(context.Context, link.Peer, wire.LoadReport) wire.Message {
		count <- <-count + 1
		return wire.Done{}
	}, keys.Agent)
	link.Handle(n.Mux(), func(context.Context, link.Peer, wire.ConfirmRun) wire.Message { return wire.Done{} }, keys.Agent)
	b.serve(n)
	start = func(task string) <-chan wire.RunEnded {
		out := make(chan wire.RunEnded, 1)
		go func() {
			a, _ := n.Call(b.t.Context(), link.Dest{Address: b.agent.Address()}, wire.StartRun{
				Job: "j", Task: task, Run: 1, Need: batch.Resources{CPU: 10}, Estimate: time.Second, Slack: time.Second, MaxStartDelay: longLease,
			})
			e, _ := a.(wire.RunEnded)
			out <- e
		}()
		return out
	}
	return start, func() int {
		c := <-count
		count <- c
		return c
	}
}

// Pattern: an entry whose own targets are full sends a task to an agent that does not know
// it. The agent runs it, reports to that entry meanwhile, and not for good.
func TestGuestEntryGetsReportsWhileItHasRuns(t *testing.T) {
	x := newTarget()
	b := newTestbedWithLease(t, x, 500*time.Millisecond)
	b.openTarget()
	start, reports := b.guest("guest")
	end := start("t1")
	b.await("the run to start", func() bool { return b.runCount() == 1 })
	b.await("reports to the guest", func() bool { return reports() > 8 })
	assert.Equal(t, b.runCount(), 1, "the run ended though its entry answered the reports")
	x.finish("t1", 1, batch.Done)
	assert.Equal(t, (<-end).End, batch.Done)
	b.await("the reports to end", func() bool {
		before := reports()
		<-clockwork.NewRealClock().After(time.Second)
		return reports() == before
	})
}

// Pattern: a target has filled up since its last report. A returnable task comes back at
// once with the load, and is certainly not started; another one waits.
func TestFullTargetReturnsTasks(t *testing.T) {
	x := newTarget()
	b := newTestbed(t, x)
	b.openTarget()
	send := func(task string, returnable bool) <-chan wire.RunEnded {
		out := make(chan wire.RunEnded, 1)
		go func() {
			a, _ := b.entry.CallPeer(b.t.Context(), "agent-1", wire.StartRun{
				Job: "j", Task: task, Run: 1, Need: batch.Resources{CPU: 600}, MaxStartDelay: longLease, Returnable: returnable,
			})
			e, _ := a.(wire.RunEnded)
			out <- e
		}()
		return out
	}
	first := send("t1", true)
	b.await("the first run to start", func() bool { return b.runCount() == 1 })
	e := <-send("t2", true)
	assert.Equal(t, e.End, batch.NotStarted)
	assert.Assert(t, e.Returned && e.Load != nil && e.Load.Used.CPU == 600)
	third := send("t3", false)
	b.await("the third task to wait", func() bool { return b.lastReport().Backlog.Total().CPU == 600 })
	x.finish("t1", 1, batch.Done)
	assert.Equal(t, (<-first).End, batch.Done)
	b.await("the third run to start", func() bool { return b.runCount() == 1 })
	x.finish("t3", 1, batch.Done)
	assert.Equal(t, (<-third).End, batch.Done)
}

// Pattern: a busy target starts and ends many short runs. Their answers carry its load, so
// that reports come no oftener than the entry's lease needs.
func TestShortRunsCauseNoMoreReports(t *testing.T) {
	x := newTarget()
	b := newTestbed(t, x)
	b.openTarget()
	reports := func() int {
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(b.reports)
	}
	before, since := reports(), time.Now()
	for i := range 40 {
		task := fmt.Sprint("t", i)
		end := b.startRunning(task)
		x.finish(task, 1, batch.Done)
		assert.Equal(t, (<-end).End, batch.Done)
	}
	atMost := 2 + int(time.Since(since)/timing(longLease).BusyInterval)
	assert.Assert(t, reports()-before <= atMost, "%d reports, expected are at most %d", reports()-before, atMost)
}
