package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	holdLimit   = time.Second           // bounds.hold_limit_ms
	stopTime    = 20 * time.Millisecond // a stop takes at most bounds.stop_grace_ms
	maxHoldWait = 2 * time.Second
	listedEnds  = 500
)

// executor is a stand-in of an executor, as PROTOCOL.md describes it ("Running tasks"). The
// spec of a job has the run time of each step's tasks, in milliseconds.
type executor struct {
	id, service, zone, kind, rack, address, agent string
	cpu, memory                                   int64
	beat                                          time.Duration
	late                                          float64 // share of the orders that are carried out late, without an answer
	born                                          int64
	began                                         time.Time

	mu       sync.Mutex
	fence    uint64
	deadline int64 // end of the lease by the executor's clock, in ms
	running  map[string]*execution
	highest  map[string]uint64 // highest run that was stopped or has ended, by task
	ended    []endedRun
	lastEnd  int64
	changed  chan struct{} // closed when a run ends
	sequence int64
	state    string
	beatNow  chan struct{}
}

// execution is a run in progress.
type execution struct {
	run      uint64
	began    time.Time
	length   time.Duration
	stopping bool
	timer    *time.Timer
}

type endedRun struct {
	number int64
	row    []any
}

// event is a line of the executor's output.
type event struct {
	At       int64  `json:"at"` // Unix nanoseconds
	ID       string `json:"id"`
	Kind     string `json:"kind"`
	What     string `json:"what"`
	Task     string `json:"task,omitempty"`
	Run      uint64 `json:"run,omitempty"`
	State    string `json:"state,omitempty"`
	Sequence int64  `json:"sequence,omitempty"`
	Born     int64  `json:"born,omitempty"`
}

var outputMu sync.Mutex

func (x *executor) emit(what, task string, run uint64) {
	x.print(event{At: time.Now().UnixNano(), ID: x.id, Kind: x.kind, What: what, Task: task, Run: run})
}

// emitState reports a heartbeat that was acknowledged.
func (x *executor) emitState(what, state string, sequence int64) {
	x.print(event{At: time.Now().UnixNano(), ID: x.id, Kind: x.kind, What: what, State: state, Sequence: sequence, Born: x.born})
}

func (x *executor) print(e event) {
	b, _ := json.Marshal(e)
	outputMu.Lock()
	defer outputMu.Unlock()
	_, _ = os.Stdout.Write(append(b, '\n'))
}

func (x *executor) clock() int64 { return time.Since(x.began).Milliseconds() + 1 }

func runExecutor(args []string) int {
	x := &executor{
		born: time.Now().UnixMilli(), began: time.Now(), running: map[string]*execution{}, highest: map[string]uint64{},
		changed: make(chan struct{}), state: "ready", beatNow: make(chan struct{}, 1), cpu: 32_000, memory: 65_536,
	}
	f := flag.NewFlagSet("executor", flag.ExitOnError)
	f.StringVar(&x.id, "id", "", "ID")
	f.StringVar(&x.service, "service", "", "service")
	f.StringVar(&x.zone, "zone", "", "zone")
	f.StringVar(&x.kind, "kind", "a", "label of the kind")
	f.StringVar(&x.rack, "rack", "r1-1", "label of the rack")
	f.StringVar(&x.address, "address", "", "IP address and port")
	f.StringVar(&x.agent, "agent", "", "control_plane address of the machine")
	f.DurationVar(&x.beat, "beat", 1500*time.Millisecond, "interval of heartbeats")
	f.Float64Var(&x.late, "late", 0, "share of the orders that get no answer and are carried out 2 to 12 s later")
	_ = f.Parse(args)
	l, err := net.Listen("tcp", x.address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalid
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", x.intended(x.start))
	mux.HandleFunc("POST /api/run-stop", x.intended(x.stop))
	mux.HandleFunc("POST /api/hold", x.intended(x.hold))
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	go x.drainOnSignal()
	go x.heartbeats()
	go x.lapses()
	fmt.Fprintln(os.Stderr, http.Serve(l, mux))
	return exitInvalid
}

// intended rejects calls for another incarnation.
func (x *executor) intended(h func(http.ResponseWriter, []byte)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get("X-Cyclamenrelay-Expected-Instance"); id != "" && id != x.id {
			x.answer(w, http.StatusMisdirectedRequest, nil)
			return
		}
		var b bytes.Buffer
		if _, err := b.ReadFrom(r.Body); err != nil {
			return
		}
		if rand.Float64() < x.late {
			time.Sleep(2*time.Second + rand.N(10*time.Second))
			h(discard{}, b.Bytes())
			panic(http.ErrAbortHandler)
		}
		h(w, b.Bytes())
	}
}

// discard is a ResponseWriter whose response nobody gets.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}

func (x *executor) answer(w http.ResponseWriter, status int, more map[string]any) {
	body := map[string]any{"clock_ms": x.clock(), "born": x.born}
	for k, v := range more {
		body[k] = v
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func reason(s string) map[string]any { return map[string]any{"reason": s} }

type order struct {
	Task     string `json:"task"`
	Run      uint64 `json:"run"`
	Spec     string `json:"task_spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    uint64 `json:"fencing_token"`
	Seen     int64  `json:"seen_upto"`
	Wait     int64  `json:"wait_ms"`
}

// admit decodes an order and checks its fencing token. The caller holds mu when it returns
// true.
func (x *executor) admit(w http.ResponseWriter, b []byte, o *order) bool {
	if err := json.Unmarshal(b, o); err != nil {
		x.answer(w, http.StatusBadRequest, nil)
		return false
	}
	x.mu.Lock()
	if o.Fence < x.fence {
		x.mu.Unlock()
		x.answer(w, http.StatusConflict, reason("fence"))
		return false
	}
	x.fence = o.Fence
	return true
}

// prolong takes a deadline over. A longer one than the limit is shortened.
func (x *executor) prolong(deadline int64) {
	x.deadline = max(x.deadline, min(deadline, x.clock()+holdLimit.Milliseconds()))
}

func (x *executor) start(w http.ResponseWriter, b []byte) {
	var o order
	if !x.admit(w, b, &o) {
		return
	}
	why := x.tryStart(o)
	x.mu.Unlock()
	if why != "" {
		x.answer(w, http.StatusConflict, reason(why))
		return
	}
	x.answer(w, http.StatusOK, nil)
}

// tryStart starts a run, or returns the reason of the rejection. The caller holds mu.
func (x *executor) tryStart(o order) string {
	if r := x.running[o.Task]; r != nil && r.run == o.Run && !r.stopping {
		x.prolong(o.Deadline)
		return ""
	}
	if o.Deadline < x.clock() {
		return "late"
	}
	x.prolong(o.Deadline)
	if o.Run <= x.highest[o.Task] {
		return "old"
	}
	if x.running[o.Task] != nil {
		return "room"
	}
	r := &execution{run: o.Run, began: time.Now(), length: runTime(o.Task, o.Spec)}
	x.running[o.Task] = r
	x.emit("start", o.Task, o.Run)
	r.timer = time.AfterFunc(r.length, func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.end(o.Task, r, "done")
	})
	return ""
}

// runTime returns the run time of a task, which has the name ID.K.STEP.INDEX.
func runTime(task, spec string) time.Duration {
	name, times := strings.Split(task, "."), strings.Fields(spec)
	if len(name) != 4 {
		return 0
	}
	step, err := strconv.Atoi(name[2])
	if err != nil || step >= len(times) {
		return 0
	}
	ms, _ := strconv.Atoi(times[step])
	return time.Duration(ms) * time.Millisecond
}

// end ends a run. The caller holds mu.
func (x *executor) end(task string, r *execution, how string) {
	if x.running[task] != r {
		return
	}
	r.timer.Stop()
	delete(x.running, task)
	x.highest[task] = max(x.highest[task], r.run)
	x.lastEnd++
	x.ended = append(x.ended, endedRun{x.lastEnd, []any{x.lastEnd, task, r.run, how, ""}})
	x.emit(how, task, r.run)
	close(x.changed)
	x.changed = make(chan struct{})
}

func (x *executor) stop(w http.ResponseWriter, b []byte) {
	var o order
	if !x.admit(w, b, &o) {
		return
	}
	x.highest[o.Task] = max(x.highest[o.Task], o.Run)
	if r := x.running[o.Task]; r != nil && r.run <= o.Run && !r.stopping {
		r.stopping = true
		time.AfterFunc(stopTime, func() {
			x.mu.Lock()
			defer x.mu.Unlock()
			x.end(o.Task, r, "stopped")
		})
	}
	x.mu.Unlock()
	x.answer(w, http.StatusOK, nil)
}

func (x *executor) hold(w http.ResponseWriter, b []byte) {
	var o order
	if !x.admit(w, b, &o) {
		return
	}
	if o.Deadline > 0 {
		x.prolong(o.Deadline)
	}
	for len(x.ended) > 0 && x.ended[0].number <= o.Seen {
		x.ended = x.ended[1:]
	}
	if len(x.ended) == 0 && o.Wait > 0 {
		changed := x.changed
		x.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(min(time.Duration(o.Wait)*time.Millisecond, maxHoldWait)):
		}
		x.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for task, r := range x.running {
		percent := int64(100)
		if r.length > 0 {
			percent = min(99, int64(100*time.Since(r.began)/r.length))
		}
		running = append(running, []any{task, r.run, "", percent, 100})
	}
	for _, e := range x.ended[:min(len(x.ended), listedEnds)] {
		ended = append(ended, e.row)
	}
	x.mu.Unlock()
	x.answer(w, http.StatusOK, map[string]any{"running": running, "ended": ended})
}

// lapses kills all that runs when the lease has lapsed.
func (x *executor) lapses() {
	for range time.Tick(5 * time.Millisecond) {
		x.mu.Lock()
		if x.clock() > x.deadline {
			for task, r := range x.running {
				x.end(task, r, "lapsed")
			}
		}
		x.mu.Unlock()
	}
}

// drainOnSignal makes the executor drain from SIGUSR1 on. It goes on serving until SIGUSR2, then
// it leaves and ends.
func (x *executor) drainOnSignal() {
	c, leave := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGUSR1)
	signal.Notify(leave, syscall.SIGUSR2)
	<-c
	x.mu.Lock()
	x.state = "draining"
	x.mu.Unlock()
	select {
	case x.beatNow <- struct{}{}:
	default:
	}
	<-leave
	client := http.Client{Timeout: time.Second}
	if a, err := client.Post("http://"+x.agent+"/api/instances/"+x.id+"/leave", "application/json", nil); err == nil {
		_ = a.Body.Close()
	}
	x.mu.Lock()
	x.emit("left", "", 0)
	os.Exit(0)
}

func (x *executor) heartbeats() {
	client := http.Client{Timeout: time.Second}
	for {
		pause := x.beat
		if !x.sendHeartbeat(&client) {
			pause = 100 * time.Millisecond
		}
		select {
		case <-x.beatNow:
		case <-time.After(pause):
		}
	}
}

// sendHeartbeat reports whether the heartbeat was acknowledged.
func (x *executor) sendHeartbeat(client *http.Client) bool {
	x.mu.Lock()
	x.sequence++
	state, sequence := x.state, x.sequence
	body, _ := json.Marshal(map[string]any{
		"service": x.service, "address": x.address, "zone": x.zone, "version": "v1", "slots": 8, "state": state,
		"cold_remaining_ms": 0, "capacity": map[string]any{"cpu": x.cpu, "task_memory_mb": x.memory, "gpu": 0},
		"labels": []string{x.kind, x.rack}, "clock_ms": x.clock(), "sequence": x.sequence, "born": x.born,
	})
	x.mu.Unlock()
	a, err := client.Post("http://"+x.agent+"/api/instances/"+x.id+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	x.mu.Lock()
	defer x.mu.Unlock()
	if a.StatusCode/100 == 2 {
		x.emitState("acknowledged", state, sequence)
	}
	return a.StatusCode/100 == 2
}
