// Package rules compiles a configuration into the rules of entries and agents:
// which share a task belongs to and which targets may take it.
package rules

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strconv"

	"cyclamenrelay.example/evac"
	"cyclamenrelay.example/label"
	"cyclamenrelay.example/model"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
)

// Default is the name of the rule for work without a kind that no configured rule
// selects. Such work with a kind gets one of the rules Default-0 to Default-1023
// by the hash of its kind, so that kinds share the slots before any rule is
// configured.
const Default = "default"

// maxDefaultShares bounds the shares that callers can create by naming kinds.
const maxDefaultShares = 1024

// Defaults of a rule's fields.
const (
	DefaultQueueBound  = 1000 // tasks at each entry
	DefaultRetryBudget = 0.1  // retries and hedges per start
)

// Rule is a compiled rule. The work that it selects is one share in the fair queueing.
type Rule struct {
	model.Rule
	Name    string
	work    label.Selector
	targets label.Selector
}

// AllowsTarget reports whether a target with the labels may take the rule's work.
func (r *Rule) AllowsTarget(l model.Labels) bool { return r.targets.Matches(l) }

// UrgencyOf returns the urgency of a task under the rule.
func (r *Rule) UrgencyOf(t *model.Task) int {
	u := t.Urgency
	if r.Urgency != nil {
		u = *r.Urgency
	}
	return min(max(u, 0), model.MaxUrgency)
}

// overlay is a compiled overlay.
type overlay struct {
	model.Overlay
	targets label.Selector
}

// Set is one compiled configuration. It is immutable.
type Set struct {
	version     uint64
	rules       []*Rule
	teams       map[string]model.Team
	overlays    []overlay
	drains      []label.Selector
	evacuations evac.Set
	defaultRule *Rule
}

// Compile compiles c. Invalid items are left out and reported as errors
// (trace.BadParameter), so that one invalid item does not disable the others.
func Compile(c model.Config) (*Set, []error) {
	s := &Set{version: c.Version(), teams: map[string]model.Team{}, evacuations: evac.FromConfig(c), defaultRule: withDefaults(&Rule{Name: Default})}
	var errs []error
	eachItem(c, model.SectionRule, &errs, func(name string, v model.Rule) error {
		r := withDefaults(&Rule{Rule: v, Name: name})
		var err error
		if r.work, err = label.Parse(v.Work); err != nil {
			return err
		}
		if r.targets, err = label.Parse(v.Targets); err != nil {
			return err
		}
		s.rules = append(s.rules, r)
		return nil
	})
	eachItem(c, model.SectionTeam, &errs, func(name string, v model.Team) error {
		v.Weight = max(v.Weight, 1)
		s.teams[name] = v
		return nil
	})
	eachItem(c, model.SectionOverlay, &errs, func(_ string, v model.Overlay) error {
		sel, err := label.Parse(v.Targets)
		if err == nil {
			s.overlays = append(s.overlays, overlay{Overlay: v, targets: sel})
		}
		return err
	})
	eachItem(c, model.SectionDrain, &errs, func(_ string, v model.Drain) error {
		sel, err := label.Parse(v.Targets)
		if err == nil {
			s.drains = append(s.drains, sel)
		}
		return err
	})
	slices.SortStableFunc(s.rules, func(a, b *Rule) int { return cmp.Compare(a.Order, b.Order) })
	return s, errs
}

// eachItem decodes the items of a section and passes them to add, in the order of
// their names. Items that cannot be decoded or added are reported in errs.
func eachItem[T any](c model.Config, sec model.Section, errs *[]error, add func(string, T) error) {
	items := c.Items(sec)
	slices.SortFunc(items, func(a, b model.Item) int { return cmp.Compare(a.Key.Name, b.Key.Name) })
	for _, i := range items {
		var v T
		err := json.Unmarshal(i.Value, &v)
		if err == nil {
			err = add(i.Key.Name, v)
		}
		if err != nil {
			*errs = append(*errs, trace.BadParameter("%s %q: %v", sec, i.Key.Name, err))
		}
	}
}

// withDefaults sets the defaults of fields that are not set and returns r.
func withDefaults(r *Rule) *Rule {
	r.Weight = max(r.Weight, 1)
	if r.QueueBound <= 0 {
		r.QueueBound = DefaultQueueBound
	}
	if r.RetryBudget <= 0 {
		r.RetryBudget = DefaultRetryBudget
	}
	return r
}

// Version returns the configuration's version.
func (s *Set) Version() uint64 { return s.version }

// Classify returns the first rule that selects work with the labels, else a default rule.
func (s *Set) Classify(l model.Labels) *Rule {
	for _, r := range s.rules {
		if r.work.Matches(l) {
			return r
		}
	}
	kind := l[model.LabelKind]
	if kind == "" {
		return s.defaultRule
	}
	return withDefaults(&Rule{Name: Default + "-" + strconv.FormatUint(xxhash.Sum64String(kind)%maxDefaultShares, 10)})
}

// Rule returns the rule with the name, or one of weight 1 when there is none.
func (s *Set) Rule(name string) *Rule {
	for _, r := range s.rules {
		if r.Name == name {
			return r
		}
	}
	return withDefaults(&Rule{Name: name})
}

// Team returns the quota and weight of a team; an unknown team has weight 1 and no quota.
func (s *Set) Team(name string) model.Team {
	t, ok := s.teams[name]
	if !ok {
		return model.Team{Weight: 1}
	}
	return t
}

// IsEvacuated reports whether the data centre is evacuated.
func (s *Set) IsEvacuated(dataCentre string) bool { return s.evacuations.Has(dataCentre) }

// ApplyOverlays returns t with the overlays applied, and whether it is drained, by itself
// or with its data centre.
func (s *Set) ApplyOverlays(t model.Target) (model.Target, bool) {
	l := maps.Clone(t.Labels)
	if l == nil {
		l = model.Labels{}
	}
	for _, o := range s.overlays {
		if !o.targets.Matches(l) {
			continue
		}
		maps.Copy(l, o.Set)
		for _, name := range o.Remove {
			delete(l, name)
		}
	}
	drained := slices.ContainsFunc(s.drains, func(d label.Selector) bool { return d.Matches(l) })
	return t.WithLabels(l), drained || s.IsEvacuated(t.DataCentre)
}
