package place_test

import (
	"encoding/json"
	"math"
	"slices"
	"time"

	"cyclamenrelay.example/model"
	"cyclamenrelay.example/rules"

	"gotest.tools/v3/assert"
)

// compile returns the rules of a configuration with the items.
func compile(t assert.TestingT, version uint64, items map[model.ItemKey]any) *rules.Set {
	d := model.Delta{To: version}
	for k, v := range items {
		b, err := json.Marshal(v)
		assert.NilError(t, err)
		d.Items = append(d.Items, model.Item{Key: k, Count: 1, Version: version, Value: b})
	}
	cfg, ok := model.Config{}.Apply(d)
	assert.Assert(t, ok)
	set, errs := rules.Compile(cfg)
	assert.Equal(t, len(errs), 0)
	return set
}

func ruleKey(name string) model.ItemKey { return model.ItemKey{Section: model.SectionRule, Name: name} }

// kindRules returns rules by which each kind has a share of its own, all of the same weight.
func kindRules(t assert.TestingT, kinds ...string) *rules.Set {
	items := map[model.ItemKey]any{}
	for _, k := range kinds {
		items[ruleKey(k)] = model.Rule{Work: "kind=" + k, Weight: 1}
	}
	return compile(t, 1, items)
}

// quantile returns the quantile q of v, NaN when v is empty.
func quantile(v []float64, q float64) float64 {
	if len(v) == 0 {
		return math.NaN()
	}
	v = slices.Sorted(slices.Values(v))
	return v[min(int(q*float64(len(v))), len(v)-1)]
}

// runTime draws a run time from 50 ms to 1 s, and with a probability of 3 % from
// 2 s to 5 s; the mean is simMean. With narrowRunTimes it draws from 100 ms to 200 ms.
func (s *sim) runTime() time.Duration {
	if s.narrowRunTimes {
		return time.Duration((100 + 100*s.rnd.Float64()) * float64(time.Millisecond))
	}
	if s.rnd.Float64() < 0.03 {
		return time.Duration((2 + 3*s.rnd.Float64()) * float64(time.Second))
	}
	return time.Duration(50 * math.Pow(20, s.rnd.Float64()) * float64(time.Millisecond))
}

var (
	simMean     = 0.97*0.95/math.Log(20) + 0.03*3.5 // seconds
	simCapacity = 11 * simSlots / simMean           // tasks a second
)
