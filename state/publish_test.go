package state_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/model"
	"cyclamenrelay.example/state"
)

func publish(t *testing.T, c *state.Config, n uint64, source string) state.Published {
	a, err := state.ConfigAnswers.Decode(c.Apply(0, 0, state.ConfigCommands.MustEncode(state.Publish{Number: n, Source: []byte(source)})))
	assert.NilError(t, err)
	return a.(state.Published)
}

func current(c *state.Config) state.Document {
	cfg, _ := model.Config{}.Apply(c.Since(0))
	return state.CurrentDocument(cfg)
}

func TestHighestDocumentNumberWins(t *testing.T) {
	c := state.NewConfig()
	assert.DeepEqual(t, current(c), state.Document{})
	for _, p := range []struct {
		n        uint64
		source   string
		held     uint64
		conflict bool
	}{
		{4, "four", 4, false},
		{4, "four", 4, false}, // resent
		{4, "other", 4, true},
		{2, "two", 4, false}, // arrives after a higher number
		{9, "nine", 9, false},
		{4, "four", 9, false},
	} {
		assert.DeepEqual(t, publish(t, c, p.n, p.source), state.Published{Current: p.held, Conflict: p.conflict})
	}
	assert.DeepEqual(t, current(c), state.Document{Number: 9, Source: []byte("nine")})
	version := c.Version()
	assert.Assert(t, publish(t, c, 0, "none").Reason != "")
	assert.Assert(t, publish(t, c, 10, "").Reason != "")
	assert.Assert(t, publish(t, c, 10, string(make([]byte, state.MaxDocument+1))).Reason != "")
	assert.Equal(t, c.Version(), version)
	assert.Equal(t, len(c.History(10)), 0, "a document is in the history")
}

func TestDocumentSurvivesASnapshot(t *testing.T) {
	c, d := state.NewConfig(), state.NewConfig()
	publish(t, c, 7, "seven")
	assert.NilError(t, d.Restore(c.Snapshot()))
	assert.DeepEqual(t, current(d), state.Document{Number: 7, Source: []byte("seven")})
	assert.Assert(t, publish(t, d, 7, "other").Conflict)
}
