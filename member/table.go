// Package member tracks which processes of the system are alive, by announcements
// with a lease: a Table holds them at a keeper, a Finder announces a process to the
// keepers and fetches the list of live ones.
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

// Table holds the announced processes, each until its lease ends.
type Table struct {
	clock clockwork.Clock
	lease time.Duration

	mu    sync.Mutex
	nodes map[string]row
	// cached holds the live processes, and cachedDigest their digest. It is valid
	// until cachedUntil, when the first lease ends, and nil after a process changed.
	cached       []wire.Node
	cachedDigest uint64
	cachedUntil  time.Time
}

type row struct {
	node    wire.Node
	renewed time.Time
}

// NewTable returns an empty table.
func NewTable(clock clockwork.Clock, lease time.Duration) *Table {
	return &Table{clock: clock, lease: lease, nodes: map[string]row{}}
}

// supersededAfter is the silence after which the process with the highest incarnation
// has ended: a live one announces itself once an interval and a time-out. Its
// successor has a lower one if the machine's time of day has gone back.
const supersededAfter = announceInterval + pollTimeout

// Renew stores an announcement and restarts the lease of the process. One of an
// earlier incarnation is ignored, unless the later one has been silent since. A process
// that shuts down does not come back: an announcement without that was overtaken.
func (t *Table) Renew(n wire.Node) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, ok := t.nodes[n.Name]
	switch {
	case ok && n.Incarnation < old.node.Incarnation && t.clock.Since(old.renewed) <= supersededAfter:
		return
	case n.Incarnation == old.node.Incarnation:
		n.Leaving = n.Leaving || old.node.Leaving
	}
	if !sameNode(t.nodes[n.Name].node, n) {
		t.cached = nil
	}
	t.nodes[n.Name] = row{node: n, renewed: t.clock.Now()}
}

func sameNode(a, b wire.Node) bool {
	return a.Name == b.Name && a.Address == b.Address && a.DataCentre == b.DataCentre && a.Incarnation == b.Incarnation &&
		a.Leaving == b.Leaving && a.Replica == b.Replica && slices.Equal(a.Roles, b.Roles)
}

// AnswerNodes answers FindNodes with the live processes, without their list when the
// sender has it already. The list is cached: there are many requests and few
// changes.
func (t *Table) AnswerNodes(q wire.FindNodes) wire.Nodes {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cached == nil || t.clock.Now().After(t.cachedUntil) {
		t.cached, t.cachedUntil = t.live()
		t.cachedDigest = digest(t.cached)
	}
	a := wire.Nodes{Digest: t.cachedDigest}
	if a.Digest != q.Known {
		a.Nodes = t.cached
	}
	return a
}

// Live returns the processes within their lease, sorted by name.
func (t *Table) Live() []wire.Node {
	t.mu.Lock()
	defer t.mu.Unlock()
	out, _ := t.live()
	return out
}

// Announcement is the newest announcement of a live process.
type Announcement struct {
	Node wire.Node
	// Age is the time since it was received.
	Age time.Duration
}

// Announcements returns the announcements of the processes within their lease, sorted
// by name.
func (t *Table) Announcements() []Announcement {
	t.mu.Lock()
	defer t.mu.Unlock()
	nodes, _ := t.live()
	out := make([]Announcement, 0, len(nodes))
	for _, n := range nodes {
		out = append(out, Announcement{Node: n, Age: t.clock.Since(t.nodes[n.Name].renewed)})
	}
	return out
}

// live drops the processes whose lease has ended. It returns the others, sorted by
// name, and the time at which the first of their leases ends.
func (t *Table) live() (out []wire.Node, until time.Time) {
	now := t.clock.Now()
	until = now.Add(t.lease)
	for name, r := range t.nodes {
		ends := r.renewed.Add(t.lease)
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

// Find returns the live process with the name.
func (t *Table) Find(name string) (wire.Node, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.nodes[name]
	if !ok || t.clock.Since(r.renewed) > t.lease {
		return wire.Node{}, false
	}
	return r.node, true
}

// AnswerNodes answers FindNodes with the given processes, without their list when the
// sender has it already. It sorts nodes.
func AnswerNodes(q wire.FindNodes, nodes []wire.Node) wire.Nodes {
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
		panic("member: cannot encode the list of processes: " + err.Error())
	}
	return max(xxhash.Sum64(b), 1)
}
