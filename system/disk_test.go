package system_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// wipe ends a keeper and removes its data folder.
func (d *deployment) wipe(name string) {
	d.t.Helper()
	d.kill(name)
	assert.NilError(d.t, os.RemoveAll(d.path(name)))
}

// incarnation returns the number of the data folder that a keeper runs on.
func (o *operator) incarnation(keeper int) uint64 {
	o.d.t.Helper()
	var n uint64
	poll.WaitOn(o.d.t, func(poll.LogT) poll.Result {
		s, ok := o.ask(keeper)
		if !ok {
			return poll.Continue("keeper %d does not answer", keeper+1)
		}
		n = s.Self.Incarnation
		return poll.Success()
	}, poll.WithTimeout(startLimit))
	return n
}

// TestDiskLostTwice loses one keeper's disk, and another's right after the repair.
func TestDiskLostTwice(t *testing.T) {
	d := deploy(t, small())
	o := d.operator()
	defer d.watchVersions()()
	l := d.load(2, 2)
	n := 0
	stop := d.during(func() { o.change(fmt.Sprintf("team-%d", n%20)); n++ })
	for i := range 2 {
		name := nodeName("keeper", i)
		before := o.incarnation(i)
		d.wipe(name)
		d.restart(name)
		assert.Assert(t, o.incarnation(i) != before, "%s has its old identity on an empty folder", name)
		o.repaired()
	}
	d.wipe("keeper-3")
	time.Sleep(time.Second)
	stop()
	o.check()
	assert.Assert(t, l.end() > 0)
	d.restart("keeper-3")
	o.repaired()
	o.check()
	d.inForce(o.version)
	t.Logf("%d changes", n)
}

// TestDiskLostWhileAnotherIsDown restarts a keeper on an empty folder while a
// second is down: the first must not vote, so that no cluster forms until the
// second is back with its disk.
func TestDiskLostWhileAnotherIsDown(t *testing.T) {
	d := deploy(t, small())
	o := d.operator()
	defer d.watchVersions()()
	for i := range 20 {
		o.change(fmt.Sprintf("team-%d", i))
	}
	d.kill("keeper-2")
	d.wipe("keeper-1")
	d.restart("keeper-1")
	o.incarnation(0)
	for end := time.Now().Add(soon / 2); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for i := range 3 {
			s, ok := o.ask(i)
			for _, g := range s.Groups {
				empty, whole := len(g.Members) == 0, len(g.Members) == 3
				assert.Assert(t, !ok || whole || i == 0, "%s has %v in group %d", s.Self.Name, g.Members, g.Group)
				assert.Assert(t, !ok || empty || i != 0, "keeper-1 takes part with an empty folder: %v", g.Members)
			}
		}
	}
	assert.Assert(t, d.refused(1), "an entry takes work without a quorum of keepers")
	d.restart("keeper-2")
	o.check()
	o.repaired()
	o.change("team-1")
	o.check()
	d.inForce(o.version)
}
