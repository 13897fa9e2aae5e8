package agent_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/evac"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/wire"
)

func (h *harness) setEvacuated(version uint64, evacuated bool) {
	i := model.Item{Key: evac.Key("dc"), Count: version, Version: version}
	if evacuated {
		i.Value = []byte("{}")
	}
	h.view.Apply(wire.ConfigUpdate{Delta: model.Delta{From: version - 1, To: version, Items: []model.Item{i}}}, time.Now())
}

// Guards against waiting tasks that start in an evacuated data centre or are not returned, and
// against a task in progress that is stopped.
func TestEvacuationReturnsWaitingTasks(t *testing.T) {
	g := newBlockingTarget(t)
	h := newHarness(t, g.URL, 1)
	running := make(chan model.Outcome, 1)
	go func() { running <- h.tryOutcome(task("a")) }()
	<-g.started
	waiting := make(chan model.Outcome, 3)
	for _, id := range []string{"b", "c", "d"} {
		go func() { waiting <- h.tryOutcome(task(id)) }()
	}
	h.setEvacuated(1, true)
	for range 3 {
		n, ok := (<-waiting).(model.NotRun)
		assert.Assert(t, ok && n.Code == model.CodeLeaving, "%+v", n)
	}
	assert.Equal(t, len(running), 0)
	close(g.release)
	_, ok := (<-running).(model.Complete)
	assert.Assert(t, ok, "a running task was stopped")
	assert.Equal(t, g.starts.Load(), int64(1))
	h.setEvacuated(2, false)
	h.wait(func(m wire.Announce) bool { return m.Free == 1 })
	_, ok = h.outcome(task("e")).(model.Complete)
	assert.Assert(t, ok)
}
