package place_test

import (
	"fmt"
	"testing"
	"time"

	"cyclamenrelay.example/fleet"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/place"
	"cyclamenrelay.example/share"
	"cyclamenrelay.example/wire"

	"gotest.tools/v3/assert"
)

var kinds = []string{"match", "claim", "tag", "quote"}

// newLoadedSim returns a simulation in which the kinds have equal parts of the load until end.
func newLoadedSim(t *testing.T, seed uint64, p fleet.Policy, load float64, end time.Duration) *sim {
	s := newSim(t, seed, p, kindRules(t, kinds...))
	for _, k := range kinds {
		s.addStream(stream{kind: k, rate: load * simCapacity / float64(len(kinds)), from: time.Second, to: end})
	}
	return s
}

func TestResponseAndWasteUpTo70Percent(t *testing.T) {
	for _, load := range []float64{0.3, 0.7} {
		s := newLoadedSim(t, 2, fleet.IdleFirst{}, load, 20*time.Second)
		s.finish(20 * time.Second)
		for _, k := range kinds {
			r := s.kinds[k].ratios
			assert.Assert(t, quantile(r, 0.5) <= 1.05 && quantile(r, 0.99) <= 1.5, "load %.2f %s: p50 %.3f p99 %.3f", load, k, quantile(r, 0.5), quantile(r, 0.99))
		}
		assert.Assert(t, s.waste() <= 0.1, "load %.2f: %.3f wasted messages a request", load, s.waste())
	}
}

func TestWasteAt130Percent(t *testing.T) {
	s := newLoadedSim(t, 2, fleet.IdleFirst{}, 1.3, 20*time.Second)
	s.finish(20 * time.Second)
	assert.Assert(t, s.waste() <= 0.5, "%.3f wasted messages a request", s.waste())
}

// flood simulates four kinds at 15 % of the capacity each and a fifth kind at
// loadFactor times the capacity.
func flood(t *testing.T, seed uint64, p fleet.Policy, urgency int, loadFactor float64) *sim {
	const end = 30 * time.Second
	s := newSim(t, seed, p, kindRules(t, append(kinds, "flood")...))
	for _, k := range kinds {
		s.addStream(stream{kind: k, rate: 0.15 * simCapacity, from: time.Second, to: end, urgency: 4})
	}
	if loadFactor > 0 {
		s.addStream(stream{kind: "flood", rate: loadFactor * simCapacity, from: 5 * time.Second, to: end, urgency: urgency})
	}
	s.tallyFrom = 8 * time.Second
	s.finish(end)
	return s
}

// TestFlood checks that during a flood of one kind at ten times the capacity, least
// or most urgent, the other kinds keep a goodput of 95 % and at most twice their
// 99th percentile.
func TestFlood(t *testing.T) {
	for _, urgency := range []int{0, model.MaxUrgency} {
		baseline := flood(t, 3, fleet.IdleFirst{}, urgency, 0)
		flooded := flood(t, 3, fleet.IdleFirst{}, urgency, 10)
		for _, k := range kinds {
			a, b := baseline.kinds[k], flooded.kinds[k]
			goodput := float64(b.complete) / float64(b.sent)
			before, after := quantile(a.times, 0.99), quantile(b.times, 0.99)
			if testing.Verbose() {
				fmt.Printf("flood urgency %d, %s: goodput %.3f, p99 %.2f s, without flood %.2f s, ratio p50 %.2f p99 %.2f\n",
					urgency, k, goodput, after, before, quantile(b.ratios, 0.5), quantile(b.ratios, 0.99))
			}
			assert.Assert(t, goodput >= 0.95, "urgency %d: goodput of %s is %.3f", urgency, k, goodput)
			assert.Assert(t, after <= 2*before, "urgency %d: p99 of %s is %.2f s, was %.2f s", urgency, k, after, before)
		}
		f := flooded.kinds["flood"]
		assert.Assert(t, f.notRun > f.sent/2 && f.complete > 0)
		if testing.Verbose() {
			fmt.Printf("flood: %d sent, %d complete, %d failed, refused %v, waste %.3f\n", f.sent, f.complete, f.failed, f.codes, flooded.waste())
		}
	}
}

// TestTargetThatFailsEverything checks that a target that fails all its work gets
// less than 1 % of the starts after 2 s, and its part again once it has recovered.
func TestTargetThatFailsEverything(t *testing.T) {
	const end = 40 * time.Second
	s := newLoadedSim(t, 4, fleet.IdleFirst{}, 0.7, end)
	s.run(5 * time.Second)
	s.agents[3].fails = true
	s.run(7 * time.Second)
	before, agentBefore := s.starts, s.agents[3].starts
	s.run(20 * time.Second)
	startShare := float64(s.agents[3].starts-agentBefore) / float64(s.starts-before)
	assert.Assert(t, startShare < 0.01, "the target got %.4f of the work", startShare)
	s.agents[3].fails = false
	s.run(32 * time.Second)
	before, agentBefore = s.starts, s.agents[3].starts
	s.finish(end)
	startShare = float64(s.agents[3].starts-agentBefore) / float64(s.starts-before)
	assert.Assert(t, startShare > 0.04, "the target got %.4f of the work", startShare)
}

// TestTaskThatFailsEverywhere checks that a kind of work that fails at all targets
// puts none of them on probation for the others, and that its retries stay
// within its budget.
func TestTaskThatFailsEverywhere(t *testing.T) {
	const end = 20 * time.Second
	s := newLoadedSim(t, 5, fleet.IdleFirst{}, 0.6, end)
	s.addStream(stream{kind: "poison", rate: 0.2 * simCapacity, from: 2 * time.Second, to: end, fails: true})
	s.finish(end)
	for _, k := range kinds {
		r := s.kinds[k]
		assert.Equal(t, r.complete, r.sent)
		assert.Assert(t, quantile(r.ratios, 0.99) <= 1.5, "%s: p99 %.3f", k, quantile(r.ratios, 0.99))
	}
	poison := s.kinds["poison"]
	assert.Equal(t, poison.failed, poison.sent)
	assert.Assert(t, s.extraStarts <= 3*10+poison.sent/10, "%d retries of %d tasks", s.extraStarts, poison.sent)
}

// TestHalfTheTargetsDie checks that retries stay within the budget, and that lost
// work that cannot be retried fails soon after Settings.HeartbeatTimeout.
func TestHalfTheTargetsDie(t *testing.T) {
	const end = 20 * time.Second
	s := newLoadedSim(t, 6, fleet.IdleFirst{}, 0.7, end)
	s.addStream(stream{kind: "deposit", rate: 0.1 * simCapacity, from: time.Second, to: end, nonIdempotent: true})
	s.run(8 * time.Second)
	before := s.starts
	for i := range 5 {
		s.agents[2*i].down = true
	}
	s.finish(end)
	budget := 3*(len(kinds)+2)*10 + (s.starts-before)/10
	assert.Assert(t, s.extraStarts <= budget, "%d retries of %d starts", s.extraStarts, s.starts-before)
	bound := 8*time.Second + place.DefaultSettings().HeartbeatTimeout + 200*time.Millisecond
	lost := 0
	for id, task := range s.tasks {
		if task.kind != "deposit" {
			continue
		}
		assert.Assert(t, task.starts <= 1, "%s ran %d times", id, task.starts)
		if task.arrived < 8*time.Second && task.ended > 8*time.Second+5*time.Second {
			t.Errorf("%s waited until %v", id, task.ended)
		}
		if s.failed[id] {
			lost++
			assert.Assert(t, task.ended <= bound, "%s failed at %v", id, task.ended)
		}
	}
	assert.Assert(t, lost > 0)
}

// TestHedge checks that hedging improves the 99th percentile when 5 % of the
// starts take ten times as long, with 5 % extra starts (tolerance 0.5 %).
func TestHedge(t *testing.T) {
	const end = 30 * time.Second
	run := func(hedgeAfter float64) (p99, extra float64) {
		s := newSim(t, 7, fleet.IdleFirst{}, compile(t, 1, map[model.ItemKey]any{
			ruleKey("a"): model.Rule{Hedge: hedgeAfter, RetryBudget: 0.05},
		}))
		s.narrowRunTimes, s.slowShare = true, 0.05
		s.addStream(stream{kind: "tag", rate: 200, from: time.Second, to: end})
		s.tallyFrom = 5 * time.Second
		s.finish(end)
		return quantile(s.kinds["tag"].ratios, 0.99), float64(s.extraStarts) / float64(len(s.tasks))
	}
	plain, none := run(0)
	hedged, extra := run(0.95)
	if testing.Verbose() {
		fmt.Printf("hedge: p99 of response over ideal %.2f, without %.2f; extra starts %.3f\n", hedged, plain, extra)
	}
	assert.Equal(t, none, 0.0)
	assert.Assert(t, extra <= 0.055, "%.3f extra starts", extra)
	assert.Assert(t, hedged < 0.7*plain, "p99 %.2f, without hedging %.2f", hedged, plain)
}

// TestCombinedFaults combines faults at random: targets die, restart and fail all
// work, rules change and callers cancel. The simulation checks that each request
// gets one outcome, that work with the outcome notRun did not run, that work not
// marked idempotent runs at most once, and that no slot is lost.
func TestCombinedFaults(t *testing.T) {
	const end = 30 * time.Second
	for seed := uint64(1); seed <= 6; seed++ {
		s := newLoadedSim(t, seed, fleet.IdleFirst{}, 0.9, end)
		s.addStream(stream{kind: "deposit", rate: 0.2 * simCapacity, from: time.Second, to: end, nonIdempotent: true})
		set := share.DefaultSettings(simSlots)
		rules := kindRules(t, kinds...)
		for n := range 60 {
			s.run(time.Duration(n) * end / 60)
			a := s.agents[s.rnd.IntN(len(s.agents))]
			switch s.rnd.IntN(4) {
			case 0:
				a.down = true
			case 1:
				a.fails = !a.fails
			case 2:
				rules = compile(t, uint64(n+2), map[model.ItemKey]any{
					ruleKey("tag"): model.Rule{Work: "kind in (tag,deposit)", Weight: 1 + n%5, Hedge: 0.9},
				})
				for e := range s.entries {
					s.stepEntry(e, place.Configured{Rules: rules})
				}
			case 3:
				for id := range s.tasks {
					s.stepEntry(s.rnd.IntN(3), place.Cancelled{ID: id})
				}
			}
			for _, b := range s.agents {
				if b.down && s.rnd.IntN(3) == 0 {
					b.down, b.core, b.incarnation, b.seq = false, share.New(set, rules), b.incarnation+1, 0
				}
			}
		}
		s.finish(end)
		for id, task := range s.tasks {
			assert.Assert(t, task.kind != "deposit" || task.starts <= 1, "seed %d: %s ran %d times", seed, id, task.starts)
		}
	}
}

// TestDeclaredRunTimeCausesNoRefusal checks that a declared run time beyond the
// deadline does not cause a refusal: it is only a hint.
func TestDeclaredRunTimeCausesNoRefusal(t *testing.T) {
	g := newRig(t, compile(t, 1, nil))
	g.announce(0, 0, nil)
	g.step(place.Arrive{Task: model.Task{
		ID: "a", Idempotent: true, RunTime: time.Hour, TimeLeft: time.Second,
	}})
	assert.Assert(t, g.outcomes["a"] == nil, "%v", g.outcomes["a"])
	g.announce(0, 1, nil)
	assert.Equal(t, g.starts["a"], 1)
}

// TestLateWorkIsNotStarted checks that queued work that can no longer finish
// before its deadline is refused when a slot becomes free, and that the slot goes
// to work that still can.
func TestLateWorkIsNotStarted(t *testing.T) {
	g := newRig(t, compile(t, 1, nil))
	g.announce(0, 8, nil)
	for i := range 20 { // 20 measured run times of 1 s
		id := fmt.Sprint("past", i)
		g.arrive(id, nil, "")
		g.now = g.now.Add(time.Second)
		g.announce(0, 7, nil)
		g.step(place.Answer{Agent: "agent0", Result: wire.Result{ID: id, Complete: &model.Complete{}, Free: 8}})
	}
	g.announce(0, 0, nil)
	g.step(place.Arrive{Task: model.Task{ID: "late", Idempotent: true, TimeLeft: 1500 * time.Millisecond}})
	g.step(place.Arrive{Task: model.Task{ID: "soon", Idempotent: true, TimeLeft: 5 * time.Second}})
	assert.Equal(t, len(g.outcomes), 20)
	g.now = g.now.Add(time.Second)
	g.announce(0, 1, nil)
	_, notRun := g.outcomes["late"].(model.NotRun)
	assert.Assert(t, notRun, "%v", g.outcomes["late"])
	assert.Equal(t, g.starts["late"], 0)
	assert.Equal(t, g.starts["soon"], 1)
}

// TestRefusedStartsAreQueued checks that work that agents refused three times is queued
// and not refused.
func TestRefusedStartsAreQueued(t *testing.T) {
	g := newRig(t, compile(t, 1, nil))
	for i := range 8 {
		g.announce(i, 2, nil)
	}
	g.arrive("a", nil, "")
	for refusals := range 3 {
		assert.Equal(t, g.starts["a"], 1, "after %d refusals", refusals)
		for _, agent := range g.unanswered {
			delete(g.unanswered, "a"+agent)
			g.starts["a"]--
			g.step(place.Answer{Agent: agent, Result: wire.Result{ID: "a", NotRun: &model.NotRun{Code: model.CodeBusy}}})
			break
		}
	}
	all, queued := g.core.Pending()
	assert.Equal(t, all, 1)
	assert.Equal(t, queued, 1)
	assert.Equal(t, len(g.unanswered), 0)
}
