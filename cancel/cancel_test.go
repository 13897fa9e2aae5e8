package cancel_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/cancel"
)

// Pattern: a copy of a cancelled job comes later. Guards against forgetting a job while
// another, or the job itself, is cancelled again.
func TestCancelledJobsAreRemembered(t *testing.T) {
	now := time.Now()
	var j cancel.Jobs
	assert.Assert(t, !j.Has("a", now))
	assert.Assert(t, j.Add("a", now))
	later := now.Add(cancel.TTL / 2)
	assert.Assert(t, j.Add("a", later) && j.Add("b", later))
	assert.Assert(t, j.Add("c", now.Add(cancel.TTL)))
	assert.Assert(t, j.Has("a", now.Add(cancel.TTL)), "the second cancel of the job was forgotten with the first")
	assert.Assert(t, !j.Has("a", later.Add(cancel.TTL)))
}

// Pattern: a flood of cancels. Guards against acknowledging a cancel that is not remembered.
func TestFloodOfCancelsIsRefused(t *testing.T) {
	now := time.Now()
	var j cancel.Jobs
	for i := range cancel.MaxJobs {
		assert.Assert(t, j.Add(fmt.Sprint(i), now))
	}
	assert.Assert(t, !j.Add("one more", now))
	assert.Assert(t, j.Has("0", now))
	assert.Assert(t, j.Add("one more", now.Add(cancel.TTL)))
}

// Pattern: up to 2,000 entries. Guards against entries that never hear of a cancel or hear of
// it twice, and against messages or steps that grow with the entries.
func TestEachEntryIsReachedOnce(t *testing.T) {
	for _, n := range []int{0, 1, 9, 16, 17, 54, 299, 1999} {
		entries := make([]int, n)
		for i := range entries {
			entries[i] = i
		}
		reached := map[int]int{}
		var visit func(entries []int) (steps int)
		visit = func(entries []int) (steps int) {
			parts := cancel.Split(entries)
			assert.Assert(t, len(parts) <= cancel.Fanout)
			for _, p := range parts {
				reached[p[0]]++
				steps = max(steps, 1+visit(p[1:]))
			}
			return steps
		}
		assert.Assert(t, visit(entries) <= 3, "%d entries", n)
		assert.Equal(t, len(reached), n)
		for e, times := range reached {
			assert.Equal(t, times, 1, "entry %d of %d", e, n)
		}
	}
}
