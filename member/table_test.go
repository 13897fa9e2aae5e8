package member_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cyclamenrelay.example/member"
	"cyclamenrelay.example/wire"
)

func TestTableDropsNodesAfterTheLease(t *testing.T) {
	c := clockwork.NewFakeClock()
	tab := member.NewTable(c, time.Second)
	tab.Renew(wire.Node{Name: "e1", Incarnation: 1})
	c.Advance(time.Second)
	tab.Renew(wire.Node{Name: "e2", Incarnation: 1})
	assert.Equal(t, len(tab.Live()), 2)
	c.Advance(time.Millisecond)
	assert.DeepEqual(t, tab.Live(), []wire.Node{{Name: "e2", Incarnation: 1}})
	_, ok := tab.Find("e1")
	assert.Assert(t, !ok)
}

func TestTableKeepsTheNewestIncarnation(t *testing.T) {
	tab := member.NewTable(clockwork.NewFakeClock(), time.Second)
	tab.Renew(wire.Node{Name: "e1", Incarnation: 2, Address: "new"})
	tab.Renew(wire.Node{Name: "e1", Incarnation: 1, Address: "old"})
	n, ok := tab.Find("e1")
	assert.Assert(t, ok)
	assert.Equal(t, n.Address, "new")
}

// Guards against a keeper that has lost its disk and is taken for its lost replica until
// the lease of that ends, because its clock has gone back.
func TestTableTakesARestartedNodeWhoseClockWentBack(t *testing.T) {
	c := clockwork.NewFakeClock()
	tab := member.NewTable(c, member.NodeLease)
	tab.Renew(wire.Node{Name: "k1", Incarnation: 9, Replica: 1})
	restarted := wire.Node{Name: "k1", Incarnation: 4, Replica: 2}
	c.Advance(2 * time.Second)
	tab.Renew(restarted)
	n, ok := tab.Find("k1")
	assert.Assert(t, ok && n.Replica == 1, "it may still run")
	c.Advance(100 * time.Millisecond)
	tab.Renew(restarted)
	assert.DeepEqual(t, tab.Live(), []wire.Node{restarted})
}

// Guards against a keeper that shuts down and becomes a member again, by an announcement
// that it made before and that was overtaken.
func TestTableKeepsThatANodeIsLeaving(t *testing.T) {
	tab := member.NewTable(clockwork.NewFakeClock(), time.Second)
	tab.Renew(wire.Node{Name: "k1", Incarnation: 1, Leaving: true})
	tab.Renew(wire.Node{Name: "k1", Incarnation: 1})
	n, ok := tab.Find("k1")
	assert.Assert(t, ok && n.Leaving)
	tab.Renew(wire.Node{Name: "k1", Incarnation: 2})
	n, ok = tab.Find("k1")
	assert.Assert(t, ok && !n.Leaving)
}

func TestAnswerOmitsKnownNodes(t *testing.T) {
	nodes := []wire.Node{{Name: "b"}, {Name: "a"}}
	first := member.AnswerNodes(wire.FindNodes{}, nodes)
	assert.Equal(t, len(first.Nodes), 2)
	again := member.AnswerNodes(wire.FindNodes{Known: first.Digest}, []wire.Node{{Name: "a"}, {Name: "b"}})
	assert.Equal(t, len(again.Nodes), 0)
	assert.Equal(t, again.Digest, first.Digest)
	changed := member.AnswerNodes(wire.FindNodes{Known: first.Digest}, []wire.Node{{Name: "a", Leaving: true}, {Name: "b"}})
	assert.Equal(t, len(changed.Nodes), 2)
}

// TestCachedAnswerIsInvalidated: the cached answer is renewed when a process is
// added, changes, or is gone because its lease ended.
func TestCachedAnswerIsInvalidated(t *testing.T) {
	c := clockwork.NewFakeClock()
	tab := member.NewTable(c, time.Second)
	tab.Renew(wire.Node{Name: "e1", Incarnation: 1})
	first := tab.AnswerNodes(wire.FindNodes{})
	assert.Equal(t, len(first.Nodes), 1)
	assert.Equal(t, len(tab.AnswerNodes(wire.FindNodes{Known: first.Digest}).Nodes), 0)
	tab.Renew(wire.Node{Name: "e1", Incarnation: 1, Leaving: true})
	assert.Assert(t, tab.AnswerNodes(wire.FindNodes{Known: first.Digest}).Nodes[0].Leaving)
	c.Advance(time.Second / 2)
	tab.Renew(wire.Node{Name: "e2", Incarnation: 1})
	assert.Equal(t, len(tab.AnswerNodes(wire.FindNodes{}).Nodes), 2)
	tab.Renew(wire.Node{Name: "e2", Incarnation: 1})
	c.Advance(time.Second/2 + time.Millisecond)
	assert.DeepEqual(t, tab.AnswerNodes(wire.FindNodes{}).Nodes, []wire.Node{{Name: "e2", Incarnation: 1}})
}

// BenchmarkAnswer measures a request of an agent that has the current list.
func BenchmarkAnswer(b *testing.B) {
	c := clockwork.NewFakeClock()
	tab := member.NewTable(c, 5*time.Second)
	for i := range 100 {
		tab.Renew(wire.Node{
			Name: fmt.Sprint("entry-", i), Address: "10.0.0.1:7400", DataCentre: "dc-0", Roles: []string{"entry"}, Incarnation: 1,
		})
	}
	known := tab.AnswerNodes(wire.FindNodes{}).Digest
	b.ReportAllocs()
	for b.Loop() {
		tab.AnswerNodes(wire.FindNodes{Known: known})
	}
}
