package spread

import (
	"encoding/json"
	"slices"
	"strings"

	"cyclamenrelay.example/label"
	"cyclamenrelay.example/model"
)

// Effective returns the target with the operators' overlays applied, in the
// order of their names.
func Effective(c model.Config, t model.Target) model.Target {
	items := c.Items(model.SectionOverlay)
	slices.SortFunc(items, func(a, b model.Item) int { return strings.Compare(a.Key.Name, b.Key.Name) })
	for _, i := range items {
		var o model.Overlay
		if json.Unmarshal(i.Value, &o) != nil || !selects(o.Targets, t.Labels) {
			continue
		}
		l := t.Labels
		for k, v := range o.Set {
			l = l.With(k, v)
		}
		for _, k := range o.Remove {
			l = l.Without(k)
		}
		t = t.WithLabels(l)
	}
	return t
}

// Drained reports whether a drain of the configuration selects the target.
func Drained(c model.Config, t model.Target) bool {
	l := Effective(c, t).Labels
	for _, i := range c.Items(model.SectionDrain) {
		var d model.Drain
		if json.Unmarshal(i.Value, &d) == nil && selects(d.Targets, l) {
			return true
		}
	}
	return false
}

func selects(text string, l model.Labels) bool {
	s, err := label.Parse(text)
	return err == nil && s.Matches(l)
}
