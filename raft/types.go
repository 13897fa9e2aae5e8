// Package raft implements the Raft consensus protocol as a deterministic state
// machine without I/O: Node.Step takes messages, ticks and requests, and returns
// the writes, messages and committed entries for its caller to handle. A Node is
// one replica of one Raft group. Elections use pre-vote and check-quorum.
package raft

import (
	"math/rand/v2"
	"time"

	"cyclamenrelay.example/rlog"
)

// Config configures a Node. Durations and limits that are zero take their defaults.
type Config struct {
	ID     rlog.ID
	Stored rlog.StoredState
	Rand   *rand.Rand
	// HeartbeatInterval is the interval between heartbeats. ElectionTimeout is the
	// minimum election timeout; each timeout is drawn at random from 1 to 2 times
	// it.
	HeartbeatInterval, ElectionTimeout time.Duration
	// ResendAfter is the time after which an unanswered append or snapshot chunk is
	// sent again.
	ResendAfter time.Duration
	// MaxMessageBytes bounds the entries of one append and the data of one snapshot
	// chunk, in bytes.
	MaxMessageBytes int
	// MaxInflight bounds the unanswered appends to one follower.
	MaxInflight int
	// MaxUncommittedBytes is the size in bytes of the leader's uncommitted entries
	// above which it drops new proposals.
	MaxUncommittedBytes int
	// MaxSnapshotBytes bounds a snapshot received from a leader, in bytes.
	MaxSnapshotBytes uint64
	// A snapshot is requested when SnapshotEntries entries, or SnapshotBytes
	// bytes of entry data, were applied since the last one.
	SnapshotEntries uint64
	SnapshotBytes   int
	// KeepEntries is the number of entries kept in memory before the index of the
	// newest snapshot, so that slow followers need no snapshot.
	KeepEntries uint64
}

// setDefault sets *v to def if it is zero.
func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

func (c Config) withDefaults() Config {
	setDefault(&c.HeartbeatInterval, 50*time.Millisecond)
	setDefault(&c.ElectionTimeout, 10*c.HeartbeatInterval)
	setDefault(&c.ResendAfter, 4*c.HeartbeatInterval)
	setDefault(&c.MaxMessageBytes, 256<<10)
	setDefault(&c.MaxInflight, 64)
	setDefault(&c.MaxUncommittedBytes, 16<<20)
	setDefault(&c.MaxSnapshotBytes, 1<<30)
	setDefault(&c.SnapshotEntries, 16<<10)
	setDefault(&c.SnapshotBytes, 16<<20)
	setDefault(&c.KeepEntries, 1<<10)
	return c
}
