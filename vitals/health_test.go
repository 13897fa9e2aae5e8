package vitals_test

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"cyclamenrelay.example/rlog"
	"cyclamenrelay.example/vitals"
)

func ExampleNewHealth() {
	k1, k2, k3 := rlog.ID{Name: "k1", Incarnation: 1}, rlog.ID{Name: "k2", Incarnation: 1}, rlog.ID{Name: "k3", Incarnation: 1}
	h := vitals.NewHealth(rlog.Status{
		Members: rlog.Membership{{ID: k1, Voter: true}, {ID: k2, Voter: true}, {ID: k3, Voter: true}},
		Silence: map[rlog.ID]time.Duration{k2: 20 * time.Millisecond, k3: 3 * time.Second},
	})
	fmt.Println(h.Voters, h.Heard, h.Silent, h.Silence, h.Spare())
	// Output: 3 2 [k3] 3s 0
}

func id(name string) rlog.ID { return rlog.ID{Name: name, Incarnation: 1} }

func voters(names ...string) rlog.Membership {
	var m rlog.Membership
	for _, n := range names {
		m = m.With(rlog.Member{ID: id(n), Voter: true})
	}
	return m
}

// Guards against a group that has lost its quorum and reports none missing.
func TestHealthWithoutQuorum(t *testing.T) {
	st := rlog.Status{
		Members: voters("a", "b", "c", "d"),
		Silence: map[rlog.ID]time.Duration{id("b"): 0, id("c"): time.Second, id("d"): 2 * time.Second},
	}
	h := vitals.NewHealth(st)
	assert.Equal(t, h.Spare(), -1)
	assert.DeepEqual(t, h.Silent, []string{"c", "d"})
}

func TestLearnersDoNotCountInHealth(t *testing.T) {
	st := rlog.Status{Members: voters("a", "b", "c").With(rlog.Member{ID: id("d")}), Silence: map[rlog.ID]time.Duration{id("d"): time.Hour}}
	assert.Equal(t, vitals.NewHealth(st).Spare(), 1)
}

// Guards against a loss that is not logged, or logged at each observation.
func TestMonitorLogsChangesOnly(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	m := vitals.NewMonitor(0, zap.New(core))
	st := rlog.Status{Role: rlog.Leader, Members: voters("a", "b", "c"), Silence: map[rlog.ID]time.Duration{}}
	for range 3 {
		m.Observe(st)
	}
	st.Silence[id("c")] = time.Second
	for range 3 {
		m.Observe(st)
	}
	st.Role = rlog.Follower
	m.Observe(st)
	var levels []string
	for _, e := range logs.All() {
		levels = append(levels, e.Level.String())
	}
	assert.DeepEqual(t, levels, []string{"info", "warn"})
}
