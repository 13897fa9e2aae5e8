package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// otherSequence is the number of the other writer's heartbeat, which counts by itself.
const otherSequence = 5_000

// drainBound is bounds.drain_ms.
const drainBound = 2 * time.Second

// runDrainCase sends jobs while one executor drains and leaves, and sends one heartbeat of another
// writer, which names the executor and lacks fields. It checks DRAIN: no task starts on the
// executor later than drain_ms after the acknowledgement that it is draining.
func runDrainCase(d *deployment) (broken bool, err error) {
	const (
		fronts, sides = 3, 8
		jobGap        = 10 * time.Millisecond
	)
	if err := d.startAll(fronts, sides, func(int) string { return "a" }); err != nil {
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
				status, _ := d.submit(front(n%fronts), newID(), job{steps: []step{{count: 4, length: 400 * time.Millisecond}}}, 1500*time.Millisecond)
				mu.Lock()
				defer mu.Unlock()
				statuses[status]++
			})
		}
	})
	time.Sleep(4 * time.Second)
	id := "i-0-1"
	d.signal(fmt.Sprintf("executor-%d", side(0)), syscall.SIGUSR1)
	d.record("%s begins to drain", id)
	time.Sleep(time.Second)
	if d.trouble {
		status, err := d.oddHeartbeat(id, 0)
		if err != nil {
			return false, err
		}
		d.record("heartbeat of another writer without version, slots and cold_remaining_ms, state ready: answered %d", status)
	}
	time.Sleep(5 * time.Second)
	d.signal(fmt.Sprintf("executor-%d", side(0)), syscall.SIGUSR2)
	time.Sleep(1500 * time.Millisecond)
	close(stop)
	wg.Wait()
	d.record("jobs by status: %v", statuses)
	if statuses[http.StatusOK] == 0 {
		return false, fmt.Errorf("no job was done")
	}
	return d.judgeDrain(id)
}

// oddHeartbeat sends a heartbeat that lacks fields to the agent of an executor.
func (d *deployment) oddHeartbeat(id string, i int) (status int, err error) {
	last, ok := d.lastAcknowledged(id)
	if !ok {
		return 0, fmt.Errorf("%s has no acknowledged heartbeat", id)
	}
	body, _ := json.Marshal(map[string]any{
		"service": service, "address": d.at(side(i), appPort), "zone": zones[i], "state": "ready",
		"capacity": map[string]any{"cpu": 32_000, "task_memory_mb": 65_536, "gpu": 0},
		"labels":   []string{"a", "r1-1"}, "clock_ms": time.Now().UnixMilli() - last.Born, "sequence": otherSequence, "born": last.Born,
	})
	c := http.Client{Timeout: time.Second}
	a, err := c.Post("http://"+d.at(side(i), controlPort)+"/api/instances/"+id+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	_ = a.Body.Close()
	return a.StatusCode, nil
}

// lastAcknowledged returns the last acknowledged heartbeat of an executor.
func (d *deployment) lastAcknowledged(id string) (last event, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.events {
		if e.ID == id && e.What == "acknowledged" {
			last, ok = e, true
		}
	}
	return last, ok
}

// judgeDrain reports whether a task started on the executor after drainBound.
func (d *deployment) judgeDrain(id string) (broken bool, err error) {
	d.mu.Lock()
	events := append([]event(nil), d.events...)
	d.mu.Unlock()
	var acked time.Time
	late := 0
	open := map[string]bool{} // the tasks that started too late and have not ended
	for _, e := range events {
		at := time.Unix(0, e.At)
		if e.ID == id && e.What != "start" {
			delete(open, e.Task)
		}
		switch {
		case e.ID != id:
		case e.What == "left":
			d.record("    %8.3f %s left", d.since(at), id)
		case e.What == "acknowledged":
			d.record("    %8.3f heartbeat %d of %s, %s, acknowledged", d.since(at), e.Sequence, id, e.State)
			if e.State == "draining" && acked.IsZero() {
				acked = at
			}
		case e.What == "start" && !acked.IsZero() && at.After(acked.Add(drainBound)):
			open[e.Task] = true
			if late++; late <= 20 {
				d.record("    %8.3f DRAIN: %s started on %s, %.3f s after the acknowledgement", d.since(at), e.Task, id, at.Sub(acked).Seconds())
			}
		}
	}
	if acked.IsZero() {
		return false, fmt.Errorf("the drain was not acknowledged")
	}
	d.record("%d tasks started on the draining executor later than %v after the acknowledgement, %d of them ended with it", late, drainBound, len(open))
	return late > 0, nil
}
