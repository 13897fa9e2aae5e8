package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// runRouteCase sends jobs that require executors of kind a, while one executor after the other
// crashes and starts again at its address, under its ID and as another kind. It checks ROUTE: no task starts on
// an executor without the label in its step's requirements.
func runRouteCase(d *deployment) (broken bool, err error) {
	const (
		fronts, sides = 3, 8
		crashes       = 40
		gap           = 800 * time.Millisecond // between two crashes
		jobGap        = 7 * time.Millisecond
	)
	kinds := make([]string, sides)
	for i := range kinds {
		kinds[i] = "a"
	}
	if err := d.startAll(fronts, sides, func(i int) string { return kinds[i] }); err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	stop := make(chan struct{})
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(jobGap):
			}
			wg.Go(func() {
				status, _ := d.submit(front(n%fronts), newID(), job{steps: []step{{count: 8, length: 200 * time.Millisecond, label: "a"}}}, 1500*time.Millisecond)
				mu.Lock()
				defer mu.Unlock()
				statuses[status]++
			})
		}
	})
	for range crashes {
		time.Sleep(gap)
		if !d.trouble {
			continue
		}
		i := rand.IntN(sides)
		d.signal(fmt.Sprintf("executor-%d", side(i)), syscall.SIGKILL)
		crashed := time.Now()
		kinds[i] = map[string]string{"a": "b", "b": "a"}[kinds[i]]
		if err := d.startExecutor(fmt.Sprintf("i-%d-1", i), i, kinds[i]); err != nil {
			return false, err
		}
		d.record("i-%d-1 crashed at %.3f and started again at %.3f, now of kind %s", i, d.since(crashed), d.since(time.Now()), kinds[i])
	}
	time.Sleep(gap)
	close(stop)
	wg.Wait()
	d.record("jobs by status: %v", statuses)
	if statuses[http.StatusOK] == 0 {
		return false, fmt.Errorf("no job was done")
	}
	return d.judgeLabels(), nil
}

// judgeLabels reports whether a task started on an executor of kind b. All jobs required kind a.
func (d *deployment) judgeLabels() (broken bool) {
	d.mu.Lock()
	events := append([]event(nil), d.events...)
	d.mu.Unlock()
	starts, wrong := 0, 0
	for _, e := range events {
		if e.What != "start" {
			continue
		}
		starts++
		if e.Kind != "a" {
			wrong++
			d.record("    %8.3f ROUTE: %s run %d, which requires a, started on %s of kind %s", d.since(time.Unix(0, e.At)), e.Task, e.Run, e.ID, e.Kind)
		}
	}
	d.record("%d tasks started, %d of them on an executor without the required label", starts, wrong)
	return wrong > 0
}
