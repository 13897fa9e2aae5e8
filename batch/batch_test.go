package batch_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/batch"
)

func ExampleJob_CriticalPath() {
	j := batch.Job{Steps: []batch.Step{
		{Count: 4, Estimate: time.Second},
		{Count: 1, Estimate: 2 * time.Second, After: []int{0}},
		{Count: 9, Estimate: 1500 * time.Millisecond},
	}}
	fmt.Println(j.Tasks(), j.CriticalPath(func(s batch.Step) time.Duration { return s.Estimate }))
	// Output: 14 3s
}

func TestFits(t *testing.T) {
	free := batch.Resources{CPU: 1000, Memory: 512, Accelerators: 1}
	for need, want := range map[batch.Resources]bool{
		{}:                                   true,
		{CPU: 1000, Memory: 512}:             true,
		{CPU: 1001}:                          false,
		{Memory: 513}:                        false,
		{CPU: 1, Memory: 1, Accelerators: 2}: false,
	} {
		assert.Equal(t, need.Fits(free), want, "%+v", need)
	}
	assert.Equal(t, free.Minus(batch.Resources{CPU: 1}).Plus(batch.Resources{CPU: 1}), free)
	assert.Equal(t, batch.Resources{CPU: 250, Memory: 256}.Share(free), 0.5)
	assert.Equal(t, batch.Resources{CPU: 250}.Share(batch.Resources{}), 0.0)
}
