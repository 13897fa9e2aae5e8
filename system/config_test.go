package system_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLeaderKilled kills the keeper that leads the configuration, three times,
// while operators change it and callers send work.
func TestLeaderKilled(t *testing.T) {
	d := deploy(t, small())
	o := d.operator()
	defer d.watchVersions()()
	l := d.load(1, 3)
	n := 0
	stop := d.during(func() { o.change(fmt.Sprintf("team-%d", n%20)); n++ })
	for range 3 {
		time.Sleep(time.Second)
		name := o.leads(0)
		d.kill(name)
		time.Sleep(2 * time.Second)
		d.restart(name)
	}
	time.Sleep(time.Second)
	stop()
	d.inForce(o.version)
	assert.Assert(t, l.end() > 0)
	o.check()
	t.Logf("%d changes", n)
}

// TestRestartAfterChanges restarts all keepers at once, and then fails one over,
// after 700 changes with several snapshots.
func TestRestartAfterChanges(t *testing.T) {
	s := small()
	s.extra = func(role string, settings map[string]any) {
		if role == "keeper" {
			settings["keeper"].(map[string]any)["snapshotEntries"] = 100
		}
	}
	d := deploy(t, s)
	o := d.operator()
	defer d.watchVersions()()
	for i := range 700 {
		o.change(fmt.Sprintf("team-%d", i%50))
	}
	d.inForce(o.version)
	for i := range s.keepers {
		d.kill(nodeName("keeper", i))
	}
	for i := range s.keepers {
		d.restart(nodeName("keeper", i))
	}
	o.check()
	d.inForce(o.version)
	d.kill(o.leads(0))
	o.change("team-0")
	o.check()
	d.inForce(o.version)
}
