package jobs

import (
	"cmp"
	"slices"

	"cyclamenrelay.example/wire"
)

// List returns at most n jobs in a state, or in any if it is empty, that this
// entry owns or has ended recently, the newest first.
func (m *Manager) List(state string, n int) []wire.JobState {
	m.mu.Lock()
	var all []*job
	for _, j := range m.jobs {
		if j.isOwned() {
			all = append(all, j)
		}
	}
	m.mu.Unlock()
	var out []wire.JobState
	for _, j := range all {
		if s := m.jobState(j, false); state == "" || s.State == state {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b wire.JobState) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Key, b.Key)) })
	return out[:min(n, len(out))]
}
