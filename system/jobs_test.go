package system_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cyclamenrelay.example/fake"
)

func threeEntrySpec() deploymentSpec {
	return deploymentSpec{dataCentres: almaty, keepers: 3, entries: 3, targets: 3, slots: 4}
}

// waitTasksStarted waits until at least n tasks whose IDs have the prefix have waitTasksStarted.
func (d *deployment) waitTasksStarted(prefix string, n int) {
	d.t.Helper()
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		if d.tasksStartedOnce(prefix) >= n {
			return poll.Success()
		}
		return poll.Continue("fewer than %d tasks of %s have started", n, prefix)
	}, poll.WithTimeout(effectLimit), poll.WithDelay(20*time.Millisecond))
}

// targetOfTask returns the number of a target that has started a task whose ID has the prefix.
func (d *deployment) targetOfTask(prefix string) string {
	for _, e := range d.startLog() {
		if e.Event == fake.EventStart && strings.HasPrefix(e.Task, prefix) {
			return strings.TrimPrefix(e.Target, "target-")
		}
	}
	return ""
}

// submitJob submits a job at several entries concurrently until each has accepted it.
func (d *deployment) submitJob(body string, entries ...int) {
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

// waitSameEnd waits for the job's end at each entry and checks that all entries report the
// same state.
func (d *deployment) waitSameEnd(key string, entries ...int) jobState {
	d.t.Helper()
	first := d.waitJobEnd(entries[0], key)
	for _, e := range entries[1:] {
		s := d.waitJobEnd(e, key)
		assert.Equal(d.t, s.State, first.State, "entry-%d: %s, entry-%d: %s", entries[0], first.Reason, e, s.Reason)
	}
	return first
}

// TestOwnerKilled kills the entry that owns a job while the job runs, resubmits the job
// at the two other entries at once, and at the first again after its restart.
func TestOwnerKilled(t *testing.T) {
	d := deploy(t, threeEntrySpec())
	for i := range 2 {
		key := fmt.Sprintf("owner-%d", i)
		owner := 1 + i%3
		others := []int{1 + (i+1)%3, 1 + (i+2)%3}
		body := jobBody(key, 30, "300ms")
		a, _ := d.job(owner, "POST", "", body)
		assert.Equal(t, a.status, 202, a.body)
		d.waitTasksStarted(key+"/", 6)
		d.kill(nodeName("entry", owner-1))
		d.submitJob(body, others...)
		d.restart(nodeName("entry", owner-1))
		d.submitJob(body, owner)
		s := d.waitSameEnd(key, owner, others[0], others[1])
		assert.Equal(t, s.State, "complete", s.Reason)
		assert.Equal(t, len(s.Answer), 30)
		assert.Equal(t, d.tasksStartedOnce(key+"/"), 30)
		d.waitReady()
	}
}

// TestOwnerAndAgentKilled kills a job's owner and an agent that has started tasks of
// it. Nobody knows which tasks those were, so the job must fail rather than start a
// task twice.
func TestOwnerAndAgentKilled(t *testing.T) {
	d := deploy(t, threeEntrySpec())
	body := jobBody("both", 30, "300ms")
	a, _ := d.job(1, "POST", "", body)
	assert.Equal(t, a.status, 202, a.body)
	d.waitTasksStarted("both/", 6)
	agent := "agent-" + d.targetOfTask("both/")
	d.kill("entry-1")
	d.kill(agent)
	d.restart(agent)
	d.submitJob(body, 2, 3)
	d.restart("entry-1")
	d.submitJob(body, 1)
	s := d.waitSameEnd("both", 1, 2, 3)
	assert.Equal(t, s.State, "failed", s.Reason)
	d.tasksStartedOnce("both/")
}

// TestResubmittedAfterLostAnswer resubmits jobs while the first submissions are still
// unanswered. Each task must start once.
func TestResubmittedAfterLostAnswer(t *testing.T) {
	d := deploy(t, threeEntrySpec())
	for i := range 5 {
		key := fmt.Sprintf("lost-%d", i)
		body := jobBody(key, 20, "50ms")
		for e := 1; e <= 3; e++ {
			go d.job(e, "POST", "", body) // the answer is ignored, as if lost
		}
		time.Sleep(time.Duration(i) * 3 * time.Millisecond)
		d.submitJob(body, 1, 2, 3)
		s := d.waitSameEnd(key, 1, 2, 3)
		assert.Equal(t, s.State, "complete", s.Reason)
		assert.Equal(t, d.tasksStartedOnce(key+"/"), 20)
	}
}

// TestJobEndsWithoutQuorum lets a job end while all keepers are down. The end must be
// recorded once they are back, and a resubmission must not start the tasks again.
func TestJobEndsWithoutQuorum(t *testing.T) {
	d := deploy(t, threeEntrySpec())
	body := jobBody("unrecorded", 10, "300ms")
	a, _ := d.job(1, "POST", "", body)
	assert.Equal(t, a.status, 202, a.body)
	d.waitTasksStarted("unrecorded/", 10)
	for i := range 3 {
		d.kill(nodeName("keeper", i))
	}
	time.Sleep(5 * time.Second)
	for i := range 3 {
		d.restart(nodeName("keeper", i))
	}
	d.submitJob(body, 1, 2, 3)
	s := d.waitSameEnd("unrecorded", 1, 2, 3)
	assert.Equal(t, s.State, "complete", s.Reason)
	assert.Equal(t, d.tasksStartedOnce("unrecorded/"), 10)
}
