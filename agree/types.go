// Package agree is a replicated log in the manner of Raft: a deterministic core
// without I/O. A Node is one replica of one group.
package agree

import (
	"math/rand/v2"
	"time"

	"cyclamenrelay.example/rlog"
)

// Config configures a Node. Zero limits take their defaults.
type Config struct {
	ID     rlog.ID
	Stored rlog.Stored
	Rand   *rand.Rand
	// Heartbeat is the time between heartbeats, Election the minimum election timeout.
	Heartbeat, Election time.Duration
	// Resend is the time after which an unanswered append or chunk is sent again.
	Resend time.Duration
	// MaxBytes bounds the entries or the chunk of one message, in bytes.
	MaxBytes int
	// MaxInflight bounds the unanswered appends to one follower.
	MaxInflight int
	// MaxUncommitted bounds the uncommitted proposals at the leader, in bytes.
	MaxUncommitted int
	// MaxSnapshot bounds a received snapshot, in bytes.
	MaxSnapshot uint64
	// SnapshotEntries and SnapshotBytes are how much is applied between snapshots.
	SnapshotEntries uint64
	SnapshotBytes   int
	// KeepEntries is how many entries stay in memory behind a snapshot, for slow followers.
	KeepEntries uint64
}

func orDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

func (c Config) withDefaults() Config {
	orDefault(&c.Heartbeat, 50*time.Millisecond)
	orDefault(&c.Election, 10*c.Heartbeat)
	orDefault(&c.Resend, 4*c.Heartbeat)
	orDefault(&c.MaxBytes, 256<<10)
	orDefault(&c.MaxInflight, 64)
	orDefault(&c.MaxUncommitted, 16<<20)
	orDefault(&c.MaxSnapshot, 1<<30)
	orDefault(&c.SnapshotEntries, 16<<10)
	orDefault(&c.SnapshotBytes, 16<<20)
	orDefault(&c.KeepEntries, 1<<10)
	return c
}
