package ltest_test

import (
	"testing"
	"time"

	"cyclamenrelay.example/ltest"
	"cyclamenrelay.example/units"

	"github.com/gravitational/trace"
	"gotest.tools/v3/assert"
)

func TestParseEvent(t *testing.T) {
	e, err := ltest.ParseEvent("5s:kill:1-3")
	assert.NilError(t, err)
	assert.Equal(t, e, ltest.Event{At: units.Duration(5 * time.Second), Action: ltest.ActionKill, First: 1, Last: 3})
	e, err = ltest.ParseEvent("0s:cut:2")
	assert.NilError(t, err)
	assert.Equal(t, e, ltest.Event{Action: ltest.ActionCut, First: 2, Last: 2})
	for _, s := range []string{"", "5s:kill", "5s:burn:1", "x:kill:1", "-1s:kill:1", "5s:kill:0", "5s:kill:3-1", "5s:kill:a"} {
		_, err := ltest.ParseEvent(s)
		assert.Assert(t, trace.IsBadParameter(err), s)
	}
}
