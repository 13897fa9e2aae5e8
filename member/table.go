// Package member knows which processes of the system are alive.
package member

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"cyclamenrelay.example/wire"
)

// Table holds the processes that announced themselves, each until its lease ends.
type Table struct {
	clock clockwork.Clock
	lease time.Duration

	mu    sync.Mutex
	nodes map[string]row
	// list holds the live processes with their digest. It holds until the time
	// unless one of them changes, and is nil after that.
	list  []wire.Node
	sum   uint64
	until time.Time
}

type row struct {
	node  wire.Node
	heard time.Time
}

// NewTable returns an empty table.
func NewTable(clock clockwork.Clock, lease time.Duration) *Table {
	return &Table{clock: clock, lease: lease, nodes: map[string]row{}}
}

// Heard takes an announcement. One of an earlier incarnation is passed over.
func (t *Table) Heard(n wire.Node) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if old, ok := t.nodes[n.Name]; ok && n.Incarnation < old.node.Incarnation {
		return
	}
	if !same(t.nodes[n.Name].node, n) {
		t.list = nil
	}
	t.nodes[n.Name] = row{node: n, heard: t.clock.Now()}
}

func same(a, b wire.Node) bool {
	return a.Name == b.Name && a.Address == b.Address && a.DataCentre == b.DataCentre && a.Incarnation == b.Incarnation &&
		a.Leaving == b.Leaving && a.Replica == b.Replica && slices.Equal(a.Roles, b.Roles)
}

// Answer answers a question with the live processes, which are left out when
// the sender has them. There are many questions and few changes.
func (t *Table) Answer(q wire.FindNodes) wire.Nodes {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.list == nil || t.clock.Now().After(t.until) {
		t.list, t.until = t.live()
		t.sum = digest(t.list)
	}
	a := wire.Nodes{Digest: t.sum}
	if a.Digest != q.Known {
		a.Nodes = t.list
	}
	return a
}

// Live returns the processes within their lease, by name.
func (t *Table) Live() []wire.Node {
	t.mu.Lock()
	defer t.mu.Unlock()
	out, _ := t.live()
	return out
}

// live returns the processes within their lease and when the first lease ends.
func (t *Table) live() (out []wire.Node, until time.Time) {
	now := t.clock.Now()
	until = now.Add(t.lease)
	for name, r := range t.nodes {
		ends := r.heard.Add(t.lease)
		if now.After(ends) {
			delete(t.nodes, name)
			continue
		}
		if ends.Before(until) {
			until = ends
		}
		out = append(out, r.node)
	}
	slices.SortFunc(out, func(a, b wire.Node) int { return strings.Compare(a.Name, b.Name) })
	return out, until
}

// Find returns the live process of the name.
func (t *Table) Find(name string) (wire.Node, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.nodes[name]
	if !ok || t.clock.Since(r.heard) > t.lease {
		return wire.Node{}, false
	}
	return r.node, true
}

// AnswerTo answers a question with the live processes, which are left out when
// the sender has them.
func AnswerTo(q wire.FindNodes, nodes []wire.Node) wire.Nodes {
	slices.SortFunc(nodes, func(a, b wire.Node) int { return strings.Compare(a.Name, b.Name) })
	a := wire.Nodes{Digest: digest(nodes)}
	if a.Digest != q.Known {
		a.Nodes = nodes
	}
	return a
}

// digest identifies a list of processes; it is never 0.
func digest(nodes []wire.Node) uint64 {
	b, err := wire.MarshalValue(nodes)
	if err != nil {
		panic("member: processes cannot be encoded: " + err.Error())
	}
	return max(xxhash.Sum64(b), 1)
}
