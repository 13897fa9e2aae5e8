package system_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLeaderKilled kills the leader of the configuration's group three times while an
// operator changes the configuration and callers send work.
func TestLeaderKilled(t *testing.T) {
	d := deploy(t, smallSpec())
	o := d.operator()
	defer d.watchVersions()()
	l := d.load(1, 3)
	n := 0
	stop := d.repeatInBackground(func() { o.change(fmt.Sprintf("team-%d", n%20)); n++ })
	for range 3 {
		time.Sleep(time.Second)
		name := o.waitLeader(0)
		d.kill(name)
		time.Sleep(2 * time.Second)
		d.restart(name)
	}
	time.Sleep(time.Second)
	stop()
	d.waitInForce(o.version)
	assert.Assert(t, l.stopAndCheck() > 0)
	o.checkConfig()
	t.Logf("%d changes", n)
}

// TestRestartAfterChanges restarts all keepers at once, and then kills the leader,
// after 700 changes with several snapshots. Half of the changes go through the
// operators' HTTPS API.
func TestRestartAfterChanges(t *testing.T) {
	s := smallSpec()
	s.editSettings = func(role string, settings map[string]any) {
		if role == "keeper" {
			settings["keeper"].(map[string]any)["snapshotEntries"] = 100
		}
	}
	d := deploy(t, s)
	o := d.operator()
	defer d.watchVersions()()
	for i := range 700 {
		if i == 350 {
			o.useHTTPS()
		}
		o.change(fmt.Sprintf("team-%d", i%50))
	}
	d.waitInForce(o.version)
	for i := range s.keepers {
		d.kill(nodeName("keeper", i))
	}
	for i := range s.keepers {
		d.restart(nodeName("keeper", i))
	}
	o.checkConfig()
	d.waitInForce(o.version)
	d.kill(o.waitLeader(0))
	o.change("team-0")
	o.checkConfig()
	d.waitInForce(o.version)
}
