package assign_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/assign"
	"cyclamenrelay.example/batch"
	"cyclamenrelay.example/peers"
	"cyclamenrelay.example/wire"
)

// Pattern: all entries start at once and hold a second of jobs. Guards against late jobs of
// all entries that fill the same targets and make the jobs that follow late too.
func TestLateJobsUseIdleTargetsOnly(t *testing.T) {
	now := time.Unix(0, 0)
	f := assign.New("e", "dc", timing())
	f.HandleReport(wire.LoadReport{Agent: "a", Pool: "p", Open: true, Capacity: batch.Resources{CPU: 100 * peers.HomeEntries}}, "", now)
	late := assign.Job{Tasks: []assign.Task{{Pool: "p", Need: batch.Resources{CPU: 60}}}, Slack: -time.Second, LateSlack: time.Second}
	assert.Equal(t, len(f.Admit(assign.DefaultSettings(), late, now).Placements), 1)
	assert.Equal(t, len(f.Admit(assign.DefaultSettings(), late, now).Placements), 0, "two late jobs of each home entry do not fit")
	inTime := late
	inTime.Slack, inTime.LateSlack = time.Second, 0
	assert.Equal(t, len(f.Admit(assign.DefaultSettings(), inTime, now).Placements), 1)
	inTime.Slack = -time.Second
	assert.Equal(t, len(f.Admit(assign.DefaultSettings(), inTime, now).Placements), 0, "a job that must not be late")
}
