package kernel_test

import (
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"cyclamenrelay.example/kernel"
)

// Guards against hiding a broken invariant: only run-time errors are caught.
func TestOnlyRuntimeErrorsAreCaught(t *testing.T) {
	run := func(f func()) (caught, panicked bool) {
		defer func() { panicked = recover() != nil }()
		defer kernel.CatchRuntimeError(zap.NewNop(), "test", func() { caught = true })
		f()
		return caught, panicked
	}
	var none []int
	caught, panicked := run(func() { none[len(none)]++ })
	assert.Assert(t, caught && !panicked)
	caught, panicked = run(func() { panic("an invariant is broken") })
	assert.Assert(t, !caught && panicked)
	caught, panicked = run(func() {})
	assert.Assert(t, !caught && !panicked)
}
