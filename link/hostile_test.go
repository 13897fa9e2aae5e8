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

// exchange writes bytes to a stream of its own and returns the answer. A
// stream that the other side gave up early still has its answer.
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

// A peer with a valid certificate that sends garbage gets refusals that say
// why, holds nothing at the other end, and is no harm to others.
func TestGarbageFromAValidPeer(t *testing.T) {
	a := newAuthority(t)
	server := start(t, a.identity("k1", keys.Keeper), serveFind)
	other := start(t, a.identity("e1", keys.Entry), nil)
	c, err := quic.DialAddr(t.Context(), server.Address(), a.identity("a1", keys.Agent).ClientConfig(), nil)
	assert.NilError(t, err)
	defer func() { _ = c.CloseWithError(0, "") }()
	find, err := wire.Encode(wire.FindNodes{})
	assert.NilError(t, err)
	for want, b := range map[string][]byte{
		"has 0 bytes":        {},
		"code 0 is unknown":  {0, 0, 0},
		"message FindNodes":  append([]byte{find[0]}, "no CBOR"...),
		"unexpected EOF":     find[:len(find)-1],
		"holds no role":      find,
		"no service here":    encoded(t, wire.Cancel{ID: "x"}),
		"allowed are 1 to 2": make([]byte, wire.MaxMessage+2),
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
	_, err = other.Call(t.Context(), link.To{Address: server.Address()}, wire.FindNodes{})
	assert.NilError(t, err)
}

func encoded(t *testing.T, m wire.Message) []byte {
	b, err := wire.Encode(m)
	assert.NilError(t, err)
	return b
}

// Streams whose messages are too long are given up, so that they do not use up
// the streams of the connection.
func TestTooLongMessagesHoldNoStreams(t *testing.T) {
	const streams = 3
	// What lies beyond the message is more than the widest window that QUIC may
	// grow to, so that it cannot all be on its way before the stream is given up.
	const beyond = 16 << 20
	a := newAuthority(t)
	server := start(t, a.identity("k1", keys.Keeper), serveFind)
	c, err := quic.DialAddr(t.Context(), server.Address(), a.identity("e1", keys.Entry).ClientConfig(), nil)
	assert.NilError(t, err)
	defer func() { _ = c.CloseWithError(0, "") }()
	long := make([]byte, wire.MaxMessage+1+beyond)
	for range streams {
		s, err := c.OpenUniStreamSync(t.Context())
		assert.NilError(t, err)
		_, err = s.Write(long)
		assert.Assert(t, err != nil, "the whole message was taken")
	}
	_, ok := exchange(t, c, encoded(t, wire.FindNodes{})).(wire.Nodes)
	assert.Assert(t, ok)
}

// What a peer would not accept is not sent, and the sender knows it.
func TestTooLongMessageIsNotSent(t *testing.T) {
	a := newAuthority(t)
	server := start(t, a.identity("k1", keys.Keeper), serveFind)
	client := start(t, a.identity("e1", keys.Entry), nil)
	long := wire.Cancel{ID: strings.Repeat("x", wire.MaxMessage)}
	_, err := client.Call(context.Background(), link.To{Address: server.Address()}, long)
	assert.Assert(t, link.NotSent(err), "got %v", err)
	err = client.Post(context.Background(), link.To{Address: server.Address()}, long)
	assert.Assert(t, link.NotSent(err), "got %v", err)
}
