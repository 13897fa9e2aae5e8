// Package timer keeps items in the order in which they are due.
package timer

import (
	"container/heap"
	"time"
)

// shrinkAbove is the capacity above which unused memory is given back.
const shrinkAbove = 64

// Timer is the part of an item that a Queue uses. Embed it, made by New.
type Timer struct {
	due    time.Time
	serial uint64
	place  int // in the heap, -1 when not there
}

// New returns a timer that is in no queue. Serial orders what is due at once.
func New(serial uint64) Timer { return Timer{serial: serial, place: -1} }

// Due returns the time for which the timer was set last.
func (t *Timer) Due() time.Time { return t.due }

// Serial returns the timer's serial number.
func (t *Timer) Serial() uint64 { return t.serial }

func (t *Timer) timer() *Timer { return t }

// Item is what embeds a Timer.
type Item interface {
	comparable
	timer() *Timer
}

// Queue holds items by the time at which they are due. The zero value is empty.
type Queue[T Item] struct{ heap items[T] }

// First returns the item that is due first, false when there is none.
func (q *Queue[T]) First() (item T, ok bool) {
	if len(q.heap) == 0 {
		return item, false
	}
	return q.heap[0], true
}

// Set makes the item due at a time, whether it is in the queue or not.
func (q *Queue[T]) Set(item T, at time.Time) {
	t := item.timer()
	t.due = at
	if t.place >= 0 {
		heap.Fix(&q.heap, t.place)
		return
	}
	heap.Push(&q.heap, item)
}

// Remove takes the item out of the queue if it is there.
func (q *Queue[T]) Remove(item T) {
	t := item.timer()
	if t.place >= 0 {
		heap.Remove(&q.heap, t.place)
		t.place = -1
	}
}

// items implements heap.Interface.
type items[T Item] []T

// Len implements heap.Interface.
func (h items[T]) Len() int { return len(h) }

// Less implements heap.Interface.
func (h items[T]) Less(i, j int) bool {
	a, b := h[i].timer(), h[j].timer()
	if !a.due.Equal(b.due) {
		return a.due.Before(b.due)
	}
	return a.serial < b.serial
}

// Swap implements heap.Interface.
func (h items[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].timer().place, h[j].timer().place = i, j
}

// Push implements heap.Interface.
func (h *items[T]) Push(x any) {
	item := x.(T)
	item.timer().place = len(*h)
	*h = append(*h, item)
}

// Pop implements heap.Interface. It gives memory back when most of it is unused.
func (h *items[T]) Pop() any {
	n := len(*h) - 1
	item := (*h)[n]
	clear((*h)[n:])
	*h = (*h)[:n]
	if c := cap(*h); c > shrinkAbove && n < c/4 {
		*h = append(make(items[T], 0, c/2), *h...)
	}
	return item
}
