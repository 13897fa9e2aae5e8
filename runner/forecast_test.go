package runner_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/batch"
	"cyclamenrelay.example/runner"
)

// Guards against reports without a forecast, and against a forecast by the estimate alone: the
// run's estimate is 1 s, but by its progress it takes 200 ms.
func TestReportsForecastByProgress(t *testing.T) {
	b := newTestbed(t, newTarget())
	b.setProgressRate(func(runner.RunKey) float64 { return 0.5 })
	b.openTarget()
	end := b.startRunning("t1")
	const byProgress = 150 // three quarters; by the estimate it is at most two thirds
	b.await("a report that the run will end within 400 ms", func() bool {
		f := b.lastReport().Forecast
		return len(f) == 5 && f[4] > byProgress
	})
	b.target.finish("t1", 1, batch.Done)
	e := <-end
	assert.Equal(t, e.End, batch.Done)
	assert.Equal(t, len(e.Load.Forecast), 0, "an idle target has a forecast")
}
