package system_test

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/admin"
)

// newKeeper starts a keeper that is not a member of the cluster yet, and returns its address.
func (d *deployment) newKeeper(name string) string {
	d.startRelayd(name, "keeper", d.spec.dataCentre(0), freePorts(d.t, 1)[0], nil)
	return d.relay.Addr(name).String()
}

// waitVoters waits until the voting members are exactly the named ones.
func (d *deployment) waitVoters(entry int, names ...string) {
	d.t.Helper()
	eventually(d, entry, func(ms []admin.MemberStatus) bool {
		var have []string
		for _, m := range ms {
			if m.Voter {
				have = append(have, m.Name)
			}
		}
		return slices.Equal(have, names)
	}, "members", "list")
}

func TestMembersChange(t *testing.T) {
	d := deploy(t, smallSpec())
	addr := d.newKeeper("keeper-4")
	d.mustRelctl(1, "members", "add", "keeper-4", "--address", addr, "--data-centre", "almaty-1")
	d.waitVoters(1, "keeper-1", "keeper-2", "keeper-3", "keeper-4")
	d.mustRelctl(2, "members", "remove", "keeper-4")
	d.waitVoters(1, "keeper-1", "keeper-2", "keeper-3")
	out, code := d.relctl(1, "members", "remove", "keeper-9")
	assert.Equal(t, code, 1, out)
	out, code = d.relctl(1, "members", "remove", "keeper-4", "--expect", "1")
	assert.Equal(t, code, exitConflict, out)
}

func TestLostKeeperIsReplaced(t *testing.T) {
	d := deploy(t, smallSpec())
	d.kill("keeper-2")
	eventually(d, 1, func(st admin.Status) bool {
		return st.Keepers.Up == 2 && len(st.Problems) > 0 && st.Problems[0].Severe
	}, "status")
	addr := d.newKeeper("keeper-5")
	d.mustRelctl(1, "members", "replace", "keeper-2", "keeper-5", "--address", addr, "--data-centre", "almaty-1")
	d.waitVoters(1, "keeper-1", "keeper-3", "keeper-5")
	d.restart("keeper-2")
	d.mustRelctl(1, "rules", "set", "tags", "--work", "kind=tag")
	d.waitConfigEverywhere()
	d.waitVoters(2, "keeper-1", "keeper-3", "keeper-5")
}
