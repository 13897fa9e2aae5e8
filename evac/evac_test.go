package evac_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/evac"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/state"
)

// apply has the state machine apply a change.
func apply(t *testing.T, c *state.Config, ch model.Change) model.ChangeResult {
	a, err := state.ConfigAnswers.Decode(c.Apply(0, time.Second, state.ConfigCommands.MustEncode(state.Change{Change: ch})))
	assert.NilError(t, err)
	return a.(state.Changed).Result
}

// order carries out a request at once, and reports whether it changed anything.
func order(t *testing.T, c *state.Config, id string, end bool) bool {
	ch, needed := request(end).Change(id, c.Item(evac.Key("dc1")))
	if needed {
		r := apply(t, c, ch)
		assert.Assert(t, r.Accepted, r.Reason)
	}
	return needed
}

func request(end bool) evac.Request {
	return evac.Request{DataCentre: "dc1", End: end, Operator: "ann", Address: "10.0.0.9:5", At: time.Unix(1_700_000_000, 0).UTC()}
}

func config(c *state.Config) model.Config {
	cfg, _ := model.Config{}.Apply(c.Since(0))
	return cfg
}

// Guards against resent requests that count as further changes.
func TestRepeatedRequestsChangeNothing(t *testing.T) {
	c := state.NewConfig()
	assert.Assert(t, !order(t, c, "1", true), "an evacuation that is not active was ended")
	assert.Assert(t, order(t, c, "2", false))
	assert.Assert(t, !order(t, c, "3", false))
	assert.DeepEqual(t, evac.FromConfig(config(c)).Orders(), []evac.Order{{
		DataCentre: "dc1", Operator: "ann", Address: "10.0.0.9:5", At: request(false).At, Version: 1,
	}})
	assert.Assert(t, order(t, c, "4", true))
	assert.Assert(t, !order(t, c, "5", true))
	s := evac.FromConfig(config(c))
	assert.Assert(t, !s.Has("dc1"))
	assert.Equal(t, s.Version(), uint64(2))
}

// Guards against an order that is delayed on its way and undoes a later one.
func TestDelayedOrderIsRefused(t *testing.T) {
	c := state.NewConfig()
	delayed, _ := request(false).Change("1", c.Item(evac.Key("dc1")))
	order(t, c, "2", false)
	order(t, c, "3", true)
	assert.Assert(t, !apply(t, c, delayed).Accepted)
	assert.Assert(t, !evac.FromConfig(config(c)).Has("dc1"))
}

// Guards against evacuations that a new document, a snapshot or a restart of all keepers loses.
func TestEvacuationOutlivesDocumentsAndSnapshots(t *testing.T) {
	c := state.NewConfig()
	order(t, c, "1", false)
	c.Apply(0, time.Second, state.ConfigCommands.MustEncode(state.Publish{Number: 7, Source: []byte("{}")}))
	restored := state.NewConfig()
	assert.NilError(t, restored.Restore(c.Snapshot()))
	s := evac.FromConfig(config(restored))
	assert.Assert(t, s.Has("dc1") && !s.Has("dc2"))
	assert.Equal(t, state.CurrentDocument(config(restored)).Number, uint64(7))
	assert.Assert(t, order(t, restored, "2", true))
}
