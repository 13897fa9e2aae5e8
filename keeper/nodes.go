package keeper

import (
	"context"

	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/member"
	"cyclamenrelay.example/wire"
)

// serveNodes handles FindNodes requests from the membership table. Agents are
// not stored: entries track their own, so that a keeper's table does not grow
// with the number of targets.
func serveNodes(mx *link.Mux, t *member.Table, self func() wire.Node) {
	link.Handle(mx, func(_ context.Context, p link.Peer, m wire.FindNodes) wire.Message {
		if m.Self.Name != p.Name {
			return wire.Refused{Reason: "the announced name does not match the certificate"}
		}
		if p.Has(keys.Entry, keys.Keeper) {
			t.Renew(m.Self)
		}
		t.Renew(self())
		return t.AnswerNodes(m)
	}, keys.Entry, keys.Keeper, keys.Agent)
}
