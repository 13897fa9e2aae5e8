package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Bounds of the platform for executors.
const (
	holdLimit    = 1000 * time.Millisecond
	heartbeat    = 1500 * time.Millisecond
	maxHoldWait  = 2000 * time.Millisecond
	maxEnded     = 500
	instanceHead = "X-Cyclamenrelay-Expected-Instance"
)

// resources are amounts of what tasks need and executors have.
type resources struct {
	CPU    int64 `json:"cpu"`
	Memory int64 `json:"task_memory_mb"`
	GPU    int64 `json:"gpu"`
}

// executor is a stand-in for the executor on one side machine, a sound one.
type executor struct {
	d        *deployment
	m        *machine
	capacity resources
	labels   []string
	address  string
	srv      *http.Server
	stop     context.CancelFunc
	ctx      context.Context

	mu       sync.Mutex
	id       string
	born     time.Time
	fence    uint64
	until    time.Duration // end of the lease, by the executor's clock
	running  map[string]*execRun
	highest  map[string]uint64 // highest run stopped or ended here, by task
	ended    []endedRun
	lastEnd  int64
	changed  chan struct{} // closed at the next end
	sequence int64
	down     bool // between two incarnations
}

// execRun is a run in progress.
type execRun struct {
	run  uint64
	spec taskSpec
	need resources
	at   time.Time
	ends time.Time
}

type endedRun struct {
	n    int64
	task string
	run  uint64
	how  string
}

// taskSpec is what the clients' task_spec says: the time of work of each task, and what
// the task takes of the executor.
type taskSpec struct {
	WorkMS int64 `json:"work_ms"`
	CPU    int64 `json:"cpu"`
}

func newExecutor(d *deployment, m *machine, i int, capacity resources, labels []string) (*executor, error) {
	ctx, cancel := context.WithCancel(context.Background())
	x := &executor{d: d, m: m, capacity: capacity, labels: labels, address: fmt.Sprintf("%s:%d", m.ip, portApp), ctx: ctx, stop: cancel}
	x.reset(fmt.Sprintf("i-%08x", 0x7f3a0000+i))
	if err := x.listen(); err != nil {
		cancel()
		return nil, err
	}
	go x.work()
	go x.beats()
	return x, nil
}

// listen serves the executor's address.
func (x *executor) listen() error {
	l, err := net.Listen("tcp", x.address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", x.handleStart)
	mux.HandleFunc("POST /api/run-stop", x.handleStop)
	mux.HandleFunc("POST /api/hold", x.handleHold)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	srv := &http.Server{Handler: mux}
	x.srv = srv
	go func() { _ = srv.Serve(l) }()
	return nil
}

// crash ends the executor, and starts a new incarnation with the ID and of the kind at its
// address after the time down.
func (x *executor) crash(down time.Duration, id, kind string) error {
	x.d.rec.event("executor %s of %s crashes for %v; then it is %s of kind %s", x.id, x.m.name, down, id, kind)
	x.mu.Lock()
	x.down = true
	x.mu.Unlock()
	_ = x.srv.Close()
	x.reset(id)
	pause(x.ctx, down)
	x.reset(id)
	x.mu.Lock()
	x.labels = []string{kind, x.labels[1]}
	x.down = false
	x.mu.Unlock()
	if err := x.listen(); err != nil {
		return err
	}
	go x.beat()
	return nil
}

// reset begins a new life of the executor, which knows nothing of before.
func (x *executor) reset(id string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for task, r := range x.running {
		x.d.rec.runEnded(x.m.name, task, r.run, "crashed")
	}
	x.id, x.born, x.fence, x.until = id, time.Now(), 0, 0
	x.running, x.highest, x.ended, x.lastEnd, x.sequence = map[string]*execRun{}, map[string]uint64{}, nil, 0, 0
	x.changed = make(chan struct{})
}

// inProgress returns the number of runs in progress.
func (x *executor) inProgress() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.running)
}

func (x *executor) close() {
	x.stop()
	_ = x.srv.Close()
}

// clock returns the executor's steady clock. The caller holds mu.
func (x *executor) clock() time.Duration { return time.Since(x.born) }

// work ends the runs that are done, and all when the lease has lapsed.
func (x *executor) work() {
	tick := time.NewTicker(2 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-x.ctx.Done():
			return
		case <-tick.C:
		}
		x.mu.Lock()
		x.advance()
		x.mu.Unlock()
	}
}

// advance brings the runs up to date. The caller holds mu.
func (x *executor) advance() {
	now, lapsed := time.Now(), x.clock() > x.until
	for task, r := range x.running {
		switch {
		case now.After(r.ends):
			x.end(task, r, "done")
		case lapsed:
			x.end(task, r, "lapsed")
		}
	}
}

// end ends a run. The caller holds mu.
func (x *executor) end(task string, r *execRun, how string) {
	delete(x.running, task)
	x.highest[task] = max(x.highest[task], r.run)
	x.lastEnd++
	x.ended = append(x.ended, endedRun{x.lastEnd, task, r.run, how})
	x.d.rec.runEnded(x.m.name, task, r.run, how)
	close(x.changed)
	x.changed = make(chan struct{})
}

type order struct {
	Task  string `json:"task"`
	Run   uint64 `json:"run"`
	Spec  string `json:"task_spec"`
	Until int64  `json:"deadline_ms"`
	Fence uint64 `json:"fencing_token"`
	Seen  int64  `json:"seen_upto"`
	Wait  int64  `json:"wait_ms"`
}

// read decodes an order and checks the intended instance. It has answered when it
// returns false.
func (x *executor) read(w http.ResponseWriter, r *http.Request) (o order, ok bool) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return o, false
	}
	if json.Unmarshal(b, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.down {
		panic(http.ErrAbortHandler)
	}
	if want := r.Header.Get(instanceHead); want != "" && want != x.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	return o, true
}

// answer responds with the clock and, if it isn't empty, a reason. The caller holds mu.
func (x *executor) answer(w http.ResponseWriter, reason string) {
	body := map[string]any{"clock_ms": x.clock().Milliseconds()}
	status := http.StatusOK
	if reason != "" {
		status, body["reason"] = http.StatusConflict, reason
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// extend extends the lease, and never shortens it. The caller holds mu.
func (x *executor) extend(until int64) {
	limit := x.clock() + holdLimit
	x.until = max(x.until, min(time.Duration(until)*time.Millisecond, limit))
}

func (x *executor) handleStart(w http.ResponseWriter, r *http.Request) {
	o, ok := x.read(w, r)
	if !ok {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.answer(w, x.begin(o))
}

// begin carries out a start, and returns the reason if it doesn't. The caller holds mu.
func (x *executor) begin(o order) (reason string) {
	x.advance()
	if o.Fence < x.fence {
		return "fence"
	}
	x.fence = o.Fence
	current := x.running[o.Task]
	var spec taskSpec
	_ = json.Unmarshal([]byte(o.Spec), &spec)
	switch {
	case current != nil && current.run == o.Run:
		x.extend(o.Until)
		return ""
	case o.Run <= x.highest[o.Task] || current != nil:
		x.extend(o.Until)
		return "old"
	case o.Until < x.clock().Milliseconds():
		return "late"
	case x.used()+spec.CPU > x.capacity.CPU:
		x.extend(o.Until)
		return "room"
	}
	x.extend(o.Until)
	work := time.Duration(spec.WorkMS) * time.Millisecond
	now := time.Now()
	x.running[o.Task] = &execRun{run: o.Run, spec: spec, need: resources{CPU: spec.CPU}, at: now, ends: now.Add(work)}
	x.d.rec.runStarted(x.m.name, o.Task, o.Run, x.labels)
	return ""
}

// used returns the cpu in use. The caller holds mu.
func (x *executor) used() int64 {
	var sum int64
	for _, r := range x.running {
		sum += r.need.CPU
	}
	return sum
}

func (x *executor) handleStop(w http.ResponseWriter, r *http.Request) {
	o, ok := x.read(w, r)
	if !ok {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.advance()
	if o.Fence < x.fence {
		x.answer(w, "fence")
		return
	}
	x.fence = o.Fence
	x.highest[o.Task] = max(x.highest[o.Task], o.Run)
	if c := x.running[o.Task]; c != nil && c.run <= o.Run {
		x.end(o.Task, c, "stopped")
	}
	x.answer(w, "")
}

func (x *executor) handleHold(w http.ResponseWriter, r *http.Request) {
	o, ok := x.read(w, r)
	if !ok {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.advance()
	if o.Fence < x.fence {
		x.answer(w, "fence")
		return
	}
	x.fence = o.Fence
	if o.Until > 0 {
		x.extend(o.Until)
	}
	for len(x.ended) > 0 && x.ended[0].n <= o.Seen {
		x.ended = x.ended[1:]
	}
	if wait := min(time.Duration(o.Wait)*time.Millisecond, maxHoldWait); wait > 0 && len(x.ended) == 0 {
		changed := x.changed
		x.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(wait):
		case <-r.Context().Done():
		}
		x.mu.Lock()
		x.advance()
	}
	running, ended := [][]any{}, [][]any{}
	now := time.Now()
	for task, c := range x.running {
		percent := int(100 * now.Sub(c.at) / max(c.ends.Sub(c.at), 1))
		running = append(running, []any{task, c.run, "", min(percent, 99), c.need.CPU})
	}
	for _, e := range x.ended[:min(len(x.ended), maxEnded)] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"clock_ms": x.clock().Milliseconds(), "running": running, "ended": ended, "born": x.born.UnixMilli(),
	})
}

// beats sends heartbeats to the agent on the executor's machine.
func (x *executor) beats() {
	for x.ctx.Err() == nil {
		pause := heartbeat - 100*time.Millisecond + rand.N(200*time.Millisecond)
		if !x.beat() {
			pause = 200 * time.Millisecond
		}
		select {
		case <-x.ctx.Done():
		case <-time.After(pause):
		}
	}
}

// beat sends one heartbeat, and reports whether it was acknowledged.
func (x *executor) beat() bool {
	x.mu.Lock()
	if x.down {
		x.mu.Unlock()
		return false
	}
	x.sequence++
	id := x.id
	body, _ := json.Marshal(map[string]any{
		"service": x.d.service, "address": x.address, "zone": x.m.zone, "version": "v1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "capacity": x.capacity, "labels": x.labels, "clock_ms": x.clock().Milliseconds(),
		"sequence": x.sequence, "born": x.born.UnixMilli(),
	})
	x.mu.Unlock()
	ctx, cancel := context.WithTimeout(x.ctx, time.Second)
	defer cancel()
	status, _, err := call(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d/api/instances/%s/heartbeat", x.m.ip, portControl, id), "", nil, bytes.NewReader(body))
	return err == nil && status/100 == 2
}
