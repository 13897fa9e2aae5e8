// Package spread carries the configuration from keepers to entries and agents,
// with proofs of how fresh it is.
package spread

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"cyclamenrelay.example/model"
	"cyclamenrelay.example/wire"
)

// View is a process's copy of the configuration. Its version never goes back.
type View struct {
	clock clockwork.Clock
	lease time.Duration
	start time.Time

	mu      sync.Mutex
	stale   bool
	cfg     model.Config
	proven  time.Time
	changed chan struct{}
}

// NewView returns an empty view. A view older than the lease is not usable,
// nor one that no quorum has confirmed since the process started: else a
// restarted process could act on a version older than one it had acted on.
func NewView(clock clockwork.Clock, lease time.Duration) *View {
	return &View{clock: clock, lease: lease, start: clock.Now(), changed: make(chan struct{})}
}

// ServeStale lets the view stay usable after its lease, once a quorum has
// confirmed it. New work may then be decided by a superseded configuration.
func (v *View) ServeStale() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.stale = true
}

// Apply takes an update that answers a message sent at the given time.
func (v *View) Apply(u wire.ConfigUpdate, sent time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if next, ok := v.cfg.With(u.Delta); ok {
		v.cfg = next
		close(v.changed)
		v.changed = make(chan struct{})
	}
	v.prove(u.Fresh, sent)
}

func (v *View) prove(f model.Fresh, sent time.Time) {
	asOf := sent.Add(-f.Age)
	if f.Version > v.cfg.Version() || f.Age < 0 || !asOf.After(v.proven) {
		return
	}
	v.proven = asOf
}

// Config returns the newest configuration seen.
func (v *View) Config() model.Config {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.cfg
}

// Changed returns a channel that is closed at the next change.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// Usable reports whether new work may be decided by the configuration.
func (v *View) Usable() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.proven.Before(v.start) && (v.stale || v.clock.Since(v.proven) <= v.lease)
}

// Provisional reports whether there is a configuration that no quorum has
// confirmed since the process started. Nothing was decided by a newer one here.
func (v *View) Provisional() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.proven.Before(v.start) && v.cfg.Version() > 0
}

// Fresh reports whether a quorum has confirmed the view within its lease.
func (v *View) Fresh() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.clock.Since(v.proven) <= v.lease
}

// Update returns what a peer at the given version lacks, and the freshness.
func (v *View) Update(version uint64) wire.ConfigUpdate {
	v.mu.Lock()
	c, age := v.cfg, v.clock.Since(v.proven)
	v.mu.Unlock()
	u := wire.ConfigUpdate{Fresh: model.Fresh{Version: c.Version(), Age: age}}
	if c.Version() > version {
		u.Delta = c.Since(version)
	}
	return u
}
