package system_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

func three() shape { return shape{centres: almaty, keepers: 3, entries: 3, targets: 3, slots: 4} }

// started waits until the tasks of the prefix have started at least n times.
func (d *deployment) started(prefix string, n int) {
	d.t.Helper()
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		if d.startsOnce(prefix) >= n {
			return poll.Success()
		}
		return poll.Continue("fewer than %d tasks of %s have started", n, prefix)
	}, poll.WithTimeout(soon), poll.WithDelay(20*time.Millisecond))
}

// submitAt submits a job at several entries at the same instant until each has
// accepted it.
func (d *deployment) submitAt(body string, entries ...int) {
	var wg sync.WaitGroup
	for _, e := range entries {
		wg.Go(func() {
			for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				if a, _ := d.job(e, "POST", "", body); a.err == nil && a.status < 300 {
					return
				}
			}
			assert.Check(d.t, false, "entry-%d does not accept the job", e)
		})
	}
	wg.Wait()
}

// sameEnd waits for the job's end at each entry; all say the same.
func (d *deployment) sameEnd(key string, entries ...int) jobState {
	d.t.Helper()
	first := d.jobEnd(entries[0], key)
	for _, e := range entries[1:] {
		s := d.jobEnd(e, key)
		assert.Equal(d.t, s.State, first.State, "entry-%d: %s, entry-%d: %s", entries[0], first.Reason, e, s.Reason)
	}
	return first
}

// TestOwnerKilled kills a job's owner in the middle of it and resubmits at the
// two other entries at once, and again at the first after its restart.
func TestOwnerKilled(t *testing.T) {
	d := deploy(t, three())
	for i := range 2 {
		key := fmt.Sprintf("owner-%d", i)
		owner := 1 + i%3
		others := []int{1 + (i+1)%3, 1 + (i+2)%3}
		body := jobBody(key, 30, "300ms")
		a, _ := d.job(owner, "POST", "", body)
		assert.Equal(t, a.status, 202, a.body)
		d.started(key+"/", 6)
		d.kill(nodeName("entry", owner-1))
		d.submitAt(body, others...)
		d.restart(nodeName("entry", owner-1))
		d.submitAt(body, owner)
		s := d.sameEnd(key, owner, others[0], others[1])
		assert.Equal(t, s.State, "complete", s.Reason)
		assert.Equal(t, len(s.Answer), 30)
		assert.Equal(t, d.startsOnce(key+"/"), 30)
		d.ready()
	}
}

// TestOwnerAndAgentKilled also kills an agent that has started tasks: nobody
// knows which, so that the job fails rather than start one twice.
func TestOwnerAndAgentKilled(t *testing.T) {
	d := deploy(t, three())
	body := jobBody("both", 30, "300ms")
	a, _ := d.job(1, "POST", "", body)
	assert.Equal(t, a.status, 202, a.body)
	d.started("both/", 6)
	d.kill("entry-1")
	d.kill("agent-1")
	d.restart("agent-1")
	d.submitAt(body, 2, 3)
	d.restart("entry-1")
	d.submitAt(body, 1)
	s := d.sameEnd("both", 1, 2, 3)
	assert.Equal(t, s.State, "failed", s.Reason)
	d.startsOnce("both/")
}

// TestResubmittedAfterLostAnswer resubmits jobs whose submissions went unanswered.
func TestResubmittedAfterLostAnswer(t *testing.T) {
	d := deploy(t, three())
	for i := range 5 {
		key := fmt.Sprintf("lost-%d", i)
		body := jobBody(key, 20, "50ms")
		for e := 1; e <= 3; e++ {
			go d.job(e, "POST", "", body) // its answer is not looked at
		}
		time.Sleep(time.Duration(i) * 3 * time.Millisecond)
		d.submitAt(body, 1, 2, 3)
		s := d.sameEnd(key, 1, 2, 3)
		assert.Equal(t, s.State, "complete", s.Reason)
		assert.Equal(t, d.startsOnce(key+"/"), 20)
	}
}

// TestJobEndsWithoutQuorum ends a job while no keepers are there: the end is
// recorded once they are back, and no
// resubmission starts its tasks again.
func TestJobEndsWithoutQuorum(t *testing.T) {
	d := deploy(t, three())
	body := jobBody("unrecorded", 10, "300ms")
	a, _ := d.job(1, "POST", "", body)
	assert.Equal(t, a.status, 202, a.body)
	d.started("unrecorded/", 10)
	for i := range 3 {
		d.kill(nodeName("keeper", i))
	}
	time.Sleep(5 * time.Second)
	for i := range 3 {
		d.restart(nodeName("keeper", i))
	}
	d.submitAt(body, 1, 2, 3)
	s := d.sameEnd("unrecorded", 1, 2, 3)
	assert.Equal(t, s.State, "complete", s.Reason)
	assert.Equal(t, d.startsOnce("unrecorded/"), 10)
}
