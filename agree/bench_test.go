package agree_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cyclamenrelay.example/agree"
	"cyclamenrelay.example/rlog"
)

// BenchmarkPropose commits batches of proposals through three replicas in
// memory, whose writes are synced at once.
func BenchmarkPropose(b *testing.B) {
	for _, batch := range []int{1, 64} {
		b.Run(fmt.Sprintf("batch=%d", batch), func(b *testing.B) {
			g := newMemory()
			data := make([]byte, 128)
			ins := make([]rlog.Input, batch)
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; i < b.N; i += batch {
				for j := range ins {
					ins[j] = rlog.Propose{ID: uint64(i + j + 1), Data: data}
				}
				g.step(0, ins...)
				g.settle()
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "proposals/s")
		})
	}
}

// memory is three replicas with perfect links.
type memory struct {
	now     time.Duration
	nodes   [3]*agree.Node
	ids     [3]rlog.ID
	applied [3]uint64
	queue   [3][]rlog.Input
	spare   []rlog.Input
}

func newMemory() *memory {
	g := &memory{}
	var m rlog.Membership
	for i := range g.ids {
		g.ids[i] = rlog.ID{Name: string(rune('a' + i)), Incarnation: 1}
		m = m.With(rlog.Member{ID: g.ids[i], Voter: true})
	}
	for i, id := range g.ids {
		g.nodes[i] = agree.New(agree.Config{ID: id, Stored: rlog.Bootstrap(m, nil), Rand: rand.New(rand.NewPCG(1, uint64(i)))})
	}
	g.step(1)
	g.step(2)
	// Only the first replica's clock ticks, so it becomes the leader.
	for g.nodes[0].Status().Role != rlog.Leader {
		g.now += 100 * time.Millisecond
		g.step(0, rlog.Tick{})
		g.settle()
	}
	return g
}

func (g *memory) step(i int, ins ...rlog.Input) {
	for _, e := range g.nodes[i].Step(g.now, ins...) {
		switch e := e.(type) {
		case rlog.Persist:
			g.queue[i] = append(g.queue[i], rlog.Persisted{Seq: e.Seq})
		case rlog.Send:
			for j, id := range g.ids {
				if id == e.To {
					g.queue[j] = append(g.queue[j], rlog.Receive{From: g.ids[i], Term: e.Term, Body: e.Body})
				}
			}
		case rlog.Apply:
			g.applied[i] = e.Entries[len(e.Entries)-1].Index
		case rlog.SnapshotWanted:
			g.queue[i] = append(g.queue[i], rlog.Compacted{Index: g.applied[i]})
		}
	}
}

func (g *memory) settle() {
	for busy := true; busy; {
		busy = false
		for i := range g.queue {
			if len(g.queue[i]) > 0 {
				busy = true
				g.spare, g.queue[i] = g.queue[i], g.spare[:0]
				g.step(i, g.spare...)
			}
		}
	}
}
