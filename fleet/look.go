package fleet

import (
	"time"

	"cyclamenrelay.example/model"
)

// Health says how far a target is in use.
type Health int

// The healths of a target.
const (
	Usable    Health = iota
	Probation        // it gets single trials only
	Leaving          // its agent takes no new work
	Silent           // its agent has not been heard for Settings.Silence
)

// View is a target as operators see it.
type View struct {
	// Agent is the name of the node beside the target.
	Agent string
	// Target is as announced, without the overlays.
	Target model.Target
	Health Health
	Free   int
}

// Views returns the targets in the order of their arrival.
func (f *Fleet) Views(now time.Time) []View {
	out := make([]View, 0, len(f.list))
	for _, t := range f.list {
		out = append(out, View{Agent: t.Name, Target: t.info, Health: t.state(now, f.set.Silence), Free: max(t.Free, 0)})
	}
	return out
}

func (t *Target) state(now time.Time, silence time.Duration) Health {
	switch {
	case now.Sub(t.heard) > silence:
		return Silent
	case t.leaving:
		return Leaving
	case t.health.probation:
		return Probation
	}
	return Usable
}
