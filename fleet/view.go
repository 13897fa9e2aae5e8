package fleet

import (
	"time"

	"cyclamenrelay.example/model"
)

// Health tells operators whether a target is in use, and why it is not.
type Health int

// The states of a target.
const (
	Usable    Health = iota
	Probation        // too many failures: it gets single trials only
	Leaving          // its agent takes no new work
	Silent           // no announcement for longer than Settings.HeartbeatTimeout
)

// View is the state of a target for operators.
type View struct {
	// Agent is the name of the target's agent.
	Agent string
	// Target is as announced, without the overlays.
	Target model.Target
	Health Health
	Free   int
}

// Views returns the targets in the order of their arrival.
func (f *Fleet) Views(now time.Time) []View {
	out := make([]View, 0, len(f.targetList))
	for _, t := range f.targetList {
		out = append(out, View{Agent: t.Name, Target: t.announced, Health: t.state(now, f.settings.HeartbeatTimeout), Free: max(t.Free, 0)})
	}
	return out
}

func (t *Target) state(now time.Time, silence time.Duration) Health {
	switch {
	case now.Sub(t.lastHeard) > silence:
		return Silent
	case t.leaving:
		return Leaving
	case t.health.probation:
		return Probation
	}
	return Usable
}
