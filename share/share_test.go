package share_test

import (
	"fmt"
	"testing"
	"time"

	"cyclamenrelay.example/model"
	"cyclamenrelay.example/rules"
	"cyclamenrelay.example/share"
	"cyclamenrelay.example/wire"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func compile(t assert.TestingT, version uint64, weights map[string]int) *rules.Set {
	d := model.Delta{To: version}
	for name, w := range weights {
		d.Items = append(d.Items, model.Item{
			Key: model.ItemKey{Section: model.SectionRule, Name: name}, Version: version,
			Value: fmt.Appendf(nil, `{"work":"kind=%s","weight":%d}`, name, w),
		})
	}
	cfg, _ := model.Config{}.Apply(d)
	set, errs := rules.Compile(cfg)
	assert.Equal(t, len(errs), 0)
	return set
}

func task(id, kind string) model.Task {
	return model.Task{ID: id, Labels: model.Labels{model.LabelKind: kind}}
}

func want(kind string, n int) wire.Demand {
	return wire.Demand{Wants: []wire.ShareDemand{{Share: kind, Count: n}}}
}

// TestRandomised passes random events. The core itself checks that no slot is
// lost; the test checks that each start gets exactly one of Run and Refuse.
func TestRandomised(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := share.DefaultSettings(4)
		set.Buffer = rapid.IntRange(0, 2).Draw(t, "buffer")
		set.BufferTime = 20 * time.Millisecond
		c := share.New(set, compile(t, 1, map[string]int{"a": 1, "b": 3}))
		now := time.Unix(1000, 0)
		var running, unanswered []string
		var grants []share.Grant
		n := 0
		step := func(in share.Input) {
			for _, e := range c.Step(now, in) {
				switch e := e.(type) {
				case share.Run:
					running = append(running, e.Task.ID)
					unanswered = remove(t, unanswered, e.Task.ID)
				case share.Refuse:
					unanswered = remove(t, unanswered, e.ID)
				case share.Grant:
					grants = append(grants, e)
				}
			}
			assert.Equal(t, c.Running(), len(running))
		}
		entry := rapid.SampledFrom([]string{"x", "y", "z"})
		kind := rapid.SampledFrom([]string{"a", "b", "other"})
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				n++
				id := fmt.Sprint(n)
				unanswered = append(unanswered, id)
				m := share.Start{Entry: entry.Draw(t, "entry"), Start: wire.Start{Task: task(id, kind.Draw(t, "kind"))}}
				if len(grants) > 0 {
					m.Start.Grant, m.Entry = grants[0].Grant.ID, grants[0].Entry
					grants = grants[1:]
				}
				step(m)
			},
			"finish": func(t *rapid.T) {
				if len(running) == 0 {
					t.Skip("idle")
				}
				id := rapid.SampledFrom(running).Draw(t, "task")
				running = remove(t, running, id)
				step(share.Finished{ID: id})
			},
			"demand": func(t *rapid.T) {
				step(share.Demanded{Entry: entry.Draw(t, "entry"), Demand: want(kind.Draw(t, "kind"), rapid.IntRange(0, 5).Draw(t, "n"))})
			},
			"return": func(t *rapid.T) {
				if len(grants) == 0 {
					t.Skip("no grant")
				}
				g := grants[0]
				grants = grants[1:]
				step(share.Returned{Entry: g.Entry, Return: wire.ReturnGrant{ID: g.Grant.ID}})
			},
			"cancel": func(t *rapid.T) { step(share.Cancelled{Entry: entry.Draw(t, "entry"), ID: fmt.Sprint(n)}) },
			"gone":   func(t *rapid.T) { step(share.EntryLost{Entry: entry.Draw(t, "entry")}) },
			"resize": func(t *rapid.T) { step(share.Resized{Slots: rapid.IntRange(1, 6).Draw(t, "slots")}) },
			"configure": func(t *rapid.T) {
				v := uint64(rapid.IntRange(1, 50).Draw(t, "version"))
				step(share.Configured{Rules: compile(t, v, map[string]int{"a": int(v)})})
			},
			"tick": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
				step(share.Tick{})
			},
		})
	})
}

func remove(t assert.TestingT, s []string, v string) []string {
	for i, o := range s {
		if o == v {
			return append(s[:i:i], s[i+1:]...)
		}
	}
	assert.Assert(t, false, "%s is not in the list", v)
	return nil
}

// TestSlotTimeFollowsWeights checks that slot time is divided by weight: three
// entries ask for slots for two shares of weights 1 and 3 with tasks of different
// run times.
func TestSlotTimeFollowsWeights(t *testing.T) {
	c := share.New(share.DefaultSettings(4), compile(t, 1, map[string]int{"a": 1, "b": 3}))
	now := time.Unix(1000, 0)
	slotTime := map[string]time.Duration{}
	length := map[string]time.Duration{"a": 50 * time.Millisecond, "b": 200 * time.Millisecond}
	ends := map[string]time.Time{}
	kinds := map[string]string{}
	n := 0
	var step func(in share.Input)
	step = func(in share.Input) {
		for _, e := range append([]share.Effect(nil), c.Step(now, in)...) {
			if g, ok := e.(share.Grant); ok {
				n++
				id := fmt.Sprint(n)
				ends[id], kinds[id] = now.Add(length[g.Grant.Share]), g.Grant.Share
				step(share.Start{Entry: g.Entry, Start: wire.Start{Task: task(id, g.Grant.Share), Grant: g.Grant.ID}})
			}
		}
	}
	for range 20_000 {
		for _, e := range []string{"x", "y", "z"} {
			step(share.Demanded{Entry: e, Demand: want("a", 100)})
		}
		step(share.Demanded{Entry: "x", Demand: want("b", 100)})
		now = now.Add(time.Millisecond)
		for id, at := range ends {
			if !at.After(now) {
				delete(ends, id)
				slotTime[kinds[id]] += length[kinds[id]]
				step(share.Finished{ID: id})
			}
		}
	}
	ratio := slotTime["b"].Seconds() / slotTime["a"].Seconds()
	assert.Assert(t, ratio > 2.7 && ratio < 3.3, "ratio %.2f", ratio)
}

// TestUnusedGrantExpires checks that a slot granted to an entry that never uses
// it becomes free again.
func TestUnusedGrantExpires(t *testing.T) {
	c := share.New(share.DefaultSettings(1), compile(t, 1, nil))
	now := time.Unix(1000, 0)
	out := c.Step(now, share.Demanded{Entry: "dead", Demand: want("a", 1000)})
	assert.Equal(t, len(out), 1)
	out = c.Step(now, share.Start{Entry: "x", Start: wire.Start{Task: task("1", "a")}})
	assert.Equal(t, out[0].(share.Refuse).NotRun.Code, model.CodeBusy)
	now = c.NextTick()
	assert.Equal(t, len(c.Step(now, share.Tick{})), 0)
	assert.Equal(t, c.Free(), 1)
}

func TestLeaveRefuses(t *testing.T) {
	c := share.New(share.DefaultSettings(1), compile(t, 1, nil))
	now := time.Unix(1000, 0)
	c.Step(now, share.Drain{})
	assert.Equal(t, len(c.Step(now, share.Demanded{Entry: "x", Demand: want("a", 1)})), 0)
	out := c.Step(now, share.Start{Entry: "x", Start: wire.Start{Task: task("1", "a")}})
	assert.Equal(t, out[0].(share.Refuse).NotRun.Code, model.CodeLeaving)
}

// Guards against starts that wait at an agent whose data centre is evacuated, and against the
// loss of a running task's slot.
func TestWithdrawReturnsWaitingStarts(t *testing.T) {
	settings := share.DefaultSettings(1)
	settings.Buffer = 2
	c := share.New(settings, compile(t, 1, nil))
	now := time.Unix(1000, 0)
	for _, id := range []string{"1", "2", "3"} {
		c.Step(now, share.Start{Entry: "x", Start: wire.Start{Task: task(id, "a")}})
	}
	out := c.Step(now, share.Withdraw{})
	assert.Equal(t, len(out), 2)
	for i, id := range []string{"2", "3"} {
		r := out[i].(share.Refuse)
		assert.Assert(t, r.ID == id && r.NotRun.Code == model.CodeLeaving, "%+v", r)
	}
	assert.Equal(t, len(c.Step(now, share.Withdraw{})), 0)
	assert.Equal(t, c.Running(), 1)
	assert.Equal(t, len(c.Step(now, share.Finished{ID: "1"})), 0)
	assert.Equal(t, c.Free(), 1)
}
