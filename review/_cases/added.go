package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

func init() { cases["cancel-added"], shapes["cancel-added"] = cancelAdded, [3]int{3, 4, 3} }

func cancelAdded(e *env) error {
	added := e.fronts[3]
	e.fronts = e.fronts[:3]
	if err := e.begin(e.executors()...); err != nil {
		return err
	}
	e.fronts = append(e.fronts, added)
	c := &cancels{at: map[string]time.Time{}}
	if err := e.start(added); err != nil {
		return err
	}
	for !e.ready(added) {
		time.Sleep(5 * time.Millisecond)
	}
	e.rec.add("ready")
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var wg sync.WaitGroup
	for i := range 30 {
		id := newID()
		go e.send(ctx, "POST", added, id, job(5000, 500, step(1, 500, 5000, nil), step(1, 500, 5000, m{"after": []int{0}})), 40*time.Second)
		wg.Go(func() {
			time.Sleep(50 * time.Millisecond)
			e.cancel(c, e.fronts[i%3], id)
		})
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(8 * time.Second)
	if late := e.lateStarts(c); len(late) > 0 {
		return broken{fmt.Sprintf("UNASKED: %d starts, such as: %s", len(late), late[0])}
	}
	return nil
}
