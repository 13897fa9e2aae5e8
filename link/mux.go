package link

import (
	"context"
	"reflect"
	"slices"

	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/wire"
)

// Peer is the authenticated node at the other end of a connection.
type Peer struct {
	// Name and Roles come from the peer's certificate.
	Name  string
	Roles []keys.Role
	// Address is the peer's IP address and UDP port.
	Address string
}

// Has reports whether the peer's certificate has one of the roles.
func (p Peer) Has(roles ...keys.Role) bool {
	return slices.ContainsFunc(roles, func(r keys.Role) bool { return slices.Contains(p.Roles, r) })
}

// handler serves the messages of one type from peers with one of the roles.
type handler struct {
	roles []keys.Role
	serve func(context.Context, Peer, wire.Message) wire.Message
}

// Mux dispatches messages to handlers by their type. All handlers must be registered
// before the node starts.
type Mux struct {
	handlers map[reflect.Type]handler
}

// NewMux returns a Mux without handlers.
func NewMux() *Mux { return &Mux{handlers: map[reflect.Type]handler{}} }

// Handle registers f as the handler of messages of type M from peers that have one of
// the roles. The context of f ends when the peer cancels the call. Handle panics when M
// has a handler already.
func Handle[M wire.Message](mx *Mux, f func(context.Context, Peer, M) wire.Message, roles ...keys.Role) {
	var zero M
	t := reflect.TypeOf(zero)
	if _, ok := mx.handlers[t]; ok {
		panic("link: two handlers for " + t.String())
	}
	mx.handlers[t] = handler{roles: roles, serve: func(ctx context.Context, p Peer, m wire.Message) wire.Message {
		return f(ctx, p, m.(M))
	}}
}

// Serve passes a message to its handler and returns the answer. It refuses a message
// that has no handler, or that comes from a peer without a role for it.
func (mx *Mux) Serve(ctx context.Context, p Peer, m wire.Message) wire.Message {
	t := reflect.TypeOf(m)
	h, ok := mx.handlers[t]
	if !ok {
		return wire.Refused{Reason: "this node has no handler for " + t.Name()}
	}
	if !p.Has(h.roles...) {
		return wire.Refused{Reason: "the certificate of " + p.Name + " has no role that may send " + t.Name()}
	}
	return h.serve(ctx, p, m)
}
