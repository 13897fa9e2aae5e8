package link_test

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/wire"
)

// connectionIDs returns the destination connection IDs of the QUIC packets with a long header
// that arrive at a socket within a time. Each dial chooses a new one.
func connectionIDs(t *testing.T, c net.PacketConn, within time.Duration) map[string]bool {
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(within)))
	ids, b := map[string]bool{}, make([]byte, 2000)
	for {
		n, _, err := c.ReadFrom(b)
		if err != nil {
			return ids
		}
		// The first byte has the header's form; the ID's length follows the version.
		if n > 6 && b[0]&0x80 != 0 && n >= 6+int(b[5]) {
			ids[string(b[6:6+int(b[5])])] = true
		}
	}
}

// Guards against a late start of a whole deployment: a peer that starts a moment after the
// first packet of a dial was reached only by QUIC's repetition, 0.2 to 0.6 s later.
func TestUnansweredDialIsRepeated(t *testing.T) {
	silent, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = silent.Close() }()
	n := start(t, newTestCA(t).identity("e1", keys.Entry), nil)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	go func() { _, _ = n.Call(ctx, link.Dest{Address: silent.LocalAddr().String()}, wire.FindNodes{}) }()
	// The dial as a whole takes 2 s.
	assert.Equal(t, len(connectionIDs(t, silent, 3*time.Second)), 4)
}
