package link_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/wire"
)

// Guards against a message that ends the process: a run-time error in a handler ends that
// exchange alone. The caller must not be told that the message had no effect.
func TestErrorInHandlerEndsItsCallOnly(t *testing.T) {
	a := newTestCA(t)
	var none []int
	server := start(t, a.identity("k1", keys.Keeper), func(mx *link.Mux) {
		link.Handle(mx, func(context.Context, link.Peer, wire.ConfirmRun) wire.Message {
			none[len(none)]++
			return wire.Done{}
		}, keys.Entry)
		serveFindNodes(mx)
	})
	client := start(t, a.identity("e1", keys.Entry), nil)
	to := link.Dest{Address: server.Address()}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for range 3 {
		answer, err := client.Call(ctx, to, wire.ConfirmRun{})
		assert.Assert(t, err != nil, "answered with %v", answer)
		assert.Assert(t, !link.NotSent(err), "the caller was told that the message was not sent")
		assert.NilError(t, ctx.Err())
	}
	assert.NilError(t, client.Post(ctx, to, wire.ConfirmRun{}))
	_, err := client.Call(ctx, to, wire.FindNodes{})
	assert.NilError(t, err)
}
