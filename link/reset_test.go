package link_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/quic-go/quic-go"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"cyclamenrelay.example/fault"
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/wire"
)

// TestRestartedPeerResetsOldConnections: a peer that was killed and restarted must
// end its old connections by stateless resets, so that calls on them fail before
// the idle timeout.
func TestRestartedPeerResetsOldConnections(t *testing.T) {
	a := newTestCA(t)
	id := a.identity("k1", keys.Keeper)
	first := start(t, id, serveFindNodes)
	client := start(t, a.identity("e1", keys.Entry), nil)
	relay, err := fault.New([]fault.Link{{Name: "k1", Network: "udp", Listen: "127.0.0.1:0", To: first.Address()}},
		clockwork.NewRealClock(), 1)
	assert.NilError(t, err)
	defer relay.Close()
	to := link.Dest{Address: relay.Addr("k1").String()}
	_, err = client.Call(t.Context(), to, wire.FindNodes{})
	assert.NilError(t, err)

	// With the link cut, the closing of the first node's connections does not arrive, as
	// after kill -9.
	assert.NilError(t, relay.SetRules("k1", fault.Rules{Forward: fault.Rule{Cut: true}, Backward: fault.Rule{Cut: true}}))
	assert.NilError(t, first.Close())
	second := link.New(link.Options{Address: first.Address(), Keys: id, Log: zap.NewNop(), Clock: clockwork.NewRealClock()})
	serveFindNodes(second.Mux())
	assert.NilError(t, second.Start(nil))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = second.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	assert.NilError(t, relay.SetRules("k1", fault.Rules{}))

	call, end := context.WithTimeout(t.Context(), 30*time.Second)
	defer end()
	// The message is long enough: QUIC sends no reset in answer to very small packets.
	_, err = client.Call(call, to, wire.FindNodes{Self: wire.Node{Name: "e1", Address: client.Address(), DataCentre: "almaty-1"}})
	var reset *quic.StatelessResetError
	assert.Assert(t, errors.As(err, &reset), "the call on the old connection ended with %v", err)
	_, err = client.Call(t.Context(), to, wire.FindNodes{})
	assert.NilError(t, err)
}
