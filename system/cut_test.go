package system_test

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cyclamenrelay.example/dummy"
)

// cutTime is the length of a cut or a freeze: two leases.
const cutTime = 2 * freshLease

func hosts() shape {
	s := small()
	s.labels = func(i int) string { return fmt.Sprintf("host=h%d", i+1) }
	return s
}

// refuses waits until an entry refuses all new work.
func (d *deployment) refuses(entry int) {
	d.t.Helper()
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		if d.refused(entry) {
			return poll.Success()
		}
		return poll.Continue("entry-%d takes work", entry)
	}, poll.WithTimeout(soon), poll.WithDelay(100*time.Millisecond))
}

// startedAfter returns the starts at a target after the time.
func (d *deployment) startedAfter(target string, at time.Time) (out []dummy.Record) {
	for _, e := range d.startLog() {
		if e.Event == dummy.EventStart && e.Target == target && e.Time.After(at) {
			out = append(out, e)
		}
	}
	return out
}

// TestKeeperCut cuts off the keeper that leads the configuration, and a follower.
func TestKeeperCut(t *testing.T) {
	d := deploy(t, small())
	o := d.operator()
	defer d.watchVersions()()
	l := d.load(3, 2)
	n := 0
	stop := d.during(func() { o.change(fmt.Sprintf("team-%d", n%20)); n++ })
	leader := o.leads(0)
	follower := "keeper-1"
	if leader == follower {
		follower = "keeper-2"
	}
	for name, length := range map[string]time.Duration{leader: cutTime, follower: freshLease} {
		d.isolate(name, "")
		time.Sleep(length)
		d.rejoin(name, "")
		time.Sleep(time.Second)
	}
	stop()
	d.inForce(o.version)
	assert.Assert(t, l.end() > 0)
	o.check()
	t.Logf("%d changes", n)
}

// TestEntryCut cuts an entry off from all keepers: it refuses new work within
// the lease, and work in progress goes on.
func TestEntryCut(t *testing.T) {
	d := deploy(t, small())
	o := d.operator()
	defer d.watchVersions()()
	long := make(chan answer, 1)
	go func() { long <- d.request(1, "match", `{"runTime":"9s","request":"long"}`, nil) }()
	d.startedAt("long")
	d.isolate("entry-1", "keeper")
	o.change("team-1")
	d.refuses(1)
	for end := time.Now().Add(freshLease); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		assert.Assert(t, d.refused(1), "the entry takes work again while it is cut off")
	}
	assert.Equal(t, d.claim(1, "cut-claim", "1ms").outcome, "notRun")
	a, _ := d.job(1, "POST", "", jobBody("cut-job", 2, "1ms"))
	assert.Equal(t, a.status, http.StatusServiceUnavailable, a.body)
	assert.Equal(t, d.request(2, "match", `{"runTime":"1ms"}`, nil).outcome, "complete")
	done := <-long
	assert.Equal(t, done.outcome, "complete", done.body)
	d.rejoin("entry-1", "keeper")
	d.inForce(o.version)
	assert.Equal(t, d.startsOf("cut-claim")+d.startsOnce("cut-job/"), 0)
	assert.Equal(t, d.claim(1, "cut-claim", "1ms").outcome, "complete")
	assert.Equal(t, d.startsOf("cut-claim"), 1)
}

// TestDrainAcrossCut drains a target whose agent is cut off together with an
// entry: nothing new starts there after a few seconds, nor after the healing.
func TestDrainAcrossCut(t *testing.T) {
	d := deploy(t, hosts())
	o := d.operator()
	defer d.watchVersions()()
	l := d.load(4, 2)
	time.Sleep(time.Second)
	for name := range d.real {
		if name != "entry-1" && name != "agent-1" {
			d.cut("entry-1", name)
			d.cut("agent-1", name)
		}
	}
	o.drain("d", "host=h1", true)
	drained := time.Now()
	time.Sleep(soon + 2*time.Second)
	for name := range d.real {
		if name != "entry-1" && name != "agent-1" {
			d.heal("entry-1", name)
			d.heal("agent-1", name)
		}
	}
	d.inForce(o.version)
	time.Sleep(2 * time.Second)
	late := d.startedAfter("target-1", drained.Add(soon))
	assert.Equal(t, len(late), 0, "%v", late)
	o.drain("d", "host=h1", false)
	undrained := time.Now()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(d.startedAfter("target-1", undrained)) > 0 {
			return poll.Success()
		}
		return poll.Continue("the target gets no work")
	}, poll.WithTimeout(soon))
	assert.Assert(t, l.end() > 0)
}

// TestAgentCut cuts an agent off from everything while work runs at its target.
func TestAgentCut(t *testing.T) {
	d := deploy(t, hosts())
	o := d.operator()
	defer d.watchVersions()()
	l := d.load(5, 2)
	time.Sleep(time.Second)
	d.isolate("agent-1", "")
	o.drain("d", "host=h1", true)
	drained := time.Now()
	time.Sleep(cutTime)
	d.rejoin("agent-1", "")
	d.inForce(o.version)
	time.Sleep(soon - cutTime + time.Second)
	late := d.startedAfter("target-1", drained.Add(soon))
	assert.Equal(t, len(late), 0, "%v", late)
	assert.Assert(t, l.end() > 0)
}

// TestMajorityLost kills two of three keepers and brings them back.
func TestMajorityLost(t *testing.T) {
	d := deploy(t, small())
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
	d.refuses(1)
	d.refuses(2)
	assert.Equal(t, d.startsOf("lost-claim")+d.startsOf("refused")+d.startsOnce("lost-job/"), 0)
	d.restart("keeper-2")
	d.restart("keeper-3")
	d.ready()
	o.check()
	o.change("team-1")
	d.inForce(o.version)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if a := d.claim(2, "lost-claim", "1ms"); a.outcome != "complete" {
			return poll.Continue("the resent claim gets %s: %s", a.outcome, a.body)
		}
		return poll.Success()
	}, poll.WithTimeout(startLimit))
	assert.Equal(t, d.startsOf("lost-claim"), 1)
	d.submitAt(jobBody("lost-job", 2, "1ms"), 1, 2)
	s := d.sameEnd("lost-job", 1, 2)
	assert.Equal(t, s.State, "complete", s.Reason)
	assert.Equal(t, d.startsOnce("lost-job/"), 2)
}

// TestServeStale loses the majority where the deployment serves on: requests are
// answered, what needs a record is refused.
func TestServeStale(t *testing.T) {
	s := small()
	s.extra = func(_ string, settings map[string]any) { settings["freshness"] = map[string]any{"serveStale": true} }
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
	assert.Equal(t, d.startsOf("stale-claim"), 0)
}

// TestFrozen stops the leading keeper and the entry that owns a job for two leases.
func TestFrozen(t *testing.T) {
	d := deploy(t, three())
	o := d.operator()
	defer d.watchVersions()()
	leader := o.leads(0)
	body := jobBody("frozen", 60, "400ms")
	a, _ := d.job(1, "POST", "", body)
	assert.Equal(t, a.status, 202, a.body)
	d.started("frozen/", 6)
	for _, name := range []string{leader, "entry-1"} {
		d.signal(name, syscall.SIGSTOP)
	}
	stop := d.during(func() { o.change("team-1") })
	d.submitAt(body, 2, 3)
	time.Sleep(cutTime)
	for _, name := range []string{leader, "entry-1"} {
		d.signal(name, syscall.SIGCONT)
	}
	stop()
	d.submitAt(body, 1)
	d.sameEnd("frozen", 1, 2, 3)
	d.startsOnce("frozen/")
	o.check()
	d.inForce(o.version)
}

// TestAgentFrozen stops an agent under load, drains its target meanwhile, and
// checks that it does not act on what it received before the freeze.
func TestAgentFrozen(t *testing.T) {
	d := deploy(t, hosts())
	o := d.operator()
	defer d.watchVersions()()
	l := d.load(6, 2)
	time.Sleep(500 * time.Millisecond)
	d.signal("agent-1", syscall.SIGSTOP)
	o.drain("d", "host=h1", true)
	drained := time.Now()
	time.Sleep(soon)
	d.signal("agent-1", syscall.SIGCONT)
	time.Sleep(2 * time.Second)
	late := d.startedAfter("target-1", drained.Add(soon))
	assert.Equal(t, len(late), 0, "%v", late)
	d.inForce(o.version)
	assert.Assert(t, l.end() > 0)
}
