package jobs

import (
	"cmp"
	"slices"

	"cyclamenrelay.example/wire"
)

// List returns at most n jobs that this entry owns or has ended lately, the
// newest first; an empty state is any.
func (m *Manager) List(state string, n int) []wire.JobState {
	m.mu.Lock()
	var all []*job
	for _, j := range m.jobs {
		if j.isOpened() {
			all = append(all, j)
		}
	}
	m.mu.Unlock()
	var out []wire.JobState
	for _, j := range all {
		if s := m.state(j, false); state == "" || s.State == state {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b wire.JobState) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Key, b.Key)) })
	return out[:min(n, len(out))]
}
