package assign_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/assign"
	"cyclamenrelay.example/batch"
	"cyclamenrelay.example/evac"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/wire"
)

// evacuated returns the evacuation of a data centre.
func evacuated(dataCentre string) evac.Set {
	c, _ := model.Config{}.Apply(model.Delta{To: 1, Items: []model.Item{{Key: evac.Key(dataCentre), Count: 1, Version: 1, Value: []byte("{}")}}})
	return evac.FromConfig(c)
}

// Pattern: a data centre is evacuated while its targets are the nearest and the only free ones.
// Guards against tasks that are placed, lent or borrowed there, and against a step that a full
// rest of the fleet would push there.
func TestEvacuatedDataCentreGetsNoTasks(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	report := func(agent, dataCentre string) wire.LoadReport {
		return wire.LoadReport{
			Agent: agent, TargetLoad: wire.TargetLoad{Incarnation: 1, Seq: 1}, Target: "t", Pool: "p", DataCentre: dataCentre, Open: true,
			Capacity: batch.Resources{CPU: 1000},
		}
	}
	task := assign.Task{Pool: "p", Need: batch.Resources{CPU: 400}, Estimate: time.Second, Slack: time.Second}
	f := assign.New("e", "dc1", timing())
	f.HandleReport(report("a1", "dc1"), "x:1", now)
	f.HandleReport(report("a2", "dc2"), "x:2", now)
	f.SetEvacuations(evacuated("dc1"))
	assert.Equal(t, len(f.Lend(task, 8, now)), 1)
	for range 4 {
		p, ok := f.Place(task, now)
		assert.Assert(t, ok)
		assert.Equal(t, p.Agent, "a2")
	}
	task.Exclude = []string{"a2"}
	_, ok := f.Place(task, now)
	assert.Assert(t, !ok)
	assert.Assert(t, !f.Borrow(wire.LentTarget{Report: report("a3", "dc1"), Address: "x:3"}, now, now))
	assert.Assert(t, f.Borrow(wire.LentTarget{Report: report("a4", "dc2"), Address: "x:4"}, now, now))

	f.SetEvacuations(evac.Set{})
	p, ok := f.Place(task, now)
	assert.Assert(t, ok && p.Agent == "a1", "%+v", p)
}
