package pace_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/pace"
)

// A target that loses some orders answers the others quickly. The timeout must be
// short then, or a lost start order uses up the whole slack of a short job.
func TestOrderTimeoutFollowsTheAnswers(t *testing.T) {
	const longest, shortest = 60 * time.Millisecond, 25 * time.Millisecond
	answers := func(times ...time.Duration) pace.ResponseTimes {
		var a pace.ResponseTimes
		for range 30 {
			for _, took := range times {
				a = a.With(took)
			}
		}
		return a
	}
	for name, x := range map[string]struct {
		a        pace.ResponseTimes
		min, max time.Duration
	}{
		"none yet":       {pace.ResponseTimes{}, longest, longest},
		"quick":          {answers(time.Millisecond, 2*time.Millisecond), shortest, shortest},
		"steady, slow":   {answers(30 * time.Millisecond), 30 * time.Millisecond, 35 * time.Millisecond},
		"now and then":   {answers(time.Millisecond, 12*time.Millisecond), 20 * time.Millisecond, 40 * time.Millisecond},
		"slower than ok": {answers(200 * time.Millisecond), longest, longest},
	} {
		got := x.a.Timeout()
		assert.Assert(t, got >= x.min && got <= x.max, "%s: %v", name, got)
	}
	slowed := answers(time.Millisecond)
	for range 5 {
		slowed = slowed.With(20 * time.Millisecond)
	}
	assert.Assert(t, slowed.Timeout() > 20*time.Millisecond, "the timeout is too short for a target that has become slow")
}
