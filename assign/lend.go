package assign

import (
	"cmp"
	"slices"
	"time"

	"cyclamenrelay.example/batch"
	"cyclamenrelay.example/wire"
)

// Lend returns at most n targets that have free capacity for a task, the least used ones
// first, for another entry whose own targets cannot take it.
func (f *Fleet) Lend(t Task, n int, now time.Time) []wire.LentTarget {
	var free []*TargetView
	for _, v := range f.sortedTargets {
		if v.Address != "" && f.canTake(v, t, now) && v.totalUse().Plus(t.Need).Fits(v.Capacity) && v.health.score < unhealthyScore {
			free = append(free, v)
		}
	}
	slices.SortStableFunc(free, func(a, b *TargetView) int {
		return cmp.Compare(a.totalUse().Share(a.Capacity), b.totalUse().Share(b.Capacity))
	})
	var out []wire.LentTarget
	for _, v := range free[:min(n, len(free))] {
		r := v.LoadReport
		r.Used, r.ReceiverUsed = v.Used.Plus(v.assigned).Minus(v.ReceiverUsed), batch.Resources{}
		out = append(out, wire.LentTarget{Report: r, Address: v.Address, Age: now.Sub(v.updatedAt)})
	}
	return out
}

// Borrow adds a target that another entry has lent in answer to a question of askedAt,
// unless this entry has a recent report of its own or the target's data centre is evacuated:
// the other entry may not know of that yet. It reports whether the target was added.
func (f *Fleet) Borrow(l wire.LentTarget, askedAt, now time.Time) bool {
	if v := f.targets[l.Report.Agent]; v != nil && now.Sub(v.updatedAt) <= f.timing.MaxReportAge || l.Age < 0 || f.evacuations.Has(l.Report.DataCentre) {
		return false
	}
	f.HandleReport(l.Report, l.Address, askedAt.Add(-l.Age))
	return now.Sub(f.targets[l.Report.Agent].updatedAt) <= f.timing.MaxReportAge
}

// Address returns the link address of an agent, empty when it is not known.
func (f *Fleet) Address(agent string) string {
	if v := f.targets[agent]; v != nil {
		return v.Address
	}
	return ""
}

// DataCentreOf returns the data centre of an agent's target, empty when it is not known.
func (f *Fleet) DataCentreOf(agent string) string {
	if v := f.targets[agent]; v != nil {
		return v.DataCentre
	}
	return ""
}
