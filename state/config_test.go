package state_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	"cyclamenrelay.example/model"
	"cyclamenrelay.example/state"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func apply(t testing.TB, c *state.Config, now time.Duration, ch model.Change) model.ChangeResult {
	b, err := state.ConfigCommands.Encode(state.Change{Change: ch})
	assert.NilError(t, err)
	r, err := state.ConfigAnswers.Decode(c.Apply(0, now, b))
	assert.NilError(t, err)
	return r.(state.Changed).Result
}

func rule(name string) model.ItemKey { return model.ItemKey{Section: model.SectionRule, Name: name} }

func weight(n int) []byte { return fmt.Appendf(nil, `{"work":"kind=match","weight":%d}`, n) }

func TestConcurrentChangesConflict(t *testing.T) {
	c := state.NewConfig()
	a := apply(t, c, 0, model.Change{ID: "1", Operator: "ann", Key: rule("r"), Value: weight(1)})
	assert.Assert(t, a.Accepted)
	won := apply(t, c, 0, model.Change{ID: "2", Operator: "ann", Key: rule("r"), Expected: 1, Value: weight(2)})
	lost := apply(t, c, 0, model.Change{ID: "3", Operator: "bob", Key: rule("r"), Expected: 1, Value: weight(3)})
	assert.Assert(t, won.Accepted && !lost.Accepted)
	assert.DeepEqual(t, lost.Item, won.Item)
	assert.Assert(t, strings.Contains(lost.Reason, `has 2 by "ann"`), lost.Reason)
	assert.Equal(t, c.Version(), uint64(2))
}

func TestResentChangeGetsFirstAnswer(t *testing.T) {
	c := state.NewConfig()
	first := model.Change{ID: "1", Operator: "ann", Key: rule("r"), Value: weight(1)}
	other := model.Change{ID: "2", Operator: "bob", Key: rule("r"), Expected: 1, Value: weight(2)}
	bad := model.Change{ID: "3", Operator: "bob", Key: rule("r"), Expected: 7, Value: weight(2)}
	a, b, r := apply(t, c, 0, first), apply(t, c, 0, other), apply(t, c, 0, bad)
	assert.DeepEqual(t, apply(t, c, time.Hour, first), a)
	assert.DeepEqual(t, apply(t, c, time.Hour, bad), r)
	late := apply(t, c, state.ChangeRetention+time.Hour, first)
	assert.Assert(t, !late.Accepted, "a resend after the retention was applied again")
	assert.DeepEqual(t, apply(t, c, state.ChangeRetention+time.Hour, other), b)
	assert.Equal(t, c.Version(), uint64(2))
}

func TestTombstoneKeepsCount(t *testing.T) {
	c := state.NewConfig()
	apply(t, c, 0, model.Change{ID: "1", Operator: "ann", Key: rule("r"), Value: weight(1)})
	gone := apply(t, c, 0, model.Change{ID: "2", Operator: "ann", Key: rule("r"), Expected: 1})
	assert.Assert(t, gone.Accepted && gone.Item.Value == nil)
	assert.Assert(t, !apply(t, c, 0, model.Change{ID: "3", Operator: "ann", Key: rule("r"), Expected: 2}).Accepted)
	assert.Assert(t, !apply(t, c, 0, model.Change{ID: "4", Operator: "ann", Key: rule("r"), Value: weight(1)}).Accepted)
	assert.Equal(t, apply(t, c, 0, model.Change{ID: "5", Operator: "ann", Key: rule("r"), Expected: 2, Value: weight(1)}).Item.Count, uint64(3))
}

func TestCheck(t *testing.T) {
	for _, k := range []struct {
		section model.Section
		value   string
		wrong   []string
	}{
		{model.SectionRule, `{"work":"kind=a","targets":"!b","weight":3,"urgency":9,"hedge":0.95,"retryBudget":0.1}`, nil},
		{model.SectionRule, `{"work":"a=b=c","weight":0,"urgency":10,"speed":1,"order":"x","hedge":1}`, []string{"order", "speed", "work", "weight", "urgency", "hedge"}},
		{model.SectionOverlay, `{"targets":"a=b","set":{"zone":"x"},"remove":["y"]}`, nil},
		{model.SectionOverlay, `{"set":{"zone":"x,y"},"remove":["zone"]}`, []string{"targets", "set.zone", "remove"}},
		{model.SectionDrain, `{"targets":"","reason":"repair"}`, nil},
		{model.SectionDrain, `{}`, []string{"targets"}},
		{model.SectionTeam, `{"quota":-1,"weight":1}`, []string{"quota"}},
		{model.SectionMember, `{"address":"10.0.0.1:7400","dataCentre":"almaty-1","voter":true}`, nil},
		{model.SectionMember, `{"address":"host:1","dataCentre":""}`, []string{"address", "dataCentre"}},
		{model.SectionTeam, `[1]`, []string{""}},
		{"other", `{}`, []string{"section"}},
	} {
		err := state.Check(model.ItemKey{Section: k.section, Name: "n"}, []byte(k.value))
		var paths []string
		if err != nil {
			for _, f := range err.(state.Invalid).Fields {
				paths = append(paths, f.Path)
			}
		}
		assert.DeepEqual(t, paths, k.wrong)
	}
	assert.Assert(t, state.Check(rule("a b"), weight(1)) != nil)
}

// randomChange returns a random change that may or may not be accepted.
func randomChange(r *rand.Rand, c *state.Config, i int) model.Change {
	key := rule(fmt.Sprint("r", r.IntN(40)))
	ch := model.Change{ID: fmt.Sprint("c", i-r.IntN(2)), Operator: "ann", Key: key, Expected: c.Item(key).Count, Value: weight(r.IntN(9))}
	if r.IntN(5) == 0 {
		ch.Value = nil
	}
	return ch
}

func TestRestartAfter700Changes(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 3))
	c, replay := state.NewConfig(), state.NewConfig()
	var follower model.Config
	restored := state.NewConfig()
	for i := range 3000 {
		now := time.Duration(i) * time.Minute
		ch := randomChange(r, c, i)
		a, b := apply(t, c, now, ch), apply(t, replay, now, ch)
		assert.DeepEqual(t, a, b)
		if i >= 700 {
			assert.DeepEqual(t, apply(t, restored, now, ch), a)
		}
		if i%7 == 0 {
			follower, _ = follower.Apply(c.Since(follower.Version()))
		}
		if i == 699 {
			assert.NilError(t, restored.Restore(c.Snapshot()))
		}
	}
	assert.DeepEqual(t, restored.Snapshot(), c.Snapshot())
	assert.DeepEqual(t, replay.Snapshot(), c.Snapshot())
	follower, _ = follower.Apply(c.Since(follower.Version()))
	for i := range 40 {
		k := rule(fmt.Sprint("r", i))
		assert.DeepEqual(t, follower.Item(k), c.Item(k))
	}
	assert.Equal(t, len(c.History(5)), 5)
	assert.Equal(t, c.History(1)[0].Item.Version, c.Version())
}

func TestAtMostOneChangePerCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := state.NewConfig()
		type count struct {
			key      model.ItemKey
			expected uint64
		}
		accepted := map[count]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "n") {
			ch := model.Change{
				ID: rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(t, "id"), Operator: "o",
				Key:      rule(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "key")),
				Expected: rapid.Uint64Range(0, 4).Draw(t, "expected"), Value: weight(rapid.IntRange(0, 2).Draw(t, "weight")),
			}
			before := c.Version()
			b, err := state.ConfigCommands.Encode(state.Change{Change: ch})
			assert.NilError(t, err)
			_ = c.Apply(0, time.Duration(rapid.IntRange(0, 5).Draw(t, "hour"))*time.Hour, b)
			assert.Assert(t, c.Version() == before || c.Version() == before+1)
			if c.Version() > before {
				assert.Assert(t, !accepted[count{ch.Key, ch.Expected}], "two changes with the same expected count were accepted")
				accepted[count{ch.Key, ch.Expected}] = true
			}
		}
	})
}

func FuzzConfig(f *testing.F) {
	c := state.NewConfig()
	apply(f, c, 0, model.Change{ID: "1", Operator: "ann", Key: rule("r"), Value: weight(1)})
	b, _ := state.ConfigCommands.Encode(state.Change{Change: model.Change{ID: "2", Operator: "ann", Key: rule("r"), Value: weight(2)}})
	f.Add(b, c.Snapshot(), []byte(`{"weight":1}`))
	f.Fuzz(func(t *testing.T, command, snapshot, value []byte) {
		c := state.NewConfig()
		_ = c.Restore(snapshot)
		_, err := state.ConfigAnswers.Decode(c.Apply(1, time.Hour, command))
		assert.NilError(t, err)
		apply(t, c, 0, model.Change{ID: "x", Operator: "ann", Key: rule("r"), Expected: c.Item(rule("r")).Count, Value: value})
		_, err = state.ConfigAnswers.Decode(c.Query(command))
		assert.NilError(t, err)
		assert.NilError(t, state.NewConfig().Restore(c.Snapshot()))
	})
}

func BenchmarkChange(b *testing.B) {
	c := state.NewConfig()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	const items = 20_000
	for i := range items {
		apply(b, c, 0, model.Change{ID: fmt.Sprint("i", i), Operator: "ann", Key: rule(fmt.Sprint("r", i)), Value: weight(1)})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	now := state.ChangeRetention
	commands := make([][]byte, b.N)
	for i := range b.N {
		ch := model.Change{ID: fmt.Sprint("c", i), Operator: "ann", Key: rule(fmt.Sprint("r", i%items)), Expected: uint64(1 + i/items), Value: weight(2)}
		commands[i], _ = state.ConfigCommands.Encode(state.Change{Change: ch})
	}
	b.ResetTimer()
	for i := range b.N {
		now += time.Second
		c.Apply(0, now, commands[i])
		_ = c.Since(c.Version() - 1)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/items, "B/item")
}
