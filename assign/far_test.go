package assign_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/assign"
	"cyclamenrelay.example/batch"
	"cyclamenrelay.example/wire"
)

// dataFleet returns a fleet with a busy target at the rack of the data, where a task waits for 80 ms,
// and an idle target away from it.
func dataFleet(factor float64) *assign.Fleet {
	f := assign.New("e", "dc", timing())
	f.FarFactor = factor
	near := report("near", wire.TargetLoad{Incarnation: 1, Seq: 1, Used: batch.Resources{CPU: 1000}, CompletionInterval: 80 * time.Millisecond})
	near.Labels = []string{"r1"}
	f.HandleReport(near, "", epoch)
	f.HandleReport(report("far", wire.TargetLoad{Incarnation: 1, Seq: 1}), "", epoch)
	return f
}

// The expected run time away from the data must include the factor, or tasks that would end
// sooner at the rack of their data are sent away from it.
func TestRunTimeAwayFromTheData(t *testing.T) {
	task := assign.Task{Pool: "p", Need: batch.Resources{CPU: 1000}, Rack: "r1", Estimate: 100 * time.Millisecond, Slack: time.Second}
	for _, x := range []struct {
		factor float64
		agent  string
		run    time.Duration
		far    float64
	}{
		{0, "far", 100 * time.Millisecond, 1},
		{1.5, "far", 150 * time.Millisecond, 1.5},
		{3, "near", 100 * time.Millisecond, 1},
	} {
		c, ok := dataFleet(x.factor).Place(task, epoch)
		assert.Assert(t, ok)
		assert.DeepEqual(t, c, assign.Placement{Agent: x.agent, Wait: c.Wait, Run: x.run, Far: x.far})
	}
	task.Rack = ""
	c, ok := dataFleet(3).Place(task, epoch)
	assert.Assert(t, ok && c.Agent == "far" && c.Run == task.Estimate, "a task without data on a rack was placed as if it had some")
}

// Pattern: many jobs want one rack. A job that would be late away from its data must not be
// admitted there.
func TestAdmissionAwayFromTheData(t *testing.T) {
	job := singleTaskJob(1000, 60*time.Millisecond)
	job.Tasks[0].Rack = "r1"
	job.Tasks[0].Exclude = []string{"near"}
	for factor, admitted := range map[float64]bool{0: true, 1.5: true, 2: false} {
		a := dataFleet(factor).Admit(assign.DefaultSettings(), job, epoch)
		assert.Equal(t, a.Placements != nil, admitted, "with the factor %v", factor)
	}
}
