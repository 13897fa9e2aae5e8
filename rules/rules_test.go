package rules_test

import (
	"encoding/json"
	"strconv"
	"testing"

	"cyclamenrelay.example/model"
	"cyclamenrelay.example/rules"

	"gotest.tools/v3/assert"
)

func TestCompile(t *testing.T) {
	d := model.Delta{To: 1}
	add := func(s model.Section, name string, v any) {
		b, err := json.Marshal(v)
		assert.NilError(t, err)
		d.Items = append(d.Items, model.Item{Key: model.ItemKey{Section: s, Name: name}, Version: 1, Value: b})
	}
	urgency := 7
	add(model.SectionRule, "all", model.Rule{Order: 2, Weight: 5})
	add(model.SectionRule, "b", model.Rule{Work: "kind=tag", Order: 1, Urgency: &urgency})
	add(model.SectionRule, "a", model.Rule{Work: "kind=tag,team=red", Order: 1})
	add(model.SectionRule, "broken", model.Rule{Work: "kind in"})
	add(model.SectionOverlay, "o", model.Overlay{Targets: "rack=1", Set: map[string]string{"zone": "x"}, Remove: []string{"fast"}})
	add(model.SectionDrain, "d", model.Drain{Targets: "zone=x"})
	cfg, _ := model.Config{}.Apply(d)
	s, errs := rules.Compile(cfg)
	assert.Equal(t, len(errs), 1)
	assert.Equal(t, s.Classify(model.Labels{"kind": "tag", "team": "red"}).Name, "a")
	b := s.Classify(model.Labels{"kind": "tag"})
	assert.Equal(t, b.Name, "b")
	assert.Equal(t, b.UrgencyOf(&model.Task{Urgency: 1}), 7)
	assert.Equal(t, b.Weight, 1)
	assert.Equal(t, s.Classify(nil).Name, "all")
	effective, drained := s.ApplyOverlays(model.Target{Labels: model.Labels{"rack": "1", "fast": "yes"}})
	assert.DeepEqual(t, effective.Labels, model.Labels{"rack": "1", "zone": "x"})
	assert.Assert(t, drained)
	empty, _ := rules.Compile(model.Config{})
	assert.Equal(t, empty.Classify(nil).Name, rules.Default)
	// Kinds without a configured rule are spread over a bounded number of shares.
	match, tag := empty.Classify(model.Labels{"kind": "match"}), empty.Classify(model.Labels{"kind": "tagLookup"})
	assert.Assert(t, match.Name != tag.Name)
	assert.Equal(t, empty.Classify(model.Labels{"kind": "match", "team": "red"}).Name, match.Name)
	assert.Equal(t, empty.Rule(match.Name).Weight, match.Weight)
	names := map[string]bool{}
	for i := range 100_000 {
		names[empty.Classify(model.Labels{"kind": strconv.Itoa(i)}).Name] = true
	}
	assert.Equal(t, len(names), 1024)
}

// Guards against targets of an evacuated data centre that take new work.
func TestEvacuationDrainsTargets(t *testing.T) {
	i := model.Item{Key: model.ItemKey{Section: model.SectionEvacuation, Name: "dc1"}, Version: 1, Value: []byte("{}")}
	cfg, _ := model.Config{}.Apply(model.Delta{To: 1, Items: []model.Item{i}})
	s, errs := rules.Compile(cfg)
	assert.Equal(t, len(errs), 0)
	for dataCentre, want := range map[string]bool{"dc1": true, "dc2": false, "": false} {
		_, drained := s.ApplyOverlays(model.Target{DataCentre: dataCentre})
		assert.Equal(t, drained, want, dataCentre)
	}
}
