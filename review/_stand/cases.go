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

// kinds returns the labels of an executor: its kind and its rack.
func kinds(i int) []string { return []string{"a", fmt.Sprintf("r1-%d", i/3)} }

// third returns the labels of an executor where each third one is of the kind b.
func third(i int) []string {
	if i%3 == 2 {
		return []string{"b", "r1-1"}
	}
	return []string{"a", "r1-1"}
}

// oddHeartbeat has another writer send one heartbeat to an agent, for a service that no
// configuration names, while the agent's executor works. The rule is TWICE.
func oddHeartbeat(e env) ([]string, error) {
	d := e.d
	if err := d.start(resources{CPU: 16000, Memory: 32768}, kinds); err != nil {
		return nil, err
	}
	if err := d.awaitServing(e.ctx, d.configuration(1, 1.6, 1500*time.Millisecond, 3*time.Second)); err != nil {
		return nil, err
	}
	var wg sync.WaitGroup
	for range 30 {
		wg.Go(func() {
			d.submit(e.ctx, job{
				id: newID(), spec: taskSpec{WorkMS: 900, CPU: 2500}, deadline: 2500 * time.Millisecond,
				steps: []step{{Count: 2, CPU: 2500, Memory: 64, Estimated: 900}},
			}, 2)
		})
		if !pause(e.ctx, 50*time.Millisecond) {
			return nil, e.ctx.Err()
		}
	}
	if e.trouble {
		x := d.execs[0]
		for _, o := range d.execs {
			if o.inProgress() > x.inProgress() {
				x = o
			}
		}
		body, _ := json.Marshal(map[string]any{
			"service": "svc-not-named", "address": x.address, "zone": x.m.zone, "version": "v9", "slots": 8, "state": "ready",
			"cold_remaining_ms": 0, "capacity": x.capacity, "labels": x.labels, "clock_ms": 1000, "sequence": 1, "born": time.Now().UnixMilli(),
		})
		status, answer, err := call(e.ctx, http.MethodPost, fmt.Sprintf("http://%s:%d/api/instances/i-0dd00001/heartbeat", x.m.ip, portControl), "", nil, bytes.NewReader(body))
		e.rec.event("heartbeat of another writer to %s: %d %s %v", x.m.name, status, answer, err)
	}
	wg.Wait()
	pause(e.ctx, 2*time.Second)
	return twice(e.rec.intervals()), nil
}

// twice returns the breaks of the rule that no task runs twice at the same time.
func twice(runs []interval) []string {
	var out []string
	for _, p := range overlaps(runs) {
		a, b := p[0], p[1]
		out = append(out, fmt.Sprintf("TWICE: %s ran at %s (run %d, %.3f to %.3f s, %s) and at %s (run %d, %.3f to %.3f s, %s)",
			a.task, a.machine, a.run, a.from.Seconds(), a.to.Seconds(), a.how, b.machine, b.run, b.from.Seconds(), b.to.Seconds(), b.how))
	}
	return out
}

// cancelElsewhere has clients cancel their jobs. The rule is UNASKED.
func cancelElsewhere(e env) ([]string, error) {
	d := e.d
	if err := d.start(resources{CPU: 16000, Memory: 32768}, kinds); err != nil {
		return nil, err
	}
	if err := d.awaitServing(e.ctx, d.configuration(1, 1.6, 20*time.Second, 3*time.Second)); err != nil {
		return nil, err
	}
	type cancelled struct {
		id    string
		acked time.Duration
	}
	const jobs, moved, cancels = 16, 8, 4
	var mu sync.Mutex
	var acks []cancelled
	var wg sync.WaitGroup
	from, to := d.fronts[0], d.fronts[0]
	if e.trouble {
		to = d.fronts[1]
		e.rec.event("%d of %d clients move from %s to %s: their new connections go there", moved, jobs, from.zone, to.zone)
	}
	for i := range jobs {
		j := job{
			id: newID(), spec: taskSpec{WorkMS: 1800, CPU: 1000}, deadline: 20 * time.Second,
			steps: []step{
				{Count: 2, CPU: 1000, Memory: 64, Estimated: 1800},
				{Count: 2, CPU: 1000, Memory: 64, Estimated: 1800, After: []int{0}},
				{Count: 2, CPU: 1000, Memory: 64, Estimated: 1800, After: []int{1}},
				{Count: 2, CPU: 1000, Memory: 64, Estimated: 1800, After: []int{2}},
			},
		}
		wg.Go(func() { _, _, _ = d.submitOnce(e.ctx, from, j) })
		if i >= cancels { // those that cancel are clients that move
			continue
		}
		wg.Go(func() {
			pause(e.ctx, 600*time.Millisecond)
			status, err := d.cancelJob(e.ctx, to, j.id)
			if err == nil && (status/100 == 2 || status == http.StatusGone) {
				mu.Lock()
				defer mu.Unlock()
				acks = append(acks, cancelled{j.id, e.rec.now()})
			}
		})
	}
	wg.Wait()
	const cancelBound = 3 * time.Second
	var out []string
	for _, r := range e.rec.intervals() {
		for _, c := range acks {
			if r.task[:16] != c.id {
				continue
			}
			if r.from > c.acked+cancelBound {
				out = append(out, fmt.Sprintf("UNASKED: %s started at %.3f s, the job's cancelling was acknowledged at %.3f s", r.task, r.from.Seconds(), c.acked.Seconds()))
			}
		}
	}
	if len(acks) < cancels {
		return out, fmt.Errorf("%d of %d cancels were acknowledged", len(acks), cancels)
	}
	return out, nil
}

// drainWaiting stops an entry by SIGTERM while jobs that it has read wait for room at the
// executors. The rule is LOST.
func drainWaiting(e env) ([]string, error) {
	d := e.d
	if err := d.start(resources{CPU: 4000, Memory: 32768}, kinds); err != nil {
		return nil, err
	}
	if err := d.awaitServing(e.ctx, d.configuration(1, 1.6, 30*time.Second, 10*time.Second)); err != nil {
		return nil, err
	}
	type cut struct {
		id   string
		sent time.Duration
		at   time.Duration
	}
	var mu sync.Mutex
	var cuts []cut
	var wg sync.WaitGroup
	m := d.fronts[0]
	for range 2 * len(d.sides) {
		j := job{
			id: newID(), spec: taskSpec{WorkMS: 7000, CPU: 4000}, deadline: 30 * time.Second,
			steps: []step{{Count: 1, CPU: 4000, Memory: 64, Estimated: 7000}},
		}
		wg.Go(func() {
			sent := e.rec.now()
			if _, _, err := d.submitOnce(e.ctx, m, j); err != nil {
				mu.Lock()
				defer mu.Unlock()
				cuts = append(cuts, cut{j.id, sent, e.rec.now()})
			}
		})
		pause(e.ctx, 10*time.Millisecond)
	}
	pause(e.ctx, 500*time.Millisecond)
	termAt := e.rec.now()
	if e.trouble {
		m.signal(syscall.SIGTERM, true)
		select {
		case <-m.done:
			e.rec.event("%s has ended", m.name)
		case <-time.After(gracePeriod):
			m.signal(syscall.SIGKILL, true)
		}
	}
	wg.Wait()
	var out []string
	lastSixth := termAt + gracePeriod*5/6
	for _, c := range cuts {
		atWork := false
		for _, r := range e.rec.intervals() {
			atWork = atWork || r.task[:16] == c.id && r.from < termAt+gracePeriod && r.to > lastSixth
		}
		if !atWork && c.at > c.sent+200*time.Millisecond && c.at < termAt+gracePeriod+time.Second {
			out = append(out, fmt.Sprintf("LOST: job %s, sent at %.3f s, was cut off without an answer at %.3f s; SIGTERM at %.3f s; no executor was at work on it",
				c.id, c.sent.Seconds(), c.at.Seconds(), termAt.Seconds()))
		}
	}
	return out, nil
}

// frozenEntry freezes an entry for two seconds, while an executor crashes and comes back as
// one of another kind. The rule is ROUTE.
func frozenEntry(e env) ([]string, error) {
	const (
		rounds                = 14
		calm                  = 1500 * time.Millisecond
		before, down, after   = 700 * time.Millisecond, 500 * time.Millisecond, 800 * time.Millisecond
		jobInterval, deadline = 20 * time.Millisecond, 2500 * time.Millisecond
	)
	d := e.d
	if err := d.start(resources{CPU: 16000, Memory: 32768}, third); err != nil {
		return nil, err
	}
	if err := d.awaitServing(e.ctx, d.configuration(1, 1.6, deadline, 2*time.Second)); err != nil {
		return nil, err
	}
	front := d.fronts[0]
	var mu sync.Mutex
	required := map[string]string{} // labels by job
	ended := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-ended:
				return
			case <-time.After(jobInterval):
			}
			j := job{
				id: newID(), spec: taskSpec{WorkMS: 200, CPU: 2500}, deadline: deadline,
				steps: []step{{Count: 2, CPU: 2500, Memory: 64, Estimated: 200, Label: []string{"a", "b"}[i%2]}},
			}
			mu.Lock()
			required[j.id] = j.steps[0].Label
			mu.Unlock()
			wg.Go(func() { _, _, _ = d.submitOnce(e.ctx, front, j) })
		}
	})
	for round := range rounds {
		pause(e.ctx, calm)
		if !e.trouble {
			pause(e.ctx, before+down+after)
			continue
		}
		x := d.execs[round%len(d.execs)]
		kind := "a"
		if x.labels[0] == "a" {
			kind = "b"
		}
		front.signal(syscall.SIGSTOP, false)
		pause(e.ctx, before)
		if err := x.crash(down, fmt.Sprintf("i-%08x", 0x8f000000+round), kind); err != nil {
			return nil, err
		}
		pause(e.ctx, after)
		front.signal(syscall.SIGCONT, false)
	}
	pause(e.ctx, deadline)
	close(ended)
	wg.Wait()
	var out []string
	for _, r := range e.rec.intervals() {
		if want := required[r.task[:16]]; want != "" && want != r.labels[0] {
			out = append(out, fmt.Sprintf("ROUTE: %s of kind %s started %s at %.3f s, which requires %s", r.machine, r.labels[0], r.task, r.from.Seconds(), want))
		}
	}
	return out, nil
}

// rebornExecutor freezes an agent for less than half a second, while its executor crashes
// and starts again under its ID. The rule is TWICE.
func rebornExecutor(e env) ([]string, error) {
	const (
		rounds              = 80
		calm                = 700 * time.Millisecond
		before, down, after = 100 * time.Millisecond, 100 * time.Millisecond, 20 * time.Millisecond
		jobInterval         = 5 * time.Millisecond
		deadline            = 2500 * time.Millisecond
	)
	d := e.d
	if err := d.start(resources{CPU: 16000, Memory: 32768}, third); err != nil {
		return nil, err
	}
	if err := d.awaitServing(e.ctx, d.configuration(1, 1.6, deadline, 2*time.Second)); err != nil {
		return nil, err
	}
	ended := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-ended:
				return
			case <-time.After(jobInterval):
			}
			wg.Go(func() {
				_, _, _ = d.submitOnce(e.ctx, d.fronts[i%len(d.fronts)], job{
					id: newID(), spec: taskSpec{WorkMS: 150, CPU: 500}, deadline: deadline,
					steps: []step{{Count: 2, CPU: 500, Memory: 64, Estimated: 150, Label: "b"}},
				})
			})
		}
	})
	for round := range rounds {
		pause(e.ctx, calm)
		if !e.trouble {
			pause(e.ctx, before+down+after)
			continue
		}
		x := d.execs[2+round%3*3] // of the kind b
		x.m.signal(syscall.SIGSTOP, false)
		pause(e.ctx, before)
		if err := x.crash(down, x.id, x.labels[0]); err != nil {
			return nil, err
		}
		pause(e.ctx, after)
		x.m.signal(syscall.SIGCONT, false)
	}
	pause(e.ctx, deadline)
	close(ended)
	wg.Wait()
	return twice(e.rec.intervals()), nil
}
