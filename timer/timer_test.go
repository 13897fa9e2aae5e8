package timer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/timer"
)

type item struct{ timer.Timer }

func TestFirstMatchesLinearSearch(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var q timer.Queue[*item]
	live := map[*item]bool{}
	for n := range uint64(2000) {
		switch rng.IntN(4) {
		case 0, 1:
			i := &item{timer.New(n)}
			q.Set(i, time.Unix(rng.Int64N(50), 0))
			live[i] = true
		case 2:
			for i := range live {
				q.Set(i, time.Unix(rng.Int64N(50), 0))
				break
			}
		case 3:
			if i, ok := q.First(); ok {
				q.Remove(i)
				q.Remove(i)
				delete(live, i)
			}
		}
		first, ok := q.First()
		assert.Equal(t, ok, len(live) > 0)
		for i := range live {
			later := i.Due().After(first.Due()) || (i.Due().Equal(first.Due()) && i.Serial() >= first.Serial())
			assert.Assert(t, later, "First did not return the item that is due first")
		}
	}
}
