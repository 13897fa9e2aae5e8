package system_test

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestRequestEndToEnd(t *testing.T) {
	d := deploy(t, shape{centres: []string{"almaty-1"}, keepers: 1, entries: 1, targets: 2, slots: 8})
	a := d.request(1, "match", `{"runTime":"10ms","answerBytes":1000}`, nil)
	assert.Equal(t, a.status, 200, a.body)
	assert.Equal(t, a.outcome, "complete")
	assert.Equal(t, len(a.body) >= 1000, true)
}
