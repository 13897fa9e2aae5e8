package queue_test

import (
	"fmt"
	"testing"
	"time"

	"cyclamenrelay.example/queue"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

type item = queue.Item[int]

func all(int) bool { return true }

// TestRandomised checks the queue against a plain list under random operations:
// its size, removal, classes, the order by urgency within a team, and that the
// virtual time never decreases.
func TestRandomised(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := queue.New[int]()
		var queued []*item
		n := 0
		last := 0.0
		remove := func(i *item) {
			for at, o := range queued {
				if o == i {
					queued = append(queued[:at], queued[at+1:]...)
					return
				}
			}
			t.Fatalf("item %s is not queued", i.ID)
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				n++
				s := rapid.IntRange(0, 3).Draw(t, "share")
				i := &item{
					ID: fmt.Sprint(n), Share: fmt.Sprint(s), Weight: s + 1, TeamWeight: 1,
					Team:    rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "team"),
					Urgency: rapid.IntRange(0, 9).Draw(t, "urgency"), Class: rapid.IntRange(0, 2).Draw(t, "class"),
					Estimate: time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond,
				}
				q.Push(i)
				queued = append(queued, i)
			},
			"pop": func(t *rapid.T) {
				class := rapid.IntRange(0, 2).Draw(t, "class")
				i := q.Pop("", func(c int) bool { return c == class }, nil)
				wanted := false
				for _, o := range queued {
					wanted = wanted || o.Class == class
					if i != nil && o != i && o.Class == class && o.Share == i.Share && o.Team == i.Team {
						assert.Assert(t, o.Urgency <= i.Urgency)
					}
				}
				assert.Equal(t, i != nil, wanted, "Pop must return an item of an allowed class if there is one")
				if i != nil {
					remove(i)
				}
			},
			"remove": func(t *rapid.T) {
				if len(queued) == 0 {
					t.Skip("empty")
				}
				i := rapid.SampledFrom(queued).Draw(t, "item")
				assert.Assert(t, q.Remove(i))
				assert.Assert(t, !q.Remove(i))
				remove(i)
			},
			"correct": func(t *rapid.T) {
				i := &item{Share: "1", Weight: 2, TeamWeight: 1, Estimate: time.Second}
				q.CorrectCharge(i, time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms"))*time.Millisecond)
				q.Compact()
			},
			"": func(t *rapid.T) {
				assert.Equal(t, q.Len(), len(queued))
				assert.Assert(t, q.Virtual() >= last)
				last = q.Virtual()
			},
		})
	})
}

// served pops n items and returns the sum of their estimates by share and team.
func served(q *queue.Queue[int], n int) map[string]time.Duration {
	got := map[string]time.Duration{}
	for range n {
		i := q.Pop("", all, nil)
		got[i.Share+i.Team] += i.Estimate
	}
	return got
}

// TestServiceFollowsWeights checks that service time, and not the number of items,
// is divided by weight, and that urgency does not change that.
func TestServiceFollowsWeights(t *testing.T) {
	q := queue.New[int]()
	for n := range 6000 {
		q.Push(&item{ID: fmt.Sprint("a", n), Share: "a", Weight: 3, TeamWeight: 1, Estimate: 100 * time.Millisecond})
		q.Push(&item{ID: fmt.Sprint("b", n), Share: "b", Weight: 1, TeamWeight: 1, Estimate: 20 * time.Millisecond, Urgency: 9})
	}
	got := served(q, 4000)
	ratio := got["a"].Seconds() / got["b"].Seconds()
	assert.Assert(t, ratio > 2.9 && ratio < 3.1, "ratio %.3f", ratio)
}

func TestTeamsFollowWeights(t *testing.T) {
	q := queue.New[int]()
	for n := range 3000 {
		q.Push(&item{ID: fmt.Sprint("a", n), Share: "s", Weight: 1, Team: "a", TeamWeight: 2, Estimate: time.Second})
		q.Push(&item{ID: fmt.Sprint("b", n), Share: "s", Weight: 1, Team: "b", TeamWeight: 1, Estimate: time.Second, Urgency: 9})
	}
	got := served(q, 3000)
	ratio := got["sa"].Seconds() / got["sb"].Seconds()
	assert.Assert(t, ratio > 1.9 && ratio < 2.1, "ratio %.3f", ratio)
}

// TestIdleShareIsServedSoon checks that work of a share that was idle is served
// after a bounded number of items of a flooded share, even of the most urgent ones.
func TestIdleShareIsServedSoon(t *testing.T) {
	q := queue.New[int]()
	for n := range 10_000 {
		q.Push(&item{ID: fmt.Sprint("f", n), Share: "flood", Weight: 1, TeamWeight: 1, Estimate: 100 * time.Millisecond, Urgency: 9})
	}
	served(q, 1000)
	q.Push(&item{ID: "x", Share: "quiet", Weight: 1, TeamWeight: 1, Estimate: 100 * time.Millisecond})
	for n := range 5 {
		if i := q.Pop("", all, nil); i.ID == "x" {
			return
		}
		assert.Assert(t, n < 4, "the item of the idle share is not among the first 5")
	}
}

func BenchmarkPushPop(b *testing.B) {
	q := queue.New[int]()
	items := make([]item, 10_000)
	for n := range items {
		items[n] = item{ID: "x", Share: fmt.Sprint(n % 10), Weight: 1, TeamWeight: 1, Estimate: time.Second, Class: n % 3}
		q.Push(&items[n])
	}
	b.ReportAllocs()
	for b.Loop() {
		i := q.Pop("", all, nil)
		q.Push(i)
	}
}
