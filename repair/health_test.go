package repair_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/repair"
	"cyclamenrelay.example/rlog"
)

func ExampleGroupHealth() {
	k1, k2, k3 := rlog.ID{Name: "k1", Incarnation: 1}, rlog.ID{Name: "k2", Incarnation: 1}, rlog.ID{Name: "k3", Incarnation: 1}
	h := repair.GroupHealth(rlog.Status{
		Members: rlog.Membership{{ID: k1, Voter: true}, {ID: k2, Voter: true}, {ID: k3, Voter: true}},
		Silence: map[rlog.ID]time.Duration{k2: 20 * time.Millisecond, k3: 3 * time.Second},
	})
	fmt.Println(h.Voters, h.Heard, h.Silent, h.Silence, h.Spare())
	// Output: 3 2 [k3] 3s 0
}

// Guards against a group that has lost its quorum and reports none missing.
func TestHealthWithoutQuorum(t *testing.T) {
	st := rlog.Status{Members: voters(a, b, c, d), Silence: map[rlog.ID]time.Duration{b: 0, c: time.Second, d: 2 * time.Second}}
	h := repair.GroupHealth(st)
	assert.Equal(t, h.Spare(), -1)
	assert.DeepEqual(t, h.Silent, []string{"c", "d"})
}

func TestLearnersDoNotCountInHealth(t *testing.T) {
	st := rlog.Status{Members: voters(a, b, c).With(rlog.Member{ID: d}), Silence: map[rlog.ID]time.Duration{d: time.Hour}}
	assert.Equal(t, repair.GroupHealth(st).Spare(), 1)
}
