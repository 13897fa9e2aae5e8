// Package agree implements the Raft consensus protocol as a deterministic state
// machine without I/O: Node.Step takes messages, ticks and requests, and returns
// the writes, messages and committed entries for its caller to handle. A Node is
// one replica of one Raft group. Elections use pre-vote and check-quorum.
package agree

import (
	"math/rand/v2"
	"time"

	"cyclamenrelay.example/rlog"
)

// Config configures a Node. Durations and limits that are zero take their defaults.
type Config struct {
	ID     rlog.ID
	Stored rlog.Stored
	Rand   *rand.Rand
	// Heartbeat is the interval between heartbeats. Election is the minimum
	// election timeout; each timeout is drawn at random from 1 to 2 times it.
	Heartbeat, Election time.Duration
	// Resend is the time after which an unanswered append or snapshot chunk is sent again.
	Resend time.Duration
	// MaxBytes bounds the entries of one append and the data of one snapshot
	// chunk, in bytes.
	MaxBytes int
	// MaxInflight bounds the unanswered appends to one follower.
	MaxInflight int
	// MaxUncommitted is the size in bytes of the leader's uncommitted entries
	// above which it drops new proposals.
	MaxUncommitted int
	// MaxSnapshot bounds a snapshot received from a leader, in bytes.
	MaxSnapshot uint64
	// A snapshot is requested when SnapshotEntries entries, or SnapshotBytes
	// bytes of entry data, were applied since the last one.
	SnapshotEntries uint64
	SnapshotBytes   int
	// KeepEntries is the number of entries kept in memory before the index of the
	// newest snapshot, so that slow followers need no snapshot.
	KeepEntries uint64
}

// orDefault sets *v to def if it is zero.
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
