package system_test

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cyclamenrelay.example/fake"
)

// cutTime is the duration of a network cut or a freeze: two configuration leases.
const cutTime = 2 * configLease

func hostLabelledSpec() deploymentSpec {
	s := smallSpec()
	s.targetLabel = func(i int) string { return fmt.Sprintf("host=h%d", i+1) }
	return s
}

// waitRefuses waits until an entry refuses new work.
func (d *deployment) waitRefuses(entry int) {
	d.t.Helper()
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		if d.refusesWork(entry) {
			return poll.Success()
		}
		return poll.Continue("entry-%d still accepts work", entry)
	}, poll.WithTimeout(effectLimit), poll.WithDelay(100*time.Millisecond))
}

// startedAfter returns the start records of a target that are later than at.
func (d *deployment) startedAfter(target string, at time.Time) (out []fake.LogRecord) {
	for _, e := range d.startLog() {
		if e.Event == fake.EventStart && e.Target == target && e.Time.After(at) {
			out = append(out, e)
		}
	}
	return out
}

// TestKeeperCut cuts off the leader of the configuration's group, and a follower, one
// after the other, while the configuration changes under load.
func TestKeeperCut(t *testing.T) {
	d := deploy(t, smallSpec())
	o := d.operator()
	defer d.watchVersions()()
	l := d.load(3, 2)
	n := 0
	stop := d.repeatInBackground(func() { o.change(fmt.Sprintf("team-%d", n%20)); n++ })
	leader := o.waitLeader(0)
	follower := "keeper-1"
	if leader == follower {
		follower = "keeper-2"
	}
	for name, length := range map[string]time.Duration{leader: cutTime, follower: configLease} {
		d.isolate(name, "")
		time.Sleep(length)
		d.rejoin(name, "")
		time.Sleep(time.Second)
	}
	stop()
	d.waitInForce(o.version)
	assert.Assert(t, l.stopAndCheck() > 0)
	o.checkConfig()
	t.Logf("%d changes", n)
}

// TestEntryCut cuts an entry off from all keepers: it must refuse new work once its
// configuration lease has expired, and complete the work in progress.
func TestEntryCut(t *testing.T) {
	d := deploy(t, smallSpec())
	o := d.operator()
	defer d.watchVersions()()
	long := make(chan answer, 1)
	go func() { long <- d.request(1, "match", `{"runTime":"9s","request":"long"}`, nil) }()
	d.waitStarted("long")
	d.isolate("entry-1", "keeper")
	o.change("team-1")
	d.waitRefuses(1)
	for end := time.Now().Add(configLease); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		assert.Assert(t, d.refusesWork(1), "the entry accepts work while it is cut off")
	}
	assert.Equal(t, d.claim(1, "cut-claim", "1ms").outcome, "notRun")
	a, _ := d.job(1, "POST", "", jobBody("cut-job", 2, "1ms"))
	assert.Equal(t, a.status, http.StatusServiceUnavailable, a.body)
	assert.Equal(t, d.request(2, "match", `{"runTime":"1ms"}`, nil).outcome, "complete")
	done := <-long
	assert.Equal(t, done.outcome, "complete", done.body)
	d.rejoin("entry-1", "keeper")
	d.waitInForce(o.version)
	assert.Equal(t, d.requestStarts("cut-claim")+d.tasksStartedOnce("cut-job/"), 0)
	assert.Equal(t, d.claim(1, "cut-claim", "1ms").outcome, "complete")
	assert.Equal(t, d.requestStarts("cut-claim"), 1)
}

// TestDrainAcrossCut drains a target whose agent is cut off together with an entry.
// No work may start there later than effectLimit after the drain, nor after the cut ends.
func TestDrainAcrossCut(t *testing.T) {
	d := deploy(t, hostLabelledSpec())
	o := d.operator()
	defer d.watchVersions()()
	l := d.load(4, 2)
	time.Sleep(time.Second)
	for name := range d.linkAddrs {
		if name != "entry-1" && name != "agent-1" {
			d.cut("entry-1", name)
			d.cut("agent-1", name)
		}
	}
	o.drain("d", "host=h1", true)
	drained := time.Now()
	time.Sleep(effectLimit + 2*time.Second)
	for name := range d.linkAddrs {
		if name != "entry-1" && name != "agent-1" {
			d.heal("entry-1", name)
			d.heal("agent-1", name)
		}
	}
	d.waitInForce(o.version)
	time.Sleep(2 * time.Second)
	late := d.startedAfter("target-1", drained.Add(effectLimit))
	assert.Equal(t, len(late), 0, "%v", late)
	o.drain("d", "host=h1", false)
	undrained := time.Now()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(d.startedAfter("target-1", undrained)) > 0 {
			return poll.Success()
		}
		return poll.Continue("the target gets no work after the drain was removed")
	}, poll.WithTimeout(effectLimit))
	assert.Assert(t, l.stopAndCheck() > 0)
}

// TestAgentCut cuts an agent off from all nodes while work runs at its target, and
// drains the target meanwhile.
func TestAgentCut(t *testing.T) {
	d := deploy(t, hostLabelledSpec())
	o := d.operator()
	defer d.watchVersions()()
	l := d.load(5, 2)
	time.Sleep(time.Second)
	d.isolate("agent-1", "")
	o.drain("d", "host=h1", true)
	drained := time.Now()
	time.Sleep(cutTime)
	d.rejoin("agent-1", "")
	d.waitInForce(o.version)
	time.Sleep(effectLimit - cutTime + time.Second)
	late := d.startedAfter("target-1", drained.Add(effectLimit))
	assert.Equal(t, len(late), 0, "%v", late)
	assert.Assert(t, l.stopAndCheck() > 0)
}

// TestMajorityLost kills two of three keepers and restarts them. Without a majority,
// claims, jobs and requests must be refused and not started.
func TestMajorityLost(t *testing.T) {
	d := deploy(t, smallSpec())
	o := d.operator()
	defer d.watchVersions()()
	o.change("team-1")
	d.kill("keeper-2")
	d.kill("keeper-3")
	claimed := make(chan answer, 1)
	go func() { claimed <- d.claim(1, "lost-claim", "1ms") }()
	a, _ := d.job(2, "POST", "", jobBody("lost-job", 2, "1ms"))
	assert.Equal(t, a.status, http.StatusServiceUnavailable, a.body)
	c := <-claimed
	assert.Equal(t, c.outcome, "notRun", c.body)
	d.waitRefuses(1)
	d.waitRefuses(2)
	assert.Equal(t, d.requestStarts("lost-claim")+d.requestStarts("refused")+d.tasksStartedOnce("lost-job/"), 0)
	d.restart("keeper-2")
	d.restart("keeper-3")
	d.waitReady()
	o.checkConfig()
	o.change("team-1")
	d.waitInForce(o.version)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if a := d.claim(2, "lost-claim", "1ms"); a.outcome != "complete" {
			return poll.Continue("the resent claim is answered %s: %s", a.outcome, a.body)
		}
		return poll.Success()
	}, poll.WithTimeout(startLimit))
	assert.Equal(t, d.requestStarts("lost-claim"), 1)
	d.submitJob(jobBody("lost-job", 2, "1ms"), 1, 2)
	s := d.waitSameEnd("lost-job", 1, 2)
	assert.Equal(t, s.State, "complete", s.Reason)
	assert.Equal(t, d.tasksStartedOnce("lost-job/"), 2)
}

// TestServeStale loses the majority of keepers with freshness.serveStale set:
// idempotent requests must be answered, and claims, which need a record, refused.
func TestServeStale(t *testing.T) {
	s := smallSpec()
	s.editSettings = func(_ string, settings map[string]any) { settings["freshness"] = map[string]any{"serveStale": true} }
	d := deploy(t, s)
	d.kill("keeper-1")
	d.kill("keeper-2")
	claimed := make(chan answer, 1)
	go func() { claimed <- d.claim(2, "stale-claim", "1ms") }()
	for end := time.Now().Add(cutTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		a := d.request(1, "match", `{"runTime":"1ms"}`, nil)
		assert.Equal(t, a.outcome, "complete", a.body)
	}
	a := <-claimed
	assert.Equal(t, a.outcome, "notRun", a.body)
	assert.Equal(t, d.requestStarts("stale-claim"), 0)
}

// TestFrozen stops the leader of the configuration's group and the entry that owns a
// job by SIGSTOP for two leases. No task of the job may start twice.
func TestFrozen(t *testing.T) {
	d := deploy(t, threeEntrySpec())
	o := d.operator()
	defer d.watchVersions()()
	leader := o.waitLeader(0)
	body := jobBody("frozen", 60, "400ms")
	a, _ := d.job(1, "POST", "", body)
	assert.Equal(t, a.status, 202, a.body)
	d.waitTasksStarted("frozen/", 6)
	for _, name := range []string{leader, "entry-1"} {
		d.signal(name, syscall.SIGSTOP)
	}
	stop := d.repeatInBackground(func() { o.change("team-1") })
	d.submitJob(body, 2, 3)
	time.Sleep(cutTime)
	for _, name := range []string{leader, "entry-1"} {
		d.signal(name, syscall.SIGCONT)
	}
	stop()
	d.submitJob(body, 1)
	d.waitSameEnd("frozen", 1, 2, 3)
	d.tasksStartedOnce("frozen/")
	o.checkConfig()
	d.waitInForce(o.version)
}

// TestAgentFrozen stops an agent by SIGSTOP under load, drains its target meanwhile,
// and checks that the agent starts no work that it received before the freeze.
func TestAgentFrozen(t *testing.T) {
	d := deploy(t, hostLabelledSpec())
	o := d.operator()
	defer d.watchVersions()()
	l := d.load(6, 2)
	time.Sleep(500 * time.Millisecond)
	d.signal("agent-1", syscall.SIGSTOP)
	o.drain("d", "host=h1", true)
	drained := time.Now()
	time.Sleep(effectLimit)
	d.signal("agent-1", syscall.SIGCONT)
	time.Sleep(2 * time.Second)
	late := d.startedAfter("target-1", drained.Add(effectLimit))
	assert.Equal(t, len(late), 0, "%v", late)
	d.waitInForce(o.version)
	assert.Assert(t, l.stopAndCheck() > 0)
}
