package link_test

import (
	"context"
	"io"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/quic-go/quic-go"
	"gotest.tools/v3/assert"

	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/wire"
)

// exchange writes b to a new stream and returns the answer. Write errors are
// ignored: the server may stop reading early and still answer.
func exchange(t *testing.T, c *quic.Conn, b []byte) wire.Message {
	s, err := c.OpenStreamSync(t.Context())
	assert.NilError(t, err)
	_, _ = s.Write(b)
	_ = s.Close()
	a, err := io.ReadAll(s)
	assert.NilError(t, err)
	m, err := wire.Decode(a)
	assert.NilError(t, err)
	return m
}

// A peer with a valid certificate that sends invalid messages gets refusals that
// say why, holds no resources of the server, and does not disturb other peers.
func TestInvalidMessagesFromAValidPeer(t *testing.T) {
	a := newTestCA(t)
	server := start(t, a.identity("k1", keys.Keeper), serveFindNodes)
	other := start(t, a.identity("e1", keys.Entry), nil)
	c, err := quic.DialAddr(t.Context(), server.Address(), a.identity("a1", keys.Agent).ClientConfig(), nil)
	assert.NilError(t, err)
	defer func() { _ = c.CloseWithError(0, "") }()
	find, err := wire.Encode(wire.FindNodes{})
	assert.NilError(t, err)
	for want, b := range map[string][]byte{
		"has 0 bytes":                         {},
		"code 0 is unknown":                   {0, 0, 0},
		"message FindNodes":                   append([]byte{find[0]}, "no CBOR"...),
		"unexpected EOF":                      find[:len(find)-1],
		"has no role that may send FindNodes": find,
		"no handler for Cancel":               encoded(t, wire.Cancel{ID: "x"}),
		"allowed are 1 to 2":                  make([]byte, wire.MaxMessage+2),
	} {
		m, ok := exchange(t, c, b).(wire.Refused)
		assert.Assert(t, ok, want)
		assert.Assert(t, strings.Contains(m.Reason, want), "%q, not %q", m.Reason, want)
	}
	rng := rand.New(rand.NewPCG(3, 4))
	for range 300 {
		b := make([]byte, rng.IntN(2000))
		for i := range b {
			b[i] = byte(rng.Uint32())
		}
		if rng.IntN(2) == 0 {
			_, refused := exchange(t, c, b).(wire.Refused)
			assert.Assert(t, refused)
			continue
		}
		s, err := c.OpenUniStreamSync(t.Context())
		assert.NilError(t, err)
		_, _ = s.Write(b)
		if rng.IntN(2) == 0 {
			s.CancelWrite(1)
		}
		_ = s.Close()
	}
	_, err = other.Call(t.Context(), link.Dest{Address: server.Address()}, wire.FindNodes{})
	assert.NilError(t, err)
}

// encoded returns the encoding of m.
func encoded(t *testing.T, m wire.Message) []byte {
	b, err := wire.Encode(m)
	assert.NilError(t, err)
	return b
}

// The server cancels streams whose messages are too long, so that they do not use up
// the connection's limit of streams.
func TestTooLongMessagesHoldNoStreams(t *testing.T) {
	const streams = 3
	// The excess is larger than the largest receive window that QUIC grows to, so that
	// the client cannot have sent all of it before the server cancels the stream.
	const excess = 16 << 20
	a := newTestCA(t)
	server := start(t, a.identity("k1", keys.Keeper), serveFindNodes)
	c, err := quic.DialAddr(t.Context(), server.Address(), a.identity("e1", keys.Entry).ClientConfig(), nil)
	assert.NilError(t, err)
	defer func() { _ = c.CloseWithError(0, "") }()
	long := make([]byte, wire.MaxMessage+1+excess)
	for range streams {
		s, err := c.OpenUniStreamSync(t.Context())
		assert.NilError(t, err)
		_, err = s.Write(long)
		assert.Assert(t, err != nil, "the server read the whole message")
	}
	_, ok := exchange(t, c, encoded(t, wire.FindNodes{})).(wire.Nodes)
	assert.Assert(t, ok)
}

// A message that is longer than peers accept is not sent, and its error is NotSent.
func TestTooLongMessageIsNotSent(t *testing.T) {
	a := newTestCA(t)
	server := start(t, a.identity("k1", keys.Keeper), serveFindNodes)
	client := start(t, a.identity("e1", keys.Entry), nil)
	long := wire.Cancel{ID: strings.Repeat("x", wire.MaxMessage)}
	_, err := client.Call(context.Background(), link.Dest{Address: server.Address()}, long)
	assert.Assert(t, link.NotSent(err), "got %v", err)
	err = client.Post(context.Background(), link.Dest{Address: server.Address()}, long)
	assert.Assert(t, link.NotSent(err), "got %v", err)
}
