package route

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"cyclamenrelay.example/label"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/wire"
)

const agentLease = 2 * time.Second

// agents holds the newest announcement of each agent within its lease.
type agents struct {
	clock clockwork.Clock
	mu    sync.Mutex
	rows  map[string]agentRow
}

type agentRow struct {
	said  wire.Announce
	heard time.Time
}

func newAgents(clock clockwork.Clock) *agents {
	return &agents{clock: clock, rows: map[string]agentRow{}}
}

func (a *agents) heard(m wire.Announce) {
	a.mu.Lock()
	defer a.mu.Unlock()
	old, ok := a.rows[m.Self.Name]
	if ok && older(m, old.said) {
		return
	}
	a.rows[m.Self.Name] = agentRow{said: m, heard: a.clock.Now()}
}

func older(m, than wire.Announce) bool {
	if m.Self.Incarnation != than.Self.Incarnation {
		return m.Self.Incarnation < than.Self.Incarnation
	}
	return m.Seq < than.Seq
}

func (a *agents) live() []wire.Announce {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]wire.Announce, 0, len(a.rows))
	for name, r := range a.rows {
		if a.clock.Since(r.heard) > agentLease {
			delete(a.rows, name)
			continue
		}
		out = append(out, r.said)
	}
	return out
}

// classify returns the targets that the first matching rule allows, all when
// no rule matches.
func classify(c model.Config, t model.Task) label.Selector {
	var best *model.Rule
	var name string
	for _, i := range c.Items(model.SectionRule) {
		var r model.Rule
		if json.Unmarshal(i.Value, &r) != nil {
			continue
		}
		work, err := label.Parse(r.Work)
		if err != nil || !work.Matches(t.Labels) {
			continue
		}
		if best == nil || r.Order < best.Order || (r.Order == best.Order && i.Key.Name < name) {
			best, name = &r, i.Key.Name
		}
	}
	if best == nil {
		return label.Selector{}
	}
	s, _ := label.Parse(best.Targets)
	return s
}
