package system_test

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// terminate shuts a process down by SIGTERM, waits for its exit and expects exit code 0.
func (d *deployment) terminate(name string) {
	d.t.Helper()
	d.signal(name, syscall.SIGTERM)
	select {
	case <-d.processes[name].done:
	case <-time.After(stopLimit):
		d.t.Fatalf("%s has not ended within %s", name, stopLimit)
	}
	assert.Equal(d.t, d.processes[name].cmd.ProcessState.ExitCode(), 0, name)
}

// TestGracefulShutdown shuts down agents, the leading keeper and a target by SIGTERM,
// one at a time, while callers send work through an entry: no request may fail.
func TestGracefulShutdown(t *testing.T) {
	s := threeEntrySpec()
	s.slots = 16
	d := deploy(t, s)
	o := d.operator()
	var wg sync.WaitGroup
	done := make(chan struct{})
	for w := range 8 {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				default:
				}
				id := fmt.Sprintf("drain-%d-%d", w, i)
				a := d.request(2, "match", fmt.Sprintf(`{"runTime":"%dms","answerBytes":50000,"request":%q}`, 1+i%200, id), nil)
				assert.Check(t, a.err == nil && a.outcome == "complete" && len(a.body) >= 50_000, "%s: %v %s: %.200s", id, a.err, a.outcome, a.body)
			}
		})
	}
	for _, name := range []string{"agent-1", o.waitLeader(0), "target-2", "agent-2"} {
		d.terminate(name)
		time.Sleep(time.Second)
		d.restart(name)
		time.Sleep(2 * time.Second)
	}
	close(done)
	wg.Wait()
}

// TestEntryShutdown shuts down an entry by SIGTERM while it has requests, claims and
// a job in progress: all must be answered completely.
func TestEntryShutdown(t *testing.T) {
	s := threeEntrySpec()
	s.slots = 16
	d := deploy(t, s)
	body := jobBody("shutdown", 10, "700ms")
	a, _ := d.job(1, "POST", "", body)
	assert.Equal(t, a.status, 202, a.body)
	const n = 30
	answers := make([]answer, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			id := fmt.Sprintf("shutdown-%d", i)
			if i%3 == 0 {
				answers[i] = d.claim(1, id, "1s")
				return
			}
			answers[i] = d.request(1, "match", fmt.Sprintf(`{"runTime":"%dms","answerBytes":2000000,"request":%q}`, 900+10*i, id), nil)
		})
	}
	for i := range n {
		d.waitStarted(fmt.Sprintf("shutdown-%d", i))
	}
	d.terminate("entry-1")
	wg.Wait()
	for i, a := range answers {
		assert.NilError(t, a.err)
		assert.Equal(t, a.outcome, "complete", "%d: %.200s", i, a.body)
		assert.Assert(t, i%3 == 0 || len(a.body) >= 2_000_000, "answer %d has %d bytes", i, len(a.body))
	}
	st := d.waitJobEnd(2, "shutdown")
	assert.Equal(t, st.State, "complete", st.Reason)
	assert.Equal(t, d.tasksStartedOnce("shutdown/"), 10)
}

// Guards against losing the requests of a process that is told to stop and then to reread
// its settings: the second signal ended it at once.
func TestHangupDuringShutdown(t *testing.T) {
	d := deploy(t, threeEntrySpec())
	const n = 6
	answers := make([]answer, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			answers[i] = d.request(1, "match", fmt.Sprintf(`{"runTime":"%dms","request":"hangup-%d"}`, 1500+10*i, i), nil)
		})
	}
	for i := range n {
		d.waitStarted(fmt.Sprintf("hangup-%d", i))
	}
	d.signal("entry-1", syscall.SIGTERM)
	for range 10 {
		time.Sleep(50 * time.Millisecond)
		d.signal("entry-1", syscall.SIGHUP)
	}
	wg.Wait()
	for i, a := range answers {
		assert.NilError(t, a.err)
		assert.Equal(t, a.outcome, "complete", "%d: %.200s", i, a.body)
	}
}
