package assign_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/assign"
	"cyclamenrelay.example/sched"
)

// Pattern: a stream of small tasks beside tasks that need four times as much, with long tails.
// Guards against backfill that delays the large tasks, or that leaves the gaps empty.
func TestBackfillBesideLargeTasks(t *testing.T) {
	const maxLoss = 0.01
	n := halfSize()
	n.longTasks, n.largeFactor = 0.03, 4
	// The large tasks double the load of all kinds. This keeps it at about 70 %, and above
	// the capacity in the burst.
	burstOfSmall := pattern{name: "burst of tag", factor: func(k string, at time.Duration) float64 { return 0.54 * burst("tag", 2)(k, at) }}
	burstOfAll := pattern{name: "burst of all", factor: func(k string, at time.Duration) float64 { return 0.54 * burst("", 1.7)(k, at) }}
	gain := map[string]float64{}
	for _, p := range []pattern{burstOfSmall, burstOfAll} {
		strict := simulate(n, p, assign.DefaultSettings(), 7)
		filled := n
		filled.backfill = sched.Backfill{MaxDelay: 200 * time.Millisecond}
		backfill := simulate(filled, p, assign.DefaultSettings(), 7)
		for _, k := range []string{"match", "claim", "tag", "all"} {
			t.Logf("%s, %s: in time %.3f, in strict order %.3f", p.name, k, backfill.inTimeOf(k), strict.inTimeOf(k))
			gain[k] += backfill.inTimeOf(k) - strict.inTimeOf(k)
		}
	}
	assert.Assert(t, gain["all"] > 0, "no more jobs end in time: %v", gain)
	assert.Assert(t, gain["claim"] > -maxLoss, "the large tasks are served worse: %v", gain)
}
