package shape_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/shape"
)

const rate = 250_000 // bytes a second

var start = time.Unix(1000, 0)

// TestFullLinkIsNotExceeded guards against a queue on the link: ten writers that never pause get
// less than the rate together, and each of them moves on.
func TestFullLinkIsNotExceeded(t *testing.T) {
	l := shape.NewLink(rate)
	next := make([]time.Time, 10) // when each writer writes next
	sent := make([]int, len(next))
	for i := range next {
		next[i] = start
	}
	for {
		i := 0
		for j := range next {
			if next[j].Before(next[i]) {
				i = j
			}
		}
		if next[i].Sub(start) >= 10*time.Second {
			break
		}
		sent[i] += 1252
		next[i] = next[i].Add(l.Admit(next[i], 1252, false))
	}
	total := 0
	for i, n := range sent {
		total += n
		assert.Assert(t, n > 10*rate/20, "writer %d has sent %d bytes", i, n)
	}
	assert.Assert(t, total <= 10*rate*9/10, "%d bytes in 10 s", total)
	assert.Assert(t, total >= 10*rate*7/10, "%d bytes in 10 s", total)
}

// TestFirstNeverWaits guards against a poll that waits behind starts, and against one that
// comes for free: what is sent after it waits for it.
func TestFirstNeverWaits(t *testing.T) {
	l := shape.NewLink(rate)
	for range 20 {
		l.Admit(start, 1252, false)
	}
	before := l.Admit(start, 1252, false)
	assert.Equal(t, l.Admit(start, 12_520, true), time.Duration(0))
	after := l.Admit(start, 1252, false)
	assert.Assert(t, after-before > 50*time.Millisecond, "%v, %v", before, after)
}

func TestUnknownRate(t *testing.T) {
	for _, r := range []float64{0, -1} {
		assert.Equal(t, shape.NewLink(r).Admit(start, 1<<20, false), time.Duration(0))
	}
}

// A link of 2 Mbit/s carries a datagram in about 6 ms.
func ExampleLink_Admit() {
	l := shape.NewLink(2e6 / 8)
	for range 5 {
		fmt.Println(l.Admit(time.Unix(1000, 0), 1252, false).Round(time.Millisecond))
	}
	// Output:
	// 0s
	// 0s
	// 0s
	// 4ms
	// 10ms
}
