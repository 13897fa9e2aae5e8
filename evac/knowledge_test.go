package evac_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/evac"
)

const limit = 5 * time.Second

var start = time.Unix(1_700_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func told(age time.Duration) evac.Knowledge {
	return evac.NewKnowledge(evac.NewTiming(limit), start).With(evac.Notice{Version: 3, Age: age}, start)
}

// Guards against a delayed notice, or one of an entry with an old configuration, that ends an
// evacuation at an agent.
func TestKnowledgeNeverGoesBack(t *testing.T) {
	k := told(0).With(evac.Notice{Version: 9, Evacuated: true}, start).With(evac.Notice{Version: 8}, at(time.Second))
	assert.Equal(t, k.Verdict(at(time.Second)), evac.Evacuated)
	assert.Equal(t, k.Version(), uint64(9))
	assert.Equal(t, k.Verdict(at(time.Hour)), evac.Evacuated, "an evacuation has ended by its age")
	assert.Equal(t, k.With(evac.Notice{Version: 10}, at(time.Hour)).Verdict(at(time.Hour)), evac.Permitted)
}

// Guards against starts by old information after a pause of the process: the age counts on,
// and an answer from before the pause is as old as the question.
func TestAgeCountsDuringPause(t *testing.T) {
	resumed := at(time.Minute)
	k := told(0)
	assert.Equal(t, k.Verdict(at(time.Second)), evac.Permitted)
	assert.Equal(t, k.Verdict(resumed), evac.Outdated)
	assert.Equal(t, k.With(evac.Notice{Version: 3}, at(time.Second)).Verdict(resumed), evac.Outdated)
	cutOff := k.WithUnanswered(at(time.Second)).WithUnanswered(at(2 * time.Second))
	assert.Equal(t, cutOff.Verdict(at(4*time.Second)), evac.Permitted)
	assert.Equal(t, cutOff.Verdict(resumed), evac.Outdated)
	assert.Equal(t, cutOff.WithUnanswered(resumed).Verdict(resumed), evac.Outdated, "one lost question permits starts")
	assert.Equal(t, cutOff.WithUnanswered(resumed).WithUnanswered(resumed).Verdict(resumed), evac.Permitted)
	assert.Equal(t, k.With(evac.Notice{Version: 3, Age: time.Second}, resumed).Verdict(resumed), evac.Permitted)
}

// Guards against a restarted agent that starts tasks before it was told, or by an old notice,
// or waits for longer than a bound.
func TestStartingAgentWaitsForABound(t *testing.T) {
	k := evac.NewKnowledge(evac.NewTiming(limit), start)
	for _, n := range []evac.Notice{{Age: -1}, {Version: 3, Age: time.Minute}, {}} {
		k := k
		if n != (evac.Notice{}) {
			k = k.With(n, start)
		}
		assert.Equal(t, k.Verdict(at(time.Second)), evac.Starting)
		assert.Assert(t, k.MustAsk(start))
		k = k.WithUnanswered(start).WithUnanswered(at(time.Second))
		assert.Equal(t, k.Verdict(at(time.Second)), evac.Starting)
		assert.Equal(t, k.Verdict(at(evac.NewTiming(limit).RefreshAge+1)), evac.Permitted)
	}
	assert.Equal(t, k.With(evac.Notice{Version: 0}, start).Verdict(start), evac.Permitted, "a confirmed empty configuration tells nothing")
	assert.Equal(t, k.With(evac.Notice{Version: 3, Age: -1}, start).Verdict(start), evac.Permitted, "after a power loss of all keepers nothing starts")
	assert.Equal(t, k.With(evac.Notice{Version: 3, Age: -1, Evacuated: true}, start).Verdict(start), evac.Evacuated)
}

func TestTimingsFit(t *testing.T) {
	assert.NilError(t, evac.Timing{}.Validate())
	for l := 2 * time.Second; l <= time.Minute; l += 100 * time.Millisecond {
		assert.NilError(t, evac.NewTiming(l).Validate())
	}
	bad := evac.NewTiming(limit)
	bad.RefreshAge = limit
	assert.ErrorContains(t, bad.Validate(), "delay")
}

// Guards against a start after the limit of an evacuation. All entries of an agent are cut off
// from the keepers, the agent is paused now and then, and the first questions to keepers after
// the order are lost.
func TestEvacuationTakesEffectWithinTheLimit(t *testing.T) {
	timing := evac.NewTiming(limit)
	for seed := range uint64(1000) {
		r := rand.New(rand.NewPCG(seed, 1))
		acknowledged := at(time.Duration(r.Int64N(int64(3 * time.Second))))
		lost := 1
		k := evac.NewKnowledge(timing, start).With(evac.Notice{Version: 1}, start)
		for now := start; now.Before(at(20 * time.Second)); {
			// ask asks a keeper, as before a start, and at intervals.
			ask := func() time.Duration {
				began := now
				if lost > 0 {
					if began.After(acknowledged) {
						lost--
					}
					now = now.Add(timing.AskTimeout)
					k = k.WithUnanswered(began)
					pause := k.Pause(now)
					return pause + time.Duration(r.Int64N(int64(pause)))
				}
				evacuated := !began.Before(acknowledged)
				version := uint64(1)
				if evacuated {
					version = 2
				}
				k = k.With(evac.Notice{Version: version, Evacuated: evacuated}, began)
				return timing.CheckInterval
			}
			pause := timing.CheckInterval
			if k.MustAsk(now) {
				pause = ask()
			}
			next := now.Add(pause)
			if r.IntN(10) == 0 {
				next = next.Add(time.Duration(r.Int64N(int64(8 * time.Second)))) // the process is paused
			}
			for ; now.Before(next); now = now.Add(10 * time.Millisecond) {
				if k.Verdict(now) == evac.Permitted {
					assert.Assert(t, now.Sub(acknowledged) < limit, "seed %d: a start %v after the acknowledgement", seed, now.Sub(acknowledged))
				}
			}
		}
		assert.Equal(t, k.Verdict(at(20*time.Second)), evac.Evacuated)
	}
}
