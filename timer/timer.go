// Package timer is a priority queue of items by the time at which they are due.
package timer

import (
	"container/heap"
	"time"
)

// shrinkAbove is the heap capacity above which unused memory is released.
const shrinkAbove = 64

// Timer holds the due time and the heap position of an item of a Queue. Embed
// it in the item, made by New.
type Timer struct {
	due    time.Time
	serial uint64
	index  int // index in the heap, -1 when not there
}

// New returns a timer that is in no queue. The serial number orders items that
// are due at the same time.
func New(serial uint64) Timer { return Timer{serial: serial, index: -1} }

// Due returns the due time that was set last.
func (t *Timer) Due() time.Time { return t.due }

// Serial returns the timer's serial number.
func (t *Timer) Serial() uint64 { return t.serial }

func (t *Timer) timer() *Timer { return t }

// Item is an item of a Queue: a pointer to a struct that embeds a Timer.
type Item interface {
	comparable
	timer() *Timer
}

// Queue is a priority queue of items by due time. The zero value is empty.
type Queue[T Item] struct{ heap items[T] }

// First returns the item that is due first, false when the queue is empty.
func (q *Queue[T]) First() (item T, ok bool) {
	if len(q.heap) == 0 {
		return item, false
	}
	return q.heap[0], true
}

// Set sets the item's due time, and adds the item if it is not in the queue.
func (q *Queue[T]) Set(item T, at time.Time) {
	t := item.timer()
	t.due = at
	if t.index >= 0 {
		heap.Fix(&q.heap, t.index)
		return
	}
	heap.Push(&q.heap, item)
}

// Remove removes the item from the queue if it is there.
func (q *Queue[T]) Remove(item T) {
	t := item.timer()
	if t.index >= 0 {
		heap.Remove(&q.heap, t.index)
		t.index = -1
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
	h[i].timer().index, h[j].timer().index = i, j
}

// Push implements heap.Interface.
func (h *items[T]) Push(x any) {
	item := x.(T)
	item.timer().index = len(*h)
	*h = append(*h, item)
}

// Pop implements heap.Interface. It halves the capacity when less than a quarter
// of it is used.
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
