// Package state has the interface and the codec of the replicated state
// machines, and the state machine of the configuration. State machines are
// deterministic: they do no I/O and read no clock, so that equal commands in
// equal order give equal states and answers.
package state

import (
	"reflect"
	"time"

	"cyclamenrelay.example/wire"

	"github.com/gravitational/trace"
)

// Machine is a deterministic state machine behind a replicated log.
type Machine interface {
	// Apply executes the committed command at the log index and returns the
	// encoded answer. now is the leader's time as logged with the command,
	// since the Unix epoch; the machine ignores a step back. Bytes that cannot
	// be decoded get an answer that says so.
	Apply(index uint64, now time.Duration, command []byte) []byte
	// Query answers an encoded query without changing the state.
	Query(query []byte) []byte
	// Snapshot returns the encoded state; equal states give equal bytes.
	Snapshot() []byte
	// Restore replaces the state by that of a snapshot. The error is a
	// trace.BadParameter and leaves the state unchanged.
	Restore(snapshot []byte) error
}

// Codec encodes the types that implement a sealed interface, as a kind byte and
// the CBOR value.
type Codec[T any] struct {
	types []reflect.Type
	kinds map[reflect.Type]byte
}

// NewCodec returns a codec for the variants. Their order determines the kind
// bytes: new variants must be appended.
func NewCodec[T any](variants ...T) Codec[T] {
	c := Codec[T]{kinds: map[reflect.Type]byte{}}
	for i, v := range variants {
		t := reflect.TypeOf(v)
		c.types = append(c.types, t)
		c.kinds[t] = byte(i + 1)
	}
	return c
}

// Encode returns v as bytes. The error is a trace.BadParameter.
func (c Codec[T]) Encode(v T) ([]byte, error) {
	kind, ok := c.kinds[reflect.TypeOf(v)]
	if !ok {
		return nil, trace.BadParameter("%T is not a variant", v)
	}
	b, err := wire.MarshalValue(v)
	if err != nil {
		return nil, trace.BadParameter("%T: %v", v, err)
	}
	return append([]byte{kind}, b...), nil
}

// MustEncode encodes a value made by this process, and panics on an error.
func (c Codec[T]) MustEncode(v T) []byte {
	b, err := c.Encode(v)
	if err != nil {
		panic(err)
	}
	return b
}

// Decode returns the value in b. The error is a trace.BadParameter.
func (c Codec[T]) Decode(b []byte) (v T, err error) {
	if len(b) == 0 || b[0] == 0 || int(b[0]) > len(c.types) {
		return v, trace.BadParameter("%d bytes with an unknown kind", len(b))
	}
	p := reflect.New(c.types[b[0]-1])
	if err := wire.UnmarshalValue(b[1:], p.Interface()); err != nil {
		return v, trace.Wrap(err)
	}
	return p.Elem().Interface().(T), nil
}

// Invariant panics with the message unless ok is set. The state is corrupt then,
// and continuing would spread the corruption.
func Invariant(ok bool, message string) {
	if !ok {
		panic("invariant violated: " + message)
	}
}
