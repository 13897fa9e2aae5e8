package system_test

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cyclamenrelay.example/rlog"
)

// wipe kills a keeper and removes its data folder.
func (d *deployment) wipe(name string) {
	d.t.Helper()
	d.kill(name)
	assert.NilError(d.t, os.RemoveAll(d.path(name)))
}

// incarnation waits until a keeper answers and returns the incarnation number of its
// data folder.
func (o *operator) incarnation(keeper int) uint64 {
	o.d.t.Helper()
	var n uint64
	poll.WaitOn(o.d.t, func(poll.LogT) poll.Result {
		s, ok := o.keeperState(keeper)
		if !ok {
			return poll.Continue("keeper %d does not answer", keeper+1)
		}
		n = s.Self.Incarnation
		return poll.Success()
	}, poll.WithTimeout(startLimit))
	return n
}

// TestDiskLostTwice wipes one keeper's disk, and another's right after the repair, under
// load and changes. Then it wipes the third keeper's and repairs it without load.
func TestDiskLostTwice(t *testing.T) {
	d := deploy(t, smallSpec())
	o := d.operator()
	defer d.watchVersions()()
	l := d.load(2, 2)
	n := 0
	stop := d.repeatInBackground(func() { o.change(fmt.Sprintf("team-%d", n%20)); n++ })
	for i := range 2 {
		name := nodeName("keeper", i)
		before := o.incarnation(i)
		d.wipe(name)
		d.restart(name)
		assert.Assert(t, o.incarnation(i) != before, "%s kept its incarnation although its data folder was empty", name)
		o.waitRepaired()
	}
	d.wipe("keeper-3")
	time.Sleep(time.Second)
	stop()
	o.checkConfig()
	assert.Assert(t, l.stopAndCheck() > 0)
	d.restart("keeper-3")
	o.waitRepaired()
	o.checkConfig()
	d.waitInForce(o.version)
	t.Logf("%d changes", n)
}

// TestDiskLostWhileAnotherIsDown restarts a keeper on an empty folder while a second
// is down. The first must not vote, so that there is no quorum until the second is
// back with its disk.
func TestDiskLostWhileAnotherIsDown(t *testing.T) {
	d := deploy(t, smallSpec())
	o := d.operator()
	defer d.watchVersions()()
	for i := range 20 {
		o.change(fmt.Sprintf("team-%d", i))
	}
	before, ok := o.keeperState(2)
	assert.Assert(t, ok)
	d.kill("keeper-2")
	d.wipe("keeper-1")
	d.restart("keeper-1")
	o.incarnation(0)
	for end := time.Now().Add(effectLimit / 2); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for i := range 3 {
			s, ok := o.keeperState(i)
			for _, g := range s.Groups {
				if !ok || i == 0 && len(g.Members) == 0 {
					continue
				}
				// A leader that does not know yet that it has lost the quorum may propose a learner,
				// but cannot commit it.
				want := rlog.Membership(before.Groups[g.Group].Members)
				assert.Assert(t, g.Changing || slices.Equal(g.Members, want), "%s has %v in group %d", s.Self.Name, g.Members, g.Group)
				voters := slices.DeleteFunc(slices.Clone(g.Members), func(m rlog.Member) bool { return !m.Voter })
				assert.Assert(t, slices.Equal(voters, want), "%s has the voters %v in group %d", s.Self.Name, voters, g.Group)
			}
		}
	}
	assert.Assert(t, d.refusesWork(1), "an entry accepts work without a quorum of keepers")
	d.restart("keeper-2")
	o.checkConfig()
	o.waitRepaired()
	o.change("team-1")
	o.checkConfig()
	d.waitInForce(o.version)
}
