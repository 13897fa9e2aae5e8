package broker_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"gotest.tools/v3/assert"

	"cyclamenrelay.example/batch"
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/wire"
)

// directory is the list of entries that all entries of a test know.
type directory struct {
	mu    sync.Mutex
	nodes []wire.Node
}

func (d *directory) list() []wire.Node {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.nodes
}

func (d *directory) add(n wire.Node) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nodes = append(d.nodes, n)
}

// addEntry adds a testbed of an entry to the directory.
func (d *directory) addEntry(t testing.TB, name string) *testbed {
	b := newTestbedWith(t, name, d.list)
	d.add(b.entryNode(name))
	return b
}

// Pattern: more entries than one sends its cancels to. Guards against a job that goes on at an
// entry that hears of its cancel through another one.
func TestCancelIsPassedOn(t *testing.T) {
	var d directory
	var entries []*testbed
	for i := range 20 {
		entries = append(entries, d.addEntry(t, fmt.Sprintf("entry-%02d", i)))
	}
	for _, i := range []int{2, 19} { // reached through another entry, and directly
		b := entries[i]
		running := make(chan string, 99)
		b.agent(fmt.Sprint("a", i), 1000, func(ctx context.Context, m wire.StartRun) wire.RunEnded {
			running <- m.Task
			<-ctx.Done()
			return wire.RunEnded{End: batch.Stopped, Proof: batch.ProofListing}
		})
		id, outcome := b.startJob(running, batch.Step{Count: 1}, batch.Step{Count: 1, After: []int{0}})
		wasFound := false
		b.await("the cancel to be confirmed", func() bool {
			found, err := entries[0].broker.CancelEverywhere(t.Context(), id)
			wasFound = wasFound || found
			return err == nil
		})
		assert.Assert(t, wasFound)
		assert.Equal(t, <-outcome, "broken")
		for _, e := range entries {
			assert.Equal(t, outcomeKind(e.submit(job(id, batch.Step{Count: 1}))), "refuse", "a copy of the cancelled job")
		}
		assert.Equal(t, len(b.startedTasks()), 1)
		found, err := entries[1].broker.CancelEverywhere(t.Context(), id)
		assert.NilError(t, err, "a cancel that was sent again was not acknowledged")
		assert.Assert(t, !found)
	}
}

// Guards against acknowledging a cancel that an entry has not confirmed: one that knows no
// other entries yet, or another one that runs an older build or cannot be reached.
func TestUnconfirmedCancelIsNotAcknowledged(t *testing.T) {
	for name, others := range map[string]func(t *testing.T, d *directory){
		"no entries are known": func(*testing.T, *directory) {},
		"older build": func(t *testing.T, d *directory) {
			old := (&testbed{t: t}).node("old", keys.Entry)
			(&testbed{t: t}).serve(old)
			d.add(wire.Node{Name: "old", Address: old.Address()})
		},
		"unreachable": func(_ *testing.T, d *directory) { d.add(wire.Node{Name: "gone", Address: "127.0.0.1:9"}) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var d directory
			others(t, &d)
			b := newTestbedWith(t, "entry-1", d.list)
			b.agent("a1", 1000, done)
			begun := time.Now()
			_, err := b.broker.CancelEverywhere(t.Context(), "j")
			assert.Assert(t, trace.IsConnectionProblem(err), "%v", err)
			assert.Assert(t, time.Since(begun) < 20*time.Second, "the cancel took longer than a caller waits for it")
			assert.Equal(t, outcomeKind(b.submit(job("j", batch.Step{Count: 1}))), "refuse", "the job ran where the cancel is known")
		})
	}
}

// Pattern: many cancels at once at a large site. Guards against messages that grow with them.
func TestCancelsShareRounds(t *testing.T) {
	var d directory
	b := d.addEntry(t, "entry-1")
	rounds := 0
	var mu sync.Mutex
	b2 := newTestbedWith(t, "entry-2", func() []wire.Node {
		mu.Lock()
		defer mu.Unlock()
		rounds++
		nodes := d.list()
		for range 300 { // the interval between rounds grows with the known entries
			nodes = append(nodes[:len(nodes):len(nodes)], b.entryNode("entry-2"))
		}
		return nodes
	})
	begun := time.Now()
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Go(func() {
			_, err := b2.broker.CancelEverywhere(t.Context(), fmt.Sprint("j", i))
			assert.Check(t, err)
		})
	}
	wg.Wait()
	// Each round asks for the entries twice.
	atMost := 2 * (2 + int(time.Since(begun)/(300*time.Millisecond)))
	assert.Assert(t, rounds <= atMost, "%d rounds in place of at most %d", rounds/2, atMost/2)
}
