package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// cancelledJob is a job of the cancel case.
type cancelledJob struct {
	id       string
	at, by   int // the fronts that got the job and its cancel
	ackedAt  time.Time
	status   int    // of the cancel
	outcome  string // what the job's client got
	answered time.Time
}

// runCancelCase submits jobs of two steps and cancels them at other fronts, while all processes
// of the core are killed and are back within a second. It checks UNASKED: no task starts later
// than cancel_ms after the acknowledgement of its job's cancel, by a machine in touch.
func runCancelCase(d *deployment) (broken bool, err error) {
	const (
		fronts, jobs = 3, 60
		first        = 8 * time.Second
		second       = 300 * time.Millisecond
	)
	if err := d.startAll(fronts, 3, func(int) string { return "a" }); err != nil {
		return false, err
	}
	var all []*cancelledJob
	var wg sync.WaitGroup
	for i := range jobs {
		j := &cancelledJob{id: newID(), at: front(i % fronts), by: front((i + 1 + i/fronts%2) % fronts)}
		all = append(all, j)
		wg.Go(func() {
			status, body := d.submit(j.at, j.id, job{steps: []step{{count: 1, length: first}, {count: 1, length: second, after: []int{0}}}}, 20*time.Second)
			j.outcome, j.answered = fmt.Sprintf("%d %s", status, body), time.Now()
		})
	}
	time.Sleep(700 * time.Millisecond)
	d.record("%d jobs submitted", jobs)
	back := time.Now()
	if d.trouble {
		for i := range 3 {
			d.signal(fmt.Sprintf("keeper-%d", keeper(i)), syscall.SIGKILL)
		}
		d.record("all processes of the core killed")
		time.Sleep(300 * time.Millisecond)
		for i := range 3 {
			if err := d.startNode("keeper", keeper(i), i, false); err != nil {
				return false, err
			}
		}
		back = time.Now()
		d.record("all processes of the core started")
	}
	for _, j := range all {
		wg.Go(func() { d.cancelJob(j) })
		time.Sleep(60 * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
	return d.judgeCancels(all, back), nil
}

// cancelJob sends the cancel until it is acknowledged, as clients do after 503.
func (d *deployment) cancelJob(j *cancelledJob) {
	for range 5 {
		j.status, _ = d.call(http.MethodDelete, j.by, j.id, nil, 4*time.Second)
		if j.status/100 == 2 || j.status == http.StatusGone {
			j.ackedAt = time.Now()
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// judgeCancels reports whether a task started too late. The agents were in touch from contact
// after the core was back on.
func (d *deployment) judgeCancels(all []*cancelledJob, back time.Time) (broken bool) {
	d.mu.Lock()
	events := append([]event(nil), d.events...)
	d.mu.Unlock()
	late := 0
	for _, j := range all {
		d.record("job %s at front %d: cancel at front %d answered %d at %.3f; client got %q at %.3f", j.id, j.at, j.by, j.status, d.since(j.ackedAt), j.outcome, d.since(j.answered))
		for _, e := range events {
			if !strings.HasPrefix(e.Task, j.id+".") {
				continue
			}
			at := time.Unix(0, e.At)
			note := ""
			if e.What == "start" && !j.ackedAt.IsZero() && at.After(j.ackedAt.Add(cancelBound)) && at.After(back.Add(contact)) {
				late++
				note = fmt.Sprintf("  UNASKED: %.3f s after the acknowledgement", at.Sub(j.ackedAt).Seconds())
			}
			d.record("    %8.3f %s run %d %s on %s%s", d.since(at), e.Task, e.Run, e.What, e.ID, note)
		}
	}
	d.record("%d tasks started later than %v after the acknowledged cancel of their job", late, cancelBound)
	return late > 0
}
