package member_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cyclamenrelay.example/member"
	"cyclamenrelay.example/wire"
)

func TestTableForgetsAfterTheLease(t *testing.T) {
	c := clockwork.NewFakeClock()
	tab := member.NewTable(c, time.Second)
	tab.Heard(wire.Node{Name: "e1", Incarnation: 1})
	c.Advance(time.Second)
	tab.Heard(wire.Node{Name: "e2", Incarnation: 1})
	assert.Equal(t, len(tab.Live()), 2)
	c.Advance(time.Millisecond)
	assert.DeepEqual(t, tab.Live(), []wire.Node{{Name: "e2", Incarnation: 1}})
	_, ok := tab.Find("e1")
	assert.Assert(t, !ok)
}

func TestTableKeepsTheNewestIncarnation(t *testing.T) {
	tab := member.NewTable(clockwork.NewFakeClock(), time.Second)
	tab.Heard(wire.Node{Name: "e1", Incarnation: 2, Address: "new"})
	tab.Heard(wire.Node{Name: "e1", Incarnation: 1, Address: "old"})
	n, ok := tab.Find("e1")
	assert.Assert(t, ok)
	assert.Equal(t, n.Address, "new")
}

func TestAnswerLeavesOutWhatIsKnown(t *testing.T) {
	nodes := []wire.Node{{Name: "b"}, {Name: "a"}}
	first := member.AnswerTo(wire.FindNodes{}, nodes)
	assert.Equal(t, len(first.Nodes), 2)
	again := member.AnswerTo(wire.FindNodes{Known: first.Digest}, []wire.Node{{Name: "a"}, {Name: "b"}})
	assert.Equal(t, len(again.Nodes), 0)
	assert.Equal(t, again.Digest, first.Digest)
	changed := member.AnswerTo(wire.FindNodes{Known: first.Digest}, []wire.Node{{Name: "a", Leaving: true}, {Name: "b"}})
	assert.Equal(t, len(changed.Nodes), 2)
}
