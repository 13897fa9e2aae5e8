// Package record reads and writes an entry's records of jobs and claims in the
// ledger, and tells whether the entry that owns one is alive.
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
	// OpenLimit bounds the wait for a record that work must not start without.
	OpenLimit = 10 * time.Second
	// EndLimit bounds one offer of the end of work to the ledger.
	EndLimit = time.Minute
	// MaxPause is the longest pause before the ledger is asked again.
	MaxPause = time.Second
)

// Ledger carries commands and queries to the ledger groups; leader.Client is one.
type Ledger interface {
	GroupOf(key string) uint32
	Propose(ctx context.Context, group uint32, command []byte) ([]byte, error)
	Query(ctx context.Context, group uint32, query []byte) ([]byte, error)
}

// Book is an entry's access to the ledger.
type Book struct {
	Ledger Ledger
	Finder *member.Finder
	Clock  clockwork.Clock
	Log    *zap.Logger
}

// Owner returns this process as the owner of records.
func (b Book) Owner() ledger.Owner {
	self := b.Finder.Self()
	return ledger.Owner{Entry: self.Name, Incarnation: self.Incarnation}
}

// Find returns the live entry that is the owner. One that has just restarted may
// still be known here by its earlier incarnation.
func (b Book) Find(o ledger.Owner) (wire.Node, bool) {
	for _, n := range b.Finder.Nodes(keys.Entry) {
		if n.Name == o.Entry && n.Incarnation <= o.Incarnation {
			return n, true
		}
	}
	return wire.Node{}, false
}

// Alive reports whether the owner is this process or a live entry.
func (b Book) Alive(o ledger.Owner) bool {
	_, ok := b.Find(o)
	return ok || o == b.Owner()
}

// Propose has the ledger apply the command. The errors are those of the Ledger.
func (b Book) Propose(ctx context.Context, key string, c ledger.Command) (ledger.Result, error) {
	ctx, span := spans.Start(ctx, "ledger")
	defer span.End()
	m, err := ledger.Commands.Encode(c)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	a, err := b.Ledger.Propose(ctx, b.Ledger.GroupOf(key), m)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return ledger.Results.Decode(a)
}

// Query returns the ledger's answer. The errors are those of the Ledger.
func (b Book) Query(ctx context.Context, key string, q ledger.Query) (ledger.Result, error) {
	m, err := ledger.Queries.Encode(q)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	a, err := b.Ledger.Query(ctx, b.Ledger.GroupOf(key), m)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return ledger.Results.Decode(a)
}

// Reason says why a command has another answer than expected.
func Reason(r ledger.Result) string {
	if i, ok := r.(ledger.Invalid); ok {
		return i.Reason
	}
	return "unexpected answer of the ledger"
}

// Digest identifies a value: equal values have equal digests.
func Digest(v any) []byte {
	b, err := wire.MarshalValue(v)
	if err != nil {
		panic("record: " + err.Error())
	}
	d := sha256.Sum256(b)
	return d[:]
}
