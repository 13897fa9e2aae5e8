package runner_test

import (
	"context"
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

// faultyProcess is a process whose target exits and starts again at random, under its ID or
// another one, and has the faults of faultyTarget.
type faultyProcess struct {
	*process

	mu            sync.Mutex
	rng           *rand.Rand
	reportedEnded map[runner.RunKey]bool
	violations    []string
}

// draw draws a random number below n.
func (f *faultyProcess) draw(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.IntN(n)
}

func (f *faultyProcess) delay(limit time.Duration) time.Duration {
	return time.Duration(f.draw(int(limit)))
}

func (f *faultyProcess) violated(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

// startRun starts a run on a life of the target, and records a violation if its end has been
// reported. An order that is carried out late is lost with the life that got it.
func (f *faultyProcess) startRun(x *fakeTarget, o runner.Order) (runner.Reply, error) {
	f.process.mu.Lock()
	isCurrent := f.life == x
	f.process.mu.Unlock()
	if !isCurrent {
		return runner.Reply{}, errAnswerLost
	}
	reply := x.startRun(o)
	f.mu.Lock()
	ended := f.reportedEnded[runner.RunKey{Task: o.Task, Run: o.Run}]
	f.mu.Unlock()
	if reply.Verdict == runner.Accepted && ended {
		f.violated("%s was started after its end had been reported", o.Task)
	}
	return reply, nil
}

func (f *faultyProcess) Start(_ context.Context, t runner.Target, o runner.Order) (runner.Reply, error) {
	return f.send(t, func(x *fakeTarget) (runner.Reply, error) {
		switch f.draw(10) {
		case 0:
			return x.reply(runner.Unhealthy), nil
		case 1:
			_, _ = f.startRun(x, o)
			return runner.Reply{}, errAnswerLost
		case 2:
			time.AfterFunc(f.delay(500*time.Millisecond), func() { _, _ = f.startRun(x, o) })
			return runner.Reply{}, errAnswerLost
		}
		return f.startRun(x, o)
	})
}

func (f *faultyProcess) Stop(ctx context.Context, t runner.Target, o runner.Order) (runner.Reply, error) {
	switch f.draw(10) {
	case 0, 1:
		return runner.Reply{Verdict: runner.Unhealthy}, nil
	case 2:
		_, _ = f.process.Stop(ctx, t, o)
		return runner.Reply{}, errAnswerLost
	}
	return f.process.Stop(ctx, t, o)
}

func (f *faultyProcess) Renew(ctx context.Context, t runner.Target, h runner.Renewal) (runner.Listing, error) {
	switch f.draw(10) {
	case 0:
		return runner.Listing{}, errAnswerLost
	case 1:
		_, _ = f.process.Renew(ctx, t, h)
		return runner.Listing{}, errAnswerLost
	case 2: // an agent that is suspended before the renewal
		time.Sleep(f.delay(150 * time.Millisecond))
	}
	return f.process.Renew(ctx, t, h)
}

// announcement returns the next announcement of the current life.
func (f *faultyProcess) announcement(seq int64) runner.Target {
	f.process.mu.Lock()
	defer f.process.mu.Unlock()
	a := f.life.announcement(seq, true)
	a.ID, a.StartedAt = f.id, f.startedAt
	return a
}

// announce has the current life, earlier ones and other writers announce targets until ctx ends.
func (f *faultyProcess) announce(ctx context.Context, r *runner.Runner) {
	var earlier []runner.Target
	for seq := int64(2); ctx.Err() == nil; seq++ {
		a := f.announcement(seq)
		earlier = append(earlier, a)
		odd := a
		switch f.draw(8) {
		case 0:
			odd.ID, odd.StartedAt = "i-odd", odd.StartedAt+100
		case 1:
			odd.StartedAt += 100
		case 2:
			odd.Seq, odd.Address = odd.Seq+1000, "y"
		case 3:
			odd.Seq, odd.Pool = odd.Seq+1000, "unknown"
		case 4:
			odd.ID, odd.Address, odd.Clock = "i-odd", "y", 1000*time.Hour
		case 5:
			odd = earlier[f.draw(len(earlier))]
		}
		r.HandleAnnouncement(odd)
		r.HandleAnnouncement(a)
		time.Sleep(f.delay(60 * time.Millisecond))
	}
}

// restartAtTimes restarts the target at random until ctx ends, half of the times under its ID.
func (f *faultyProcess) restartAtTimes(ctx context.Context) {
	for n := int64(8); ctx.Err() == nil; n++ {
		time.Sleep(100*time.Millisecond + f.delay(300*time.Millisecond))
		f.process.mu.Lock()
		id := f.id
		f.process.mu.Unlock()
		if f.draw(2) == 0 {
			id = fmt.Sprint("i-", n)
		}
		f.restart(id, n)
	}
}

// Guards against two simultaneous runs of a task: whoever announces whatever, and whichever life
// of the target answers, no run goes on or starts after the agent has reported its end.
func TestFaultyInstances(t *testing.T) {
	for seed := range *seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			x := newTarget()
			f := &faultyProcess{
				process: &process{life: x, id: "i-1", startedAt: 7}, rng: rand.New(rand.NewPCG(seed, 2)), reportedEnded: map[runner.RunKey]bool{},
			}
			b := newTestbedWithDriver(t, x, f)
			b.openTarget()
			ctx, cancel := context.WithCancel(t.Context())
			var background, tasks sync.WaitGroup
			background.Go(func() { f.announce(ctx, b.runner) })
			background.Go(func() { f.restartAtTimes(ctx) })
			for i := range 60 {
				tasks.Go(func() {
					task := fmt.Sprint("t", i)
					time.Sleep(time.Duration(i) * 50 * time.Millisecond)
					a, err := b.entry.CallPeer(t.Context(), "agent-1", wire.StartRun{
						Job: "j", Task: task, Run: 1, Need: batch.Resources{CPU: 100}, Estimate: longLease, MaxStartDelay: longLease,
						MaxRunTime: time.Duration(1+i%20*10) * time.Millisecond,
					})
					e, ok := a.(wire.RunEnded)
					if !assert.Check(t, err == nil && ok, "%v, %T", err, a) {
						return
					}
					f.process.mu.Lock()
					current := f.life
					f.process.mu.Unlock()
					if current.isRunning(task, 1) {
						f.violated("%s was reported as %s, proven by %q, but is still running", task, e.End, e.Proof)
					}
					f.mu.Lock()
					defer f.mu.Unlock()
					f.reportedEnded[runner.RunKey{Task: task, Run: 1}] = true
				})
			}
			tasks.Wait()
			cancel()
			background.Wait()
			time.Sleep(500 * time.Millisecond) // until all late orders have been carried out
			assert.Equal(t, len(f.violations), 0, "%v", f.violations)
		})
	}
}
