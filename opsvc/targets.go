package opsvc

import (
	"cmp"
	"slices"
	"time"

	"k8s.io/apimachinery/pkg/labels"

	"cyclamenrelay.example/admin"
	"cyclamenrelay.example/conf"
	"cyclamenrelay.example/fleet"
	"cyclamenrelay.example/label"
	"cyclamenrelay.example/place"
	"cyclamenrelay.example/rules"
)

// Targets implements admin.Backend. Labels and states are those in effect after
// the configuration's overlays and drains.
func (s *Service) Targets() []admin.TargetStatus {
	versions := map[string]uint64{}
	for _, a := range s.router.Agents() {
		versions[a.Self.Name] = a.Version
	}
	var views []fleet.View
	s.router.WithCore(func(c *place.Core) { views = c.Targets() })
	set, _ := rules.Compile(s.Config())
	out := make([]admin.TargetStatus, 0, len(views))
	for _, v := range views {
		t, drained := set.ApplyOverlays(v.Target)
		state, reason := stateOf(v.Health, drained)
		out = append(out, admin.TargetStatus{
			Name: t.Name, DataCentre: t.DataCentre, Labels: t.Labels, State: state, Reason: reason,
			Slots: t.Slots, Free: min(v.Free, t.Slots), Agent: v.Agent, Version: versions[v.Agent],
		})
	}
	return out
}

func stateOf(h fleet.Health, drained bool) (state, reason string) {
	switch {
	case h == fleet.Silent:
		return admin.TargetLost, "nothing heard from its agent"
	case h == fleet.Leaving:
		return admin.TargetDraining, "its agent takes no new work"
	case drained:
		return admin.TargetDraining, "selected by a drain"
	case h == fleet.Probation:
		return admin.TargetProbation, "much of its work failed"
	}
	return admin.TargetUp, ""
}

// queuedKey identifies a group of queued work with the same labels, selector and urgency.
type queuedKey struct {
	labels, selector string
	urgency          int
}

// Queued implements admin.Backend, the oldest work first.
func (s *Service) Queued(work label.Selector) []admin.QueuedWork {
	groups := map[queuedKey]*admin.QueuedWork{}
	for _, w := range s.queuedTasks() {
		if !work.Matches(w.Labels) {
			continue
		}
		key := queuedKey{labels.FormatLabels(labels.Set(w.Labels)), w.Selector, w.Urgency}
		g := groups[key]
		if g == nil {
			g = &admin.QueuedWork{Labels: w.Labels, Selector: w.Selector, Urgency: w.Urgency}
			groups[key] = g
		}
		g.Tasks++
		g.Oldest = max(g.Oldest, conf.Duration(w.Waited.Round(time.Millisecond)))
	}
	var out []admin.QueuedWork
	for _, g := range groups {
		out = append(out, *g)
	}
	slices.SortFunc(out, func(a, b admin.QueuedWork) int { return cmp.Compare(b.Oldest, a.Oldest) })
	return out
}

func (s *Service) queuedTasks() (out []place.QueuedTask) {
	s.router.WithCore(func(c *place.Core) { out = c.QueuedTasks() })
	return out
}
