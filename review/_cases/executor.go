package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// xrun is one run at an executor.
type xrun struct {
	task  string
	run   uint64
	began time.Time
	ends  time.Time
	cpu   int64
}

// begin is a start that an executor has carried out.
type begin struct {
	executor, task, spec string
	run                  uint64
	at                   time.Time
	labels               []string
	service              string
}

// finish is the end of a run.
type finish struct {
	executor, task, how string
	run                 uint64
	at                  time.Time
}

// journal collects what the executors have run.
type journal struct {
	mu     sync.Mutex
	begins []begin
	ends   []finish
}

func (j *journal) all() ([]begin, []finish) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]begin(nil), j.begins...), append([]finish(nil), j.ends...)
}

// executor is a stand-in for an executor of the platform (PROTOCOL.md, Running tasks). The
// task_spec of a task begins with "ms=N", its run time, and "cpu=N", its need.
type executor struct {
	id, service, zone string
	labels            []string
	cpu               int64
	guards            bool
	rec               *record
	jr                *journal
	side              *machine

	mu       sync.Mutex
	born     int64
	started  time.Time
	seq      int64
	state    string
	until    int64
	fence    uint64
	running  map[string]*xrun
	highest  map[string]uint64
	ended    [][]any
	nextEnd  int64
	changed  chan struct{}
	srv      *http.Server
	stopBeat chan struct{}
	beats    int // acknowledged heartbeats of this life
	dead     bool
	// upFor is how long the executor had been up when this life began to be seen.
	upFor time.Duration
	// late is the share of orders that are left unanswered and carried out 2 to 12 s later.
	late float64
}

func newExecutor(side *machine, id, service string, labels []string, cpu int64, rec *record, jr *journal) *executor {
	return &executor{id: id, service: service, zone: side.zone, labels: labels, cpu: cpu, guards: true, rec: rec, jr: jr, side: side, state: "ready"}
}

// start begins a new life of the executor: it listens and sends heartbeats.
func (x *executor) start() error {
	l, err := net.Listen("tcp", x.side.addr(appPort))
	if err != nil {
		return err
	}
	x.mu.Lock()
	x.dead, x.started, x.seq, x.state = false, time.Now(), int64(x.upFor/(1500*time.Millisecond)), "ready"
	x.born = time.Now().Add(-x.upFor).UnixMilli()
	x.until, x.fence, x.running, x.highest, x.ended, x.nextEnd = 0, 0, map[string]*xrun{}, map[string]uint64{}, nil, 0
	x.changed, x.stopBeat, x.beats = make(chan struct{}), make(chan struct{}), 0
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", x.handleStart)
	mux.HandleFunc("POST /api/run-stop", x.handleStop)
	mux.HandleFunc("POST /api/hold", x.handleHold)
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	x.srv = &http.Server{Handler: mux}
	srv, stop := x.srv, x.stopBeat
	x.mu.Unlock()
	x.rec.add("executor %s: starts on %s, labels %v, service %s", x.id, x.side.name, x.labels, x.service)
	go func() { _ = srv.Serve(l) }()
	go x.heartbeats(stop)
	go x.watch(stop)
	return nil
}

// crash ends the life of the executor at once.
func (x *executor) crash() {
	x.mu.Lock()
	x.rec.add("executor %s: crashes", x.id)
	for _, r := range x.running {
		x.note(r, "crashed")
	}
	x.running, x.dead, x.upFor = map[string]*xrun{}, true, 0
	close(x.stopBeat)
	srv := x.srv
	x.mu.Unlock()
	_ = srv.Close()
}

func (x *executor) clock() int64 { return (x.upFor + time.Since(x.started)).Milliseconds() + 1 }

// note records the end of a run. The caller holds mu.
func (x *executor) note(r *xrun, how string) {
	x.jr.mu.Lock()
	x.jr.ends = append(x.jr.ends, finish{x.id, r.task, how, r.run, time.Now()})
	x.jr.mu.Unlock()
	x.rec.add("executor %s: run %d of %s ends: %s", x.id, r.run, r.task, how)
}

// end ends a run and lists it. The caller holds mu.
func (x *executor) end(r *xrun, how string) {
	delete(x.running, r.task)
	x.highest[r.task] = max(x.highest[r.task], r.run)
	x.nextEnd++
	x.ended = append(x.ended, []any{x.nextEnd, r.task, r.run, how, ""})
	x.note(r, how)
	close(x.changed)
	x.changed = make(chan struct{})
}

// watch ends runs that are done, and all runs when the lease lapses.
func (x *executor) watch(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(3 * time.Millisecond):
		}
		x.mu.Lock()
		if !x.dead {
			for _, r := range x.running {
				switch {
				case x.clock() > x.until:
					x.end(r, "lapsed")
				case time.Now().After(r.ends):
					x.end(r, "done")
				}
			}
		}
		x.mu.Unlock()
	}
}

// heartbeats sends a heartbeat at once and then each 1.5 s.
func (x *executor) heartbeats(stop chan struct{}) {
	for {
		ok := x.beat()
		pause := 1500 * time.Millisecond
		if !ok {
			pause = 300 * time.Millisecond
		}
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
	}
}

var beatClient = &http.Client{Timeout: time.Second}

// beat sends one heartbeat and reports whether it was acknowledged.
func (x *executor) beat() bool {
	x.mu.Lock()
	if x.dead {
		x.mu.Unlock()
		return false
	}
	x.seq++
	body := map[string]any{
		"service": x.service, "address": x.side.addr(appPort), "zone": x.zone, "version": "v1", "slots": 8, "state": x.state, "cold_remaining_ms": 0,
		"capacity": map[string]any{"cpu": x.cpu, "task_memory_mb": 65536, "gpu": 0}, "labels": x.labels, "clock_ms": x.clock(), "sequence": x.seq, "born": x.born,
	}
	seq, state := x.seq, x.state
	x.mu.Unlock()
	b, _ := json.Marshal(body)
	r, err := beatClient.Post("http://"+x.side.addr(controlPort)+"/api/instances/"+x.id+"/heartbeat", "application/json", bytes.NewReader(b))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_ = r.Body.Close()
	if r.StatusCode/100 != 2 {
		return false
	}
	x.mu.Lock()
	x.beats++
	first := x.beats == 1
	x.mu.Unlock()
	if first || state != "ready" {
		x.rec.add("executor %s: heartbeat %d (%s) acknowledged", x.id, seq, state)
	}
	return true
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

// receive reads an order and checks its instance and fence. It returns with mu held, unless it
// has responded itself.
func (x *executor) receive(w http.ResponseWriter, r *http.Request) (o order, ok bool) {
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	x.mu.Lock()
	if x.late > 0 && rand.Float64() < x.late {
		born := x.born
		x.mu.Unlock()
		time.Sleep(2*time.Second + time.Duration(rand.Float64()*10*float64(time.Second)))
		x.mu.Lock()
		if x.born != born {
			x.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
	}
	switch {
	case x.dead:
		x.mu.Unlock()
		panic(http.ErrAbortHandler)
	case r.Header.Get("X-Cyclamenrelay-Expected-Instance") != x.id:
		x.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	case o.Fence < x.fence:
		x.answer(w, http.StatusConflict, map[string]any{"reason": "fence"})
		x.mu.Unlock()
		return o, false
	}
	x.fence = o.Fence
	return o, true
}

func (x *executor) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["clock_ms"], body["born"] = x.clock(), x.born
	b, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

// extend takes a deadline into the lease. The caller holds mu.
func (x *executor) extend(until int64) { x.until = max(x.until, min(until, x.clock()+holdLimitMS)) }

func (x *executor) handleStart(w http.ResponseWriter, r *http.Request) {
	o, ok := x.receive(w, r)
	if !ok {
		return
	}
	defer x.mu.Unlock()
	if o.Task == "" || o.Run < 1 {
		x.answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	if o.Until <= x.clock() {
		x.answer(w, http.StatusConflict, map[string]any{"reason": "late"})
		return
	}
	x.extend(o.Until)
	var ms, cpu int64
	_, _ = fmt.Sscanf(o.Spec, "ms=%d cpu=%d", &ms, &cpu)
	now := x.running[o.Task]
	switch {
	case now != nil && now.run == o.Run:
		x.answer(w, http.StatusOK, map[string]any{})
		return
	case now != nil || o.Run <= x.highest[o.Task]:
		x.answer(w, http.StatusConflict, map[string]any{"reason": "old"})
		return
	}
	used := cpu
	for _, y := range x.running {
		used += y.cpu
	}
	if x.guards && used > x.cpu {
		x.answer(w, http.StatusConflict, map[string]any{"reason": "room"})
		return
	}
	x.running[o.Task] = &xrun{task: o.Task, run: o.Run, began: time.Now(), ends: time.Now().Add(time.Duration(ms) * time.Millisecond), cpu: cpu}
	x.jr.mu.Lock()
	x.jr.begins = append(x.jr.begins, begin{x.id, o.Task, o.Spec, o.Run, time.Now(), x.labels, x.service})
	x.jr.mu.Unlock()
	x.rec.add("executor %s: run %d of %s begins", x.id, o.Run, o.Task)
	x.answer(w, http.StatusOK, map[string]any{})
}

func (x *executor) handleStop(w http.ResponseWriter, r *http.Request) {
	o, ok := x.receive(w, r)
	if !ok {
		return
	}
	defer x.mu.Unlock()
	x.highest[o.Task] = max(x.highest[o.Task], o.Run)
	if y := x.running[o.Task]; y != nil && y.run <= o.Run {
		// A stop takes a moment; the run is listed as running until then.
		y.ends = time.Now().Add(time.Hour)
		time.AfterFunc(20*time.Millisecond, func() {
			x.mu.Lock()
			defer x.mu.Unlock()
			if x.running[o.Task] == y {
				x.end(y, "stopped")
			}
		})
	}
	x.answer(w, http.StatusOK, map[string]any{})
}

func (x *executor) handleHold(w http.ResponseWriter, r *http.Request) {
	o, ok := x.receive(w, r)
	if !ok {
		return
	}
	if o.Until > 0 {
		x.extend(o.Until)
	}
	for len(x.ended) > 0 && x.ended[0][0].(int64) <= o.Seen {
		x.ended = x.ended[1:]
	}
	if len(x.ended) == 0 && o.Wait > 0 {
		changed := x.changed
		x.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
		case <-time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond):
		}
		x.mu.Lock()
	}
	defer x.mu.Unlock()
	if x.dead {
		panic(http.ErrAbortHandler)
	}
	running := [][]any{}
	for _, y := range x.running {
		percent := 100 * time.Since(y.began) / max(y.ends.Sub(y.began), 1)
		running = append(running, []any{y.task, y.run, "", int(min(percent, 100)), 0})
	}
	ended := x.ended[:min(len(x.ended), 500)]
	if ended == nil {
		ended = [][]any{}
	}
	x.answer(w, http.StatusOK, map[string]any{"running": running, "ended": ended})
}

// jobOf returns the ID of a task's job.
func jobOf(task string) string { return strings.SplitN(task, ".", 2)[0] }
