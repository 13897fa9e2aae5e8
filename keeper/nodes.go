package keeper

import (
	"context"

	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/member"
	"cyclamenrelay.example/wire"
)

// serveNodes answers FindNodes from the table. Agents are not kept: entries
// know theirs, so that a keeper's table does not grow with the targets.
func serveNodes(mx *link.Mux, t *member.Table, self func() wire.Node) {
	link.On(mx, func(_ context.Context, p link.Peer, m wire.FindNodes) wire.Message {
		if m.Self.Name != p.Name {
			return wire.Refused{Reason: "the announced name is not the certificate's"}
		}
		if p.Has(keys.Entry, keys.Keeper) {
			t.Heard(m.Self)
		}
		t.Heard(self())
		return t.Answer(m)
	}, keys.Entry, keys.Keeper, keys.Agent)
}
