package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cyclamenrelay.example/model"
	"cyclamenrelay.example/place"
	"cyclamenrelay.example/rules"
	"cyclamenrelay.example/wire"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// rig drives one core event by event.
type rig struct {
	t          assert.TestingT
	core       *place.Core
	now        time.Time
	seq        uint64
	unanswered map[string]string // unanswered starts: ID and agent, to agent
	outcomes   map[string]model.Outcome
	starts     map[string]int // starts that were not refused
}

func newRig(t assert.TestingT, set *rules.Set) *rig {
	return &rig{
		t: t, core: place.New(place.DefaultSettings(), set, rand.New(rand.NewPCG(1, 1))), now: epoch,
		unanswered: map[string]string{}, outcomes: map[string]model.Outcome{}, starts: map[string]int{},
	}
}

func (g *rig) step(in place.Input) []place.Effect {
	out := append([]place.Effect(nil), g.core.Step(g.now, in)...)
	for _, e := range out {
		switch e := e.(type) {
		case place.Start:
			g.unanswered[e.Task.ID+e.Agent] = e.Agent
			g.starts[e.Task.ID]++
		case place.Resolve:
			assert.Assert(g.t, g.outcomes[e.ID] == nil, "second outcome of %s", e.ID)
			g.outcomes[e.ID] = e.Outcome
			_, notRun := e.Outcome.(model.NotRun)
			assert.Assert(g.t, !notRun || g.starts[e.ID] == 0, "notRun of %s after %d starts", e.ID, g.starts[e.ID])
		}
	}
	return out
}

// announce passes an announcement of agent i.
func (g *rig) announce(i, free int, labels model.Labels) {
	g.seq++
	g.step(place.Announced{Announce: wire.Announce{
		Self: wire.Node{Name: fmt.Sprint("agent", i), Incarnation: 1}, Free: free, Seq: g.seq,
		Target: &model.Target{Name: fmt.Sprint("target", i), DataCentre: "a", Slots: simSlots, Labels: labels},
	}})
}

func (g *rig) arrive(id string, labels model.Labels, selector string) {
	g.step(place.Arrive{Task: model.Task{ID: id, Labels: labels, Selector: selector, TimeLeft: time.Minute, Idempotent: true}})
}

// wait lets d pass, with a Tick whenever the core asks for one. No heartbeats arrive.
func (g *rig) wait(d time.Duration) {
	for end := g.now.Add(d); ; {
		w := g.core.NextTick()
		if w.After(end) {
			g.now = end
			return
		}
		if w.After(g.now) {
			g.now = w
		}
		g.step(place.Tick{})
	}
}

// TestRandomised passes random events. Each request must get one outcome, and work
// with the outcome notRun must not have been started.
func TestRandomised(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := func(version uint64) *rules.Set {
			return compile(t, version, map[model.ItemKey]any{
				ruleKey("a"): model.Rule{Work: "kind=a", Targets: fmt.Sprintf("zone!=z%d", version%3), Hedge: 0.5, QueueBound: 4},
				ruleKey("b"): model.Rule{Work: "kind in (a,b)", Order: int(version % 2), Weight: 2},
				{Section: model.SectionTeam, Name: "red"}: model.Team{Quota: 2},
			})
		}
		g := newRig(t, weights(1))
		arrived := 0
		pickUnanswered := func(t *rapid.T) (string, string) {
			for n := range arrived {
				for i := range 4 {
					a := fmt.Sprint("agent", i)
					if g.unanswered[fmt.Sprint("r", n)+a] != "" && rapid.Bool().Draw(t, "this") {
						return fmt.Sprint("r", n), a
					}
				}
			}
			t.Skip("no unanswered start")
			return "", ""
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				labels := model.Labels{"kind": rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "kind")}
				if rapid.Bool().Draw(t, "team") {
					labels["team"] = "red"
				}
				g.step(place.Arrive{Task: model.Task{
					ID: fmt.Sprint("r", arrived), Labels: labels, Idempotent: rapid.Bool().Draw(t, "idempotent"),
					Selector: rapid.SampledFrom([]string{"", "", "zone=z1", "zone=none", "zone in"}).Draw(t, "selector"),
					TimeLeft: time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond,
				}})
				arrived++
			},
			"answer": func(t *rapid.T) {
				id, agent := pickUnanswered(t)
				delete(g.unanswered, id+agent)
				res := wire.Result{ID: id, Free: rapid.IntRange(0, 2).Draw(t, "free")}
				switch rapid.IntRange(0, 3).Draw(t, "outcome") {
				case 0:
					res.Failed = &model.Failed{Reason: "status 500", Target: "target0"}
				case 1:
					g.starts[id]--
					res.NotRun = &model.NotRun{Code: model.CodeBusy}
				default:
					res.Complete = &model.Complete{}
				}
				g.step(place.Answer{Agent: agent, Result: res})
			},
			"lost": func(t *rapid.T) {
				id, agent := pickUnanswered(t)
				delete(g.unanswered, id+agent)
				unsent := rapid.Bool().Draw(t, "unsent")
				if unsent {
					g.starts[id]--
				}
				g.step(place.Unanswered{Agent: agent, ID: id, Unsent: unsent})
			},
			"hear": func(t *rapid.T) {
				i := rapid.IntRange(0, 3).Draw(t, "agent")
				g.announce(i, rapid.IntRange(0, 3).Draw(t, "free"), model.Labels{"zone": fmt.Sprint("z", i%3)})
			},
			"grant": func(t *rapid.T) {
				i := rapid.IntRange(0, 3).Draw(t, "agent")
				g.step(place.Granted{Agent: fmt.Sprint("agent", i), Grant: wire.Grant{ID: 1, Share: "a"}})
			},
			"cancel": func(t *rapid.T) {
				g.step(place.Cancelled{ID: fmt.Sprint("r", rapid.IntRange(0, arrived).Draw(t, "id"))})
			},
			"configure": func(t *rapid.T) {
				g.step(place.Configured{Rules: weights(uint64(rapid.IntRange(1, 9).Draw(t, "version")))})
			},
			"wait": func(t *rapid.T) { g.wait(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond) },
		})
		g.wait(10 * time.Second)
		all, queued := g.core.Pending()
		assert.Equal(t, all+queued, 0)
		assert.Equal(t, len(g.outcomes), arrived)
	})
}

// TestCancelManyQueuedTasks checks that nothing is left pending when 10,000 queued tasks are
// cancelled.
func TestCancelManyQueuedTasks(t *testing.T) {
	g := newRig(t, compile(t, 1, map[model.ItemKey]any{ruleKey("a"): model.Rule{QueueBound: 10_000}}))
	g.announce(0, 0, nil)
	for i := range 10_000 {
		g.arrive(fmt.Sprint(i), nil, "")
	}
	_, queued := g.core.Pending()
	assert.Equal(t, queued, 10_000)
	for i := range 10_000 {
		g.step(place.Cancelled{ID: fmt.Sprint(i)})
	}
	all, queued := g.core.Pending()
	assert.Equal(t, all+queued, 0)
	for _, o := range g.outcomes {
		assert.Equal(t, o.(model.NotRun).Code, model.CodeCancelled)
	}
}

// TestDeadlineAtArrival checks that work that cannot finish before its deadline is
// refused on arrival.
func TestDeadlineAtArrival(t *testing.T) {
	g := newRig(t, compile(t, 1, nil))
	g.announce(0, 0, nil)
	for i := range 100 {
		g.arrive(fmt.Sprint(i), nil, "")
	}
	for range 10 { // serves ten tasks a second
		g.wait(100 * time.Millisecond)
		g.announce(0, 1, nil)
	}
	arrive := func(id string, left time.Duration) {
		g.step(place.Arrive{Task: model.Task{ID: id, TimeLeft: left}})
	}
	arrive("long", 12*time.Second)
	arrive("short", 6*time.Second)
	assert.Assert(t, g.outcomes["long"] == nil)
	o := g.outcomes["short"].(model.NotRun)
	assert.Equal(t, o.Code, model.CodeDeadline)
	assert.Assert(t, o.RetryAfter > 2*time.Second && o.RetryAfter < 5*time.Second, "retry after %v", o.RetryAfter)
}

// TestImpossibleSelector checks that work whose selector matches no target is
// refused after NoTargetWait and not before, and that an invalid selector is
// refused at once.
func TestImpossibleSelector(t *testing.T) {
	g := newRig(t, compile(t, 1, nil))
	g.announce(0, 8, nil)
	g.arrive("x", nil, "zone=nowhere")
	g.arrive("y", nil, "zone in")
	assert.Equal(t, g.outcomes["y"].(model.NotRun).Code, model.CodeInvalid)
	wait := place.DefaultSettings().NoTargetWait
	g.wait(wait - 10*time.Millisecond)
	assert.Assert(t, g.outcomes["x"] == nil)
	g.wait(150 * time.Millisecond)
	assert.Equal(t, g.outcomes["x"].(model.NotRun).Code, model.CodeNoTarget)
}

// TestTooManySelectors checks that too many different selectors are refused
// without harm to other work.
func TestTooManySelectors(t *testing.T) {
	g := newRig(t, compile(t, 1, nil))
	g.announce(0, 8, nil)
	g.arrive("first", nil, "")
	for i := range 2000 {
		g.arrive(fmt.Sprint(i), nil, fmt.Sprintf("zone=z%d", i))
	}
	assert.Equal(t, g.outcomes["1999"].(model.NotRun).Code, model.CodeQueueFull)
	g.arrive("last", nil, "")
	assert.Equal(t, g.unanswered["lastagent0"], "agent0")
	g.step(place.Configured{Rules: compile(t, 2, map[model.ItemKey]any{ruleKey("a"): model.Rule{Weight: 2}})})
	for range 2 {
		g.wait(1500 * time.Millisecond)
		g.announce(0, 6, nil)
	}
	all, _ := g.core.Pending()
	assert.Equal(t, all, 2, "only the started tasks may be pending")
}

// TestNewRulesApplyToQueuedWork checks that a new rule applies to work that is
// already queued, and that drained targets get no work.
func TestNewRulesApplyToQueuedWork(t *testing.T) {
	rule := func(zone string) model.Rule { return model.Rule{Work: "kind=a", Targets: "zone=" + zone} }
	g := newRig(t, compile(t, 1, map[model.ItemKey]any{ruleKey("a"): rule("old")}))
	g.announce(0, 0, model.Labels{"zone": "old"})
	g.announce(1, 8, model.Labels{"zone": "new"})
	for i := range 5 {
		g.arrive(fmt.Sprint(i), model.Labels{"kind": "a"}, "")
	}
	assert.Equal(t, len(g.unanswered), 0)
	g.step(place.Configured{Rules: compile(t, 2, map[model.ItemKey]any{ruleKey("a"): rule("new")})})
	assert.Equal(t, len(g.unanswered), 5)
	g.step(place.Configured{Rules: compile(t, 1, map[model.ItemKey]any{ruleKey("a"): rule("old")})})
	g.arrive("6", model.Labels{"kind": "a"}, "")
	assert.Equal(t, g.unanswered["6agent1"], "agent1", "an older configuration must be ignored")
	g.step(place.Configured{Rules: compile(t, 3, map[model.ItemKey]any{
		{Section: model.SectionDrain, Name: "d"}: model.Drain{Targets: "zone=new"},
	})})
	g.arrive("7", nil, "zone=new")
	assert.Equal(t, len(g.unanswered), 6)
}

// TestQuotaIsDividedByDemand checks that an entry's part of a team quota follows
// the use that the other entries report.
func TestQuotaIsDividedByDemand(t *testing.T) {
	team := model.ItemKey{Section: model.SectionTeam, Name: "red"}
	g := newRig(t, compile(t, 1, map[model.ItemKey]any{team: model.Team{Quota: 6}}))
	g.announce(0, 8, nil)
	g.step(place.PeerUse{Use: wire.TeamUse{Entry: "other", Teams: map[string]int{"red": 20}}})
	for i := range 20 {
		g.arrive(fmt.Sprint(i), model.Labels{"team": "red"}, "")
	}
	g.announce(0, 8, nil)
	assert.Assert(t, len(g.unanswered) <= 3, "%d starts", len(g.unanswered))
	g.wait(time.Second)
	g.announce(0, 8, nil)
	assert.Equal(t, len(g.unanswered), 3)
	g.step(place.PeerUse{Use: wire.TeamUse{Entry: "other"}})
	g.announce(0, 8, nil)
	assert.Equal(t, len(g.unanswered), 6)
}

// TestLostDemandIsSentAgain checks that demand is sent again after a while without
// a grant, since the agent may have lost it.
func TestLostDemandIsSentAgain(t *testing.T) {
	g := newRig(t, compile(t, 1, nil))
	g.announce(0, 0, nil)
	out := g.step(place.Arrive{Task: model.Task{ID: "x", TimeLeft: time.Minute}})
	want := out[0].(place.SendDemand)
	assert.Equal(t, want.Agent, "agent0")
	for range 22 {
		g.announce(0, 0, nil)
		g.now = g.now.Add(100 * time.Millisecond)
		for _, e := range g.step(place.Tick{}) {
			if again, ok := e.(place.SendDemand); ok {
				assert.DeepEqual(t, again, want)
				return
			}
		}
	}
	t.Fatal("the demand was not sent again")
}

// TestUnansweredStartTimesOut checks that a start that gets no answer while the heartbeats
// continue fails as work that may have run, and that idempotent work is retried
// at another target.
func TestUnansweredStartTimesOut(t *testing.T) {
	g := newRig(t, compile(t, 1, nil))
	g.announce(0, 8, nil)
	g.step(place.Arrive{Task: model.Task{ID: "once", TimeLeft: time.Minute}})
	g.arrive("twice", nil, "")
	g.announce(1, 8, nil)
	for range 40 {
		g.wait(time.Second)
		g.announce(0, 8, nil)
		g.announce(1, 8, nil)
	}
	assert.Assert(t, g.outcomes["once"].(model.Failed).MayHaveRun)
	assert.Equal(t, g.unanswered["twiceagent1"], "agent1")
}

// benchmark measures an arrival with its answer, and one heartbeat.
func benchmark(b *testing.B, targets int) {
	g := newRig(b, kindRules(b, kinds...))
	for i := range targets {
		g.announce(i, 8, nil)
	}
	task := model.Task{ID: "x", Labels: model.Labels{"kind": "tag"}, TimeLeft: time.Minute, Idempotent: true}
	done := &model.Complete{}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		g.now = g.now.Add(500 * time.Microsecond)
		g.announce(n%targets, 8, nil)
		out := g.core.Step(g.now, place.Arrive{Task: task})
		g.core.Step(g.now, place.Answer{Agent: out[0].(place.Start).Agent, Result: wire.Result{ID: "x", Complete: done, Free: 8}})
	}
}

func BenchmarkTask11Targets(b *testing.B)   { benchmark(b, 11) }
func BenchmarkTask2000Targets(b *testing.B) { benchmark(b, 2000) }

// BenchmarkQueuedTask2000Targets queues a task and starts one on a grant, with 500 others queued.
func BenchmarkQueuedTask2000Targets(b *testing.B) {
	g := newRig(b, kindRules(b, kinds...))
	for i := range 2000 {
		g.announce(i, 0, nil)
	}
	tag := model.Labels{"kind": "tag"}
	n := 0
	arrive := func() {
		n++
		g.core.Step(g.now, place.Arrive{Task: model.Task{ID: fmt.Sprint(n), Labels: tag, TimeLeft: time.Minute}})
	}
	for range 500 {
		arrive()
	}
	done := &model.Complete{}
	b.ReportAllocs()
	for b.Loop() {
		arrive()
		agent := fmt.Sprint("agent", n%2000)
		out := g.core.Step(g.now, place.Granted{Agent: agent, Grant: wire.Grant{ID: 1, Share: "tag"}})
		id := out[0].(place.Start).Task.ID
		g.core.Step(g.now, place.Answer{Agent: agent, Result: wire.Result{ID: id, Complete: done}})
	}
}

// BenchmarkQueuedTask reports the memory of a queued task.
func BenchmarkQueuedTask(b *testing.B) {
	g := newRig(b, compile(b, 1, map[model.ItemKey]any{ruleKey("a"): model.Rule{QueueBound: 1 << 30}}))
	g.announce(0, 0, nil)
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		n++
		g.core.Step(g.now, place.Arrive{Task: model.Task{ID: fmt.Sprint(n), TimeLeft: time.Minute}})
	}
}

// BenchmarkKnownTarget reports the memory of a known target with one class of work.
func BenchmarkKnownTarget(b *testing.B) {
	g := newRig(b, kindRules(b, kinds...))
	g.arrive("x", nil, "")
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		n++
		g.announce(n, 0, nil)
	}
}

// TestTaskLimitedToAgents checks that a task that is limited to some agents is started
// at no others, also from the queue. It also checks the number of Candidates.
func TestTaskLimitedToAgents(t *testing.T) {
	g := newRig(t, compile(t, 1, nil))
	for i := range 4 {
		g.announce(i, 1, nil)
	}
	assert.Equal(t, len(g.core.Candidates(model.Task{}, 9)), 4)
	assert.Equal(t, len(g.core.Candidates(model.Task{}, 3)), 3)
	for i := range 4 {
		g.step(place.Arrive{Task: model.Task{
			ID: fmt.Sprint(i), TimeLeft: time.Minute, Job: "j", Agents: []string{"agent1", "agent3"},
		}})
	}
	assert.Equal(t, len(g.unanswered), 2)
	g.wait(100 * time.Millisecond)
	for i := range 4 {
		g.announce(i, 1, nil)
	}
	assert.Equal(t, len(g.unanswered), 4)
	for id, agent := range g.unanswered {
		assert.Assert(t, agent == "agent1" || agent == "agent3", "task %s at %s", id, agent)
	}
}
