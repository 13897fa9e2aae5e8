package place

import (
	"container/heap"
	"time"
)

// timers is a heap of requests by their wake time.
type timers []*request

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (h timers) Len() int { return len(h) }

func (h timers) Less(i, j int) bool {
	if !h[i].wake.Equal(h[j].wake) {
		return h[i].wake.Before(h[j].wake)
	}
	return h[i].serial < h[j].serial
}

func (h timers) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].slot, h[j].slot = i, j
}

// Push implements heap.Interface.
func (h *timers) Push(x any) {
	r := x.(*request)
	r.slot = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface. It gives memory back when most of it is unused.
func (h *timers) Pop() any {
	n := len(*h) - 1
	r := (*h)[n]
	(*h)[n] = nil
	*h = (*h)[:n]
	if c := cap(*h); c > 64 && n < c/4 {
		*h = append(make(timers, 0, c/2), *h...)
	}
	return r
}

// schedule sets the time at which r is looked at again.
func (c *Core) schedule(r *request, at time.Time) {
	r.wake = at
	if r.slot >= 0 {
		heap.Fix(&c.timers, r.slot)
		return
	}
	heap.Push(&c.timers, r)
}
