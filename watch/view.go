// Package watch distributes the configuration from keepers to entries and on to
// agents, together with the time as of which a quorum confirmed it as the newest.
package watch

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"cyclamenrelay.example/model"
	"cyclamenrelay.example/wire"
)

// View is a process's copy of the configuration. Its version never decreases.
type View struct {
	clock clockwork.Clock
	lease time.Duration
	start time.Time

	mu          sync.Mutex
	serveStale  bool
	cfg         model.Config
	confirmedAt time.Time // when cfg was last known to be the newest
	updatedAt   time.Time // when cfg was received
	changed     chan struct{}
	polls       pollRecord
}

// pollRecord tells from where a view has its configuration, and why it may be old.
type pollRecord struct {
	keeper string // answered last
	failed int    // polls without a good answer since then
	reason string // of the last one that failed
}

// NewView returns an empty view. A view is usable for the lease after a quorum
// has confirmed it, and only if that was since the process started: otherwise a
// restarted process could act on an older version than before its restart.
func NewView(clock clockwork.Clock, lease time.Duration) *View {
	return &View{clock: clock, lease: lease, start: clock.Now(), changed: make(chan struct{})}
}

// ServeStale keeps the view usable after its lease, once a quorum has confirmed
// it. New work may then be decided by a superseded configuration.
func (v *View) ServeStale() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.serveStale = true
}

// Apply applies an update that answers a request sent at the given time. The age
// of the confirmation counts from then, since the update may have been made at
// any time after it.
func (v *View) Apply(u wire.ConfigUpdate, sent time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if next, ok := v.cfg.Apply(u.Delta); ok {
		v.cfg, v.updatedAt = next, v.clock.Now()
		close(v.changed)
		v.changed = make(chan struct{})
	}
	v.confirm(u.Fresh, sent)
}

func (v *View) confirm(f model.Freshness, sent time.Time) {
	asOf := sent.Add(-f.Age)
	if f.Version > v.cfg.Version() || f.Age < 0 || !asOf.After(v.confirmedAt) {
		return
	}
	v.confirmedAt = asOf
}

// Config returns the newest configuration received.
func (v *View) Config() model.Config {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.cfg
}

// Confirmed returns the newest configuration received, and the time since a quorum has
// confirmed it as the newest, negative when none has.
func (v *View) Confirmed() (c model.Config, age time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.confirmedAt.IsZero() {
		return v.cfg, -1
	}
	return v.cfg, v.clock.Since(v.confirmedAt)
}

// Status is what a decision by the configuration was based on.
type Status struct {
	Version uint64
	// UpdatedAt is when the process received the version.
	UpdatedAt time.Time
	// Age is the time since a quorum has confirmed the version as the newest, negative when
	// none has since the process started.
	Age time.Duration
	// Keeper is the address of the keeper that gave the last good answer.
	Keeper string
	// FailedPolls counts the polls since then that ended without one, and Reason says why the
	// last one did.
	FailedPolls int
	Reason      string
}

// Status returns the state of the view, for log lines.
func (v *View) Status() Status {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := Status{
		Version: v.cfg.Version(), UpdatedAt: v.updatedAt, Age: -1,
		Keeper: v.polls.keeper, FailedPolls: v.polls.failed, Reason: v.polls.reason,
	}
	if !v.confirmedAt.Before(v.start) {
		s.Age = v.clock.Since(v.confirmedAt)
	}
	return s
}

// pollEnded records a poll of the keeper; reason is empty if its answer was good.
func (v *View) pollEnded(keeper, reason string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if reason == "" {
		v.polls = pollRecord{keeper: keeper}
		return
	}
	v.polls.failed++
	v.polls.reason = reason
}

// Changed returns a channel that is closed at the next change of configuration.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// Usable reports whether new work may be decided by the configuration.
func (v *View) Usable() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.confirmedAt.Before(v.start) && (v.serveStale || v.clock.Since(v.confirmedAt) <= v.lease)
}

// Provisional reports whether there is a configuration, but no quorum has
// confirmed any since the process started. This process has not acted on a newer
// one then.
func (v *View) Provisional() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.confirmedAt.Before(v.start) && v.cfg.Version() > 0
}

// Fresh reports whether a quorum has confirmed the view within the last lease.
func (v *View) Fresh() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.clock.Since(v.confirmedAt) <= v.lease
}

// UpdateSince returns the changes since the given version, for a peer, and the age of
// the last confirmation.
func (v *View) UpdateSince(version uint64) wire.ConfigUpdate {
	v.mu.Lock()
	c, age := v.cfg, v.clock.Since(v.confirmedAt)
	v.mu.Unlock()
	u := wire.ConfigUpdate{Fresh: model.Freshness{Version: c.Version(), Age: age}}
	if c.Version() > version {
		u.Delta = c.DeltaSince(version)
	}
	return u
}
