package assign_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/assign"
	"cyclamenrelay.example/batch"
	"cyclamenrelay.example/sched"
	"cyclamenrelay.example/wire"
)

// halfSize returns half of the size of the users' deployments with ten small entries, to
// bound the time of the simulations.
func halfSize() size {
	return size{
		entries: 5, agents: 30, interval: timing().BusyInterval, cpu: 2850, cores: 32_000, links: 4, dataCentres: 3, maxReturns: 2, until: burstEnd,
	}
}

// inTimeOf returns the fraction of the jobs of a kind that ended in time.
func (w *simulation) inTimeOf(kind string) float64 {
	t := w.byKind[kind]
	return float64(t.inTime) / float64(t.submitted)
}

// Pattern: overloads and steady loads, with estimates that are off by 40 %, with three tasks in
// a hundred that take seven times as long, and with estimates that are all too short or
// too long. Guards against a forecast that serves fewer jobs in time than the mean interval
// between completions, or urgent jobs at the expense of another kind.
func TestForecastUnderOverload(t *testing.T) {
	const maxLoss = 0.01 // mean fraction of a kind's jobs
	plain, tails, short, long := halfSize(), halfSize(), halfSize(), halfSize()
	tails.longTasks, short.estimateFactor, long.estimateFactor = 0.03, 0.6, 1.4
	gain := map[string]float64{} // mean over the simulations, by kind
	all := []struct {
		name string
		size
		pattern
	}{
		{"estimates off by 40 %", plain, patterns()[4]},
		{"long tails", tails, patterns()[0]},
		{"long tails", tails, patterns()[4]},
		{"short estimates", short, patterns()[4]},
		{"long estimates", long, patterns()[4]},
	}
	for _, x := range all {
		forecast := simulate(x.size, x.pattern, assign.DefaultSettings(), 7)
		x.noForecast = true
		interval := simulate(x.size, x.pattern, assign.DefaultSettings(), 7)
		for _, k := range []string{"match", "claim", "tag", "all"} {
			a, b := forecast.inTimeOf(k), interval.inTimeOf(k)
			t.Logf("%s, %s, %s: in time %.3f, by the mean interval %.3f", x.name, x.pattern.name, k, a, b)
			gain[k] += (a - b) / float64(len(all))
		}
	}
	t.Logf("mean gain by kind: %v", gain)
	assert.Assert(t, gain["all"] > 0 && gain["match"] > 0, "the forecast serves fewer jobs in time: %v", gain)
	assert.Assert(t, gain["claim"] > -maxLoss && gain["tag"] > -maxLoss, "the forecast serves another kind worse: %v", gain)
}

// A forecast that is empty, or of an unknown form, leaves the wait to the mean interval between
// completions. Guards against a wait of 0 at a full target.
func TestWaitByForecast(t *testing.T) {
	for name, x := range map[string]struct {
		forecast sched.Forecast
		want     time.Duration
	}{
		"none":             {nil, 30 * time.Millisecond},
		"unknown horizons": {sched.Forecast{200, 200}, 30 * time.Millisecond},
		"half is released": {sched.Forecast{0, 0, 100, 200, 200}, 80 * time.Millisecond},
		"beyond the last":  {sched.Forecast{0, 0, 0, 0, 30}, 400*time.Millisecond + 15*time.Millisecond},
		"nothing will end": {sched.Forecast{0, 0, 0, 0, 0}, 400*time.Millisecond + 30*time.Millisecond},
		"released at once": {sched.Forecast{200, 200, 200, 200, 200}, 7500 * time.Microsecond},
		"shrinking":        {sched.Forecast{0, 40, 0, 0, 40}, 400*time.Millisecond + 10*time.Millisecond},
		"a run ends early": {sched.Forecast{60, 60, 60, 60, 60}, 25 * time.Millisecond},
		"between horizons": {sched.Forecast{0, 20, 100, 100, 100}, 75 * time.Millisecond},
	} {
		f := assign.New("e", "dc", timing())
		f.HandleReport(report("a", wire.TargetLoad{
			Incarnation: 1, Seq: 1, Used: batch.Resources{CPU: 1000}, CompletionInterval: 10 * time.Millisecond, Forecast: x.forecast,
		}), "", epoch)
		place := func() assign.Placement {
			p, ok := f.Place(assign.Task{Pool: "p", Need: batch.Resources{CPU: 100}, Slack: 50 * time.Millisecond}, epoch)
			assert.Assert(t, ok)
			return p
		}
		place()
		place()
		assert.Equal(t, place().Wait, x.want, "the third task of an entry at a full target: %s", name)
	}
}
