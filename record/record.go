// Package record is an entry's access to the records of jobs and claims in the
// ledger, and to the liveness of their owners.
package record

import (
	"context"
	"crypto/sha256"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/ledger"
	"cyclamenrelay.example/member"
	"cyclamenrelay.example/spans"
	"cyclamenrelay.example/wire"
)

const (
	// OpenTimeout bounds the wait for a job or claim to be recorded or taken over,
	// without which its work must not start.
	OpenTimeout = 10 * time.Second
	// EndTimeout bounds one attempt to record the end of a job or claim.
	EndTimeout = time.Minute
	// MaxPause is the longest pause between two calls to the ledger.
	MaxPause = time.Second
)

// Ledger sends commands and queries to the ledger groups. leader.Client
// implements it.
type Ledger interface {
	GroupOf(key string) uint32
	Propose(ctx context.Context, group uint32, command []byte) ([]byte, error)
	Query(ctx context.Context, group uint32, query []byte) ([]byte, error)
}

// Store is an entry's access to the ledger.
type Store struct {
	Ledger Ledger
	Finder *member.Finder
	Clock  clockwork.Clock
	Log    *zap.Logger
}

// Owner identifies this process as the owner of records.
func (s Store) Owner() ledger.Owner {
	self := s.Finder.Self()
	return ledger.Owner{Entry: self.Name, Incarnation: self.Incarnation}
}

// LiveOwner returns the live entry that is the owner. The finder may still list an
// entry that has just restarted with its earlier incarnation.
func (s Store) LiveOwner(o ledger.Owner) (wire.Node, bool) {
	for _, n := range s.Finder.Nodes(keys.Entry) {
		if n.Name == o.Entry && n.Incarnation <= o.Incarnation {
			return n, true
		}
	}
	return wire.Node{}, false
}

// OwnerAlive reports whether the owner is this process or a live entry.
func (s Store) OwnerAlive(o ledger.Owner) bool {
	_, ok := s.LiveOwner(o)
	return ok || o == s.Owner()
}

// Propose applies the command at the ledger group of the key and returns the
// result. The errors are those of the Ledger.
func (s Store) Propose(ctx context.Context, key string, c ledger.Command) (ledger.Result, error) {
	ctx, span := spans.Start(ctx, "ledger")
	defer span.End()
	encoded, err := ledger.Commands.Encode(c)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	answer, err := s.Ledger.Propose(ctx, s.Ledger.GroupOf(key), encoded)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return ledger.Results.Decode(answer)
}

// Query returns the answer of the ledger group of the key. The errors are those
// of the Ledger.
func (s Store) Query(ctx context.Context, key string, q ledger.Query) (ledger.Result, error) {
	encoded, err := ledger.Queries.Encode(q)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	answer, err := s.Ledger.Query(ctx, s.Ledger.GroupOf(key), encoded)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return ledger.Results.Decode(answer)
}

// UnexpectedReason describes a result that is not of the type that the command expects.
func UnexpectedReason(r ledger.Result) string {
	if i, ok := r.(ledger.Invalid); ok {
		return i.Reason
	}
	return "unexpected answer from the ledger"
}

// Digest returns the SHA-256 digest of the value: equal values have equal digests.
func Digest(v any) []byte {
	b, err := wire.MarshalValue(v)
	if err != nil {
		panic("record: cannot encode the value to digest: " + err.Error())
	}
	d := sha256.Sum256(b)
	return d[:]
}
