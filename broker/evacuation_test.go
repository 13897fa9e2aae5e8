package broker_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/batch"
	"cyclamenrelay.example/evac"
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/wire"
)

// setEvacuated has the entry get a configuration in which the agents' data centre is evacuated
// or not, confirmed a second ago.
func (b *testbed) setEvacuated(version uint64, evacuated bool) {
	i := model.Item{Key: evac.Key("dc"), Count: version, Version: version}
	if evacuated {
		i.Value = []byte("{}")
	}
	b.view.Apply(wire.ConfigUpdate{
		Delta: model.Delta{From: version - 1, To: version, Items: []model.Item{i}}, Fresh: model.Freshness{Version: version, Age: time.Second},
	}, time.Now())
}

func (b *testbed) report(agent *link.Node, name string, seq uint64) *wire.EvacuationState {
	a, err := agent.Call(b.t.Context(), link.Dest{Address: b.entry.Address()}, wire.LoadReport{
		Agent: name, TargetLoad: wire.TargetLoad{Incarnation: 1, Seq: seq}, Target: "t", Pool: "p", DataCentre: "dc", Open: true,
		Capacity: batch.Resources{CPU: 1000},
	})
	assert.NilError(b.t, err)
	return a.(wire.Done).Evacuation
}

// Guards against an entry that places tasks in an evacuated data centre, or does not tell its
// agents of the state and of its age.
func TestEntryObeysEvacuationsAndTellsAgents(t *testing.T) {
	b := newTestbed(t)
	b.agent("a1", 1000, done)
	n := b.node("a2", keys.Agent)
	b.serve(n)
	s := b.report(n, "a2", 1)
	assert.Assert(t, s != nil && s.Version == 0 && s.Age < 0 && !s.Evacuated, "%+v", s)

	b.setEvacuated(1, true)
	s = b.report(n, "a2", 2)
	assert.Assert(t, s.Version == 1 && s.Age >= time.Second && s.Evacuated, "%+v", s)
	assert.Equal(t, outcomeKind(b.submit(job("j1", batch.Step{Count: 1}))), "refuse")
	assert.Equal(t, len(b.startedTasks()), 0)

	b.setEvacuated(2, false)
	s = b.report(n, "a2", 3)
	assert.Assert(t, s.Version == 2 && !s.Evacuated, "%+v", s)
	assert.Equal(t, outcomeKind(b.submit(job("j2", batch.Step{Count: 1}))), "complete")
}

// Guards against a task that an evacuated agent returns and that runs
// twice or not at all.
func TestTaskReturnedByEvacuatedAgentRunsElsewhere(t *testing.T) {
	b := newTestbed(t)
	returned := func(_ context.Context, m wire.StartRun) wire.RunEnded {
		if m.Run == 1 {
			return wire.RunEnded{End: batch.NotStarted, Proof: batch.ProofNotSent, Reason: "the data centre is evacuated"}
		}
		return done(t.Context(), m)
	}
	b.agent("a1", 1000, returned)
	b.agent("a2", 1000, returned)
	assert.Equal(t, outcomeKind(b.submit(job("j", batch.Step{Count: 1}))), "complete")
	b.mu.Lock()
	defer b.mu.Unlock()
	assert.Assert(t, len(b.starts) == 2 && b.agents[0] != b.agents[1], "%v", b.agents)
}
