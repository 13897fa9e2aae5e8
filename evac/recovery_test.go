package evac_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/evac"
)

// Guards against all load that returns at once to a cold data centre, and against a target
// that offers less than its capacity when it is warm, was not evacuated, or says for ever that
// it is cold.
func TestLoadReturnsWithTheTargetsWarmth(t *testing.T) {
	r := evac.Recovery{Ended: start}
	last := 0.0
	for d := time.Duration(0); d < 4*time.Second; d += 100 * time.Millisecond {
		share := r.Share(at(4*time.Second), at(d))
		assert.Assert(t, share >= 0.25 && share > last && share <= 1, "%v after %v", share, d)
		last = share
	}
	assert.Equal(t, r.Share(at(4*time.Second), at(4*time.Second)), 1.0)
	assert.Equal(t, r.Share(start, at(time.Second)), 1.0)
	assert.Equal(t, r.Share(at(time.Hour), at(time.Minute)), 1.0)
	assert.Equal(t, evac.Recovery{}.Share(at(4*time.Second), start), 1.0)
}
