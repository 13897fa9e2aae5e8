package trial_test

import (
	"testing"
	"time"

	"cyclamenrelay.example/trial"
	"cyclamenrelay.example/units"

	"github.com/gravitational/trace"
	"gotest.tools/v3/assert"
)

func TestParseEvent(t *testing.T) {
	e, err := trial.ParseEvent("5s:kill:1-3")
	assert.NilError(t, err)
	assert.Equal(t, e, trial.Event{At: units.Duration(5 * time.Second), Action: trial.ActionKill, First: 1, Last: 3})
	e, err = trial.ParseEvent("0s:cut:2")
	assert.NilError(t, err)
	assert.Equal(t, e, trial.Event{Action: trial.ActionCut, First: 2, Last: 2})
	for _, s := range []string{"", "5s:kill", "5s:burn:1", "x:kill:1", "-1s:kill:1", "5s:kill:0", "5s:kill:3-1", "5s:kill:a"} {
		_, err := trial.ParseEvent(s)
		assert.Assert(t, trace.IsBadParameter(err), s)
	}
}
