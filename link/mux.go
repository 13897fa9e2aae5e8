package link

import (
	"context"
	"reflect"
	"slices"

	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/wire"
)

// Peer is the authenticated other end of a connection.
type Peer struct {
	// Name and Roles come from the peer's certificate.
	Name  string
	Roles []keys.Role
	// Address is the peer's IP address and UDP port.
	Address string
}

// Has reports whether the peer's certificate holds one of the roles.
func (p Peer) Has(roles ...keys.Role) bool {
	return slices.ContainsFunc(roles, func(r keys.Role) bool { return slices.Contains(p.Roles, r) })
}

type handler struct {
	roles []keys.Role
	serve func(context.Context, Peer, wire.Message) wire.Message
}

// Mux passes messages to their handlers. Handlers are registered before the
// node listens.
type Mux struct {
	handlers map[reflect.Type]handler
}

// NewMux returns a Mux without handlers.
func NewMux() *Mux { return &Mux{handlers: map[reflect.Type]handler{}} }

// On registers f for messages of type M from peers that hold one of the roles.
// The context ends when the peer gives the exchange up.
func On[M wire.Message](mx *Mux, f func(context.Context, Peer, M) wire.Message, roles ...keys.Role) {
	var zero M
	t := reflect.TypeOf(zero)
	if _, ok := mx.handlers[t]; ok {
		panic("link: two handlers for " + t.String())
	}
	mx.handlers[t] = handler{roles: roles, serve: func(ctx context.Context, p Peer, m wire.Message) wire.Message {
		return f(ctx, p, m.(M))
	}}
}

// Serve answers one message; a message without a handler, or from a peer
// without the role, is refused.
func (mx *Mux) Serve(ctx context.Context, p Peer, m wire.Message) wire.Message {
	t := reflect.TypeOf(m)
	h, ok := mx.handlers[t]
	if !ok {
		return wire.Refused{Reason: "no service here takes " + t.Name()}
	}
	if !p.Has(h.roles...) {
		return wire.Refused{Reason: "the certificate of " + p.Name + " holds no role that may send " + t.Name()}
	}
	return h.serve(ctx, p, m)
}
