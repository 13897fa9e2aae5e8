package group_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cyclamenrelay.example/group"
	"cyclamenrelay.example/raft"
	"cyclamenrelay.example/rlog"
	"cyclamenrelay.example/wire"

	"gotest.tools/v3/assert"
)

// cluster is a cluster of three hosts in memory. No message is lost, and writes are
// synced before the next step of their host.
type cluster struct {
	now         time.Duration
	hosts       [3]*group.Host
	ids         [3]rlog.ID
	queue       [3][]group.Input     // inputs of each host's next step
	spare       []group.Input        // buffer that is swapped with a queue
	applied     [3]map[uint64]uint64 // last applied index by host and group
	readsServed int                  // reads served
}

func newCluster(groups int) *cluster {
	m := &cluster{}
	var members rlog.Membership
	for i := range m.ids {
		m.ids[i] = rlog.ID{Name: string(rune('a' + i)), Incarnation: 1}
		members = members.With(rlog.Member{ID: m.ids[i], Voter: true})
	}
	for i, id := range m.ids {
		m.hosts[i] = group.NewHost(id)
		m.applied[i] = map[uint64]uint64{}
		for g := range groups {
			m.hosts[i].Add(uint64(g), raft.New(raft.Config{
				ID: id, Stored: rlog.Bootstrap(members, nil), Rand: rand.New(rand.NewPCG(uint64(g), uint64(i))),
			}))
		}
	}
	// Only the first host gets ticks, so that it becomes the leader of all groups.
	for range 30 {
		m.now += 100 * time.Millisecond
		m.step(0, group.Tick{})
		m.runUntilIdle()
	}
	return m
}

// step steps host i and queues the resulting inputs of all hosts.
func (m *cluster) step(i int, ins ...group.Input) group.Output {
	out := m.hosts[i].Step(m.now, ins...)
	if out.Write != nil {
		m.queue[i] = append(m.queue[i], group.Synced{Seq: out.Write.Seq})
	}
	for _, b := range out.Batches {
		for j, id := range m.ids {
			if id == b.To {
				m.queue[j] = append(m.queue[j], group.Receive{Batch: b})
			}
		}
	}
	for _, e := range out.Events {
		switch x := e.Effect.(type) {
		case rlog.Apply:
			m.applied[i][e.Group] = x.Entries[len(x.Entries)-1].Index
		case rlog.ReadReady:
			m.readsServed += len(x.IDs)
		case rlog.SnapshotWanted:
			c := rlog.SnapshotTaken{Index: m.applied[i][e.Group]}
			m.queue[i] = append(m.queue[i], group.ReplicaInput{Group: e.Group, Input: c})
		}
	}
	return out
}

// runUntilIdle steps the hosts until no inputs are queued.
func (m *cluster) runUntilIdle() {
	for busy := true; busy; {
		busy = false
		for i := range m.queue {
			if len(m.queue[i]) > 0 {
				busy = true
				m.spare, m.queue[i] = m.queue[i], m.spare[:0]
				m.step(i, m.spare...)
			}
		}
	}
}

func TestTurnMakesOneWriteAndOneBatchPerPeer(t *testing.T) {
	const groups = 50
	m := newCluster(groups)
	var ins []group.Input
	for g := range uint64(groups) {
		assert.Equal(t, m.hosts[0].Node(g).Status().Role, rlog.Leader)
		ins = append(ins, group.ReplicaInput{Group: g, Input: rlog.Propose{ID: g + 1, Data: []byte("x")}})
	}
	out := m.step(0, ins...)
	assert.Equal(t, len(out.Write.Parts), groups)
	assert.Equal(t, len(out.Batches), 2)
	m.runUntilIdle()
	m.now += 100 * time.Millisecond
	out = m.step(0, group.Tick{})
	assert.Assert(t, out.Write == nil)
	assert.Equal(t, len(out.Batches), 2)
	assert.Equal(t, len(out.Batches[0].Messages), groups)
	b, err := wire.Encode(out.Batches[0])
	assert.NilError(t, err)
	got, err := wire.Decode(b)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, out.Batches[0])
	t.Logf("%d bytes in a batch of %d heartbeats", len(b), groups)
	m.runUntilIdle()
	m.step(0, group.ReplicaInput{Group: 3, Input: rlog.Read{ID: 9}})
	m.runUntilIdle()
	assert.Equal(t, m.readsServed, 1)
	for g := range uint64(groups) {
		assert.Equal(t, m.applied[1][g], uint64(3))
	}
}

func TestBatchForAnotherIdentityIsIgnored(t *testing.T) {
	m := newCluster(1)
	vote := wire.NewRaftMessage(0, 9, wire.RaftVote{LastIndex: 99, LastTerm: 9, Transfer: true})
	b := wire.RaftBatch{From: m.ids[1], To: rlog.ID{Name: "a", Incarnation: 7}, Messages: []wire.RaftMessage{vote}}
	out := m.step(0, group.Receive{Batch: b})
	assert.Equal(t, len(out.Batches), 0)
	b.To = m.ids[0]
	m.step(0, group.Receive{Batch: b})
	assert.Equal(t, m.hosts[0].Node(0).Status().Term, uint64(9))
}

func TestRemovedGroupTakesNoPartInWrites(t *testing.T) {
	m := newCluster(2)
	out := m.step(0, group.ReplicaInput{Group: 0, Input: rlog.Propose{ID: 1}}, group.ReplicaInput{Group: 1, Input: rlog.Propose{ID: 2}})
	m.hosts[0].Remove(0)
	assert.Equal(t, len(out.Write.Parts), 2)
	m.runUntilIdle()
	assert.Equal(t, m.hosts[0].Node(1).Status().Commit, uint64(3))
}

// BenchmarkPropose commits batches of proposals in a group of three replicas.
func BenchmarkPropose(b *testing.B) {
	for _, batch := range []int{1, 64} {
		b.Run(fmt.Sprintf("batch=%d", batch), func(b *testing.B) {
			m := newCluster(1)
			data := make([]byte, 128)
			ins := make([]group.Input, batch)
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; i < b.N; i += batch {
				for j := range ins {
					ins[j] = group.ReplicaInput{Input: rlog.Propose{ID: uint64(i + j + 1), Data: data}}
				}
				m.step(0, ins...)
				m.runUntilIdle()
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "proposals/s")
		})
	}
}
