package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"syscall"
	"time"

	"cyclamenrelay.example/model"
	"cyclamenrelay.example/place"
	"cyclamenrelay.example/rules"
	"cyclamenrelay.example/share"
	"cyclamenrelay.example/wire"
)

const (
	slots        = 8
	taskInterval = 500 * time.Microsecond // between the arrivals of tasks at a core
	rounds       = 20
	roundTasks   = 1000
	queuedTasks  = 20_000
	jobAgents    = 64 // agents requested as candidates of a job
)

// stopwatch sums this process's processor time and allocations between start
// and stop.
type stopwatch struct {
	cpu    time.Duration
	allocs uint64

	startCPU    time.Duration
	startAllocs uint64
}

func (s *stopwatch) start() {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	s.startAllocs, s.startCPU = m.Mallocs, ownCPU()
}

func (s *stopwatch) stop() {
	s.cpu += ownCPU() - s.startCPU
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	s.allocs += m.Mallocs - s.startAllocs
}

// perOperation divides the sums by n operations; micros is in microseconds of
// processor time.
func (s *stopwatch) perOperation(n int) (micros, allocs float64) {
	return float64(s.cpu) / float64(time.Microsecond) / float64(n), float64(s.allocs) / float64(n)
}

func ownCPU() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// retainedHeap returns the heap bytes that the value returned by f retains.
func retainedHeap(f func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	v := f()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(v)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// coreFixture is an entry's placement core that knows targets through heartbeats.
type coreFixture struct {
	core    *place.Core
	now     time.Time
	seq     uint64
	targets int
}

func newCoreFixture(targets, free int) *coreFixture {
	set, _ := rules.Compile(newConfig(teams, kindRules, 0))
	s := place.DefaultSettings()
	s.DataCentres = []string{"dc-0"}
	f := &coreFixture{core: place.New(s, set, rand.New(rand.NewPCG(1, 1))), now: time.Unix(1000, 0), targets: targets}
	f.sendHeartbeats(free)
	return f
}

// sendHeartbeats passes a heartbeat of each target to the core; free is the number of
// free slots in each heartbeat.
func (f *coreFixture) sendHeartbeats(free int) {
	f.seq++
	for i := range f.targets {
		f.core.Step(f.now, place.Announced{Announce: announcement(i, f.seq, free)})
	}
}

func announcement(i int, seq uint64, free int) wire.Announce {
	name := fmt.Sprint("agent-", i)
	return wire.Announce{
		Self: wire.Node{Name: name, Address: "10.0.0.1:7400", DataCentre: "dc-0", Roles: []string{"agent"}, Incarnation: 1},
		Target: &model.Target{
			Name: "target-" + name, DataCentre: "dc-0", Slots: slots, MaxConns: 64,
			Labels: model.Labels{"rack": fmt.Sprint(i / 3), "dataCentre": "dc-0", "executor": "board"},
		},
		Free: free, Seq: seq,
	}
}

// measureCores measures the processor time, allocations and memory of the decision
// cores of an entry and of an agent.
func measureCores(_ context.Context, _ options, r *report) error {
	for _, n := range []int{11, 100, 1000, 4000} {
		x := float64(n)
		f := newCoreFixture(n, slots)
		task, heartbeat, sweep := stopwatch{}, stopwatch{}, stopwatch{}
		for range rounds {
			heartbeat.start()
			f.sendHeartbeats(slots)
			heartbeat.stop()
			task.start()
			f.runTasks()
			task.stop()
			sweep.start()
			for range 10 {
				f.now = f.now.Add(100 * time.Millisecond)
				f.core.Step(f.now, place.Tick{})
			}
			sweep.stop()
		}
		micros, allocs := task.perOperation(rounds * roundTasks)
		r.add("entry core: task", "targets", "us", x, micros)
		r.add("entry core: task allocations", "targets", "allocations", x, allocs)
		micros, _ = heartbeat.perOperation(rounds * n)
		r.add("entry core: heartbeat", "targets", "us", x, micros)
		micros, _ = sweep.perOperation(rounds * 10)
		r.add("entry core: sweep", "targets", "us", x, micros)
		job := model.Task{ID: "job", Labels: model.Labels{model.LabelKind: "kind-1"}}
		micros, _ = costPerCall(rounds, func() { f.core.Candidates(job, jobAgents) })
		r.add("entry core: candidates of a job", "targets", "us", x, micros)
		r.add("entry core: memory", "targets", "B", x, retainedHeap(func() any { return newCoreFixture(n, slots) }))
	}
	for _, n := range []int{queuedTasks / 4, queuedTasks / 2, queuedTasks} {
		f := newCoreFixture(11, 0)
		r.add("entry core: queue memory", "queued tasks", "B", float64(n), retainedHeap(func() any { return f.queueTasks(n) }))
	}
	for _, n := range []int{1, 4, 8, 32} {
		micros, allocs := agentTaskCost(n)
		r.add("agent core: task", "entries", "us", float64(n), micros)
		r.add("agent core: task allocations", "entries", "allocations", float64(n), allocs)
	}
	return nil
}

// runTasks passes roundTasks tasks and their answers through the core.
func (f *coreFixture) runTasks() {
	done := &model.Complete{}
	labels := model.Labels{model.LabelKind: "kind-1", model.LabelTeam: "team-1"}
	for i := range roundTasks {
		f.now = f.now.Add(taskInterval)
		t := model.Task{ID: fmt.Sprint(i), Labels: labels, TimeLeft: time.Minute, Idempotent: true}
		for _, e := range f.core.Step(f.now, place.Arrive{Task: t}) {
			if s, ok := e.(place.Start); ok {
				f.core.Step(f.now, place.Answer{Agent: s.Agent, Result: wire.Result{ID: t.ID, Complete: done, Free: slots}})
			}
		}
	}
}

func (f *coreFixture) queueTasks(n int) any {
	labels := model.Labels{model.LabelKind: "kind-1", model.LabelTeam: "team-1"}
	for i := range n {
		t := model.Task{ID: fmt.Sprintf("0123456789abcdef0123456789-%08d", i), Labels: labels, TimeLeft: time.Minute, Idempotent: true}
		f.core.Step(f.now, place.Arrive{Task: t})
	}
	return f
}

// agentTaskCost returns the cost of a task at an agent's core when n entries send
// tasks in turn.
func agentTaskCost(n int) (micros, allocs float64) {
	set, _ := rules.Compile(newConfig(teams, kindRules, 0))
	c := share.New(share.DefaultSettings(slots), set)
	now := time.Unix(1000, 0)
	var w stopwatch
	w.start()
	for i := range rounds * roundTasks {
		now = now.Add(taskInterval)
		entry := fmt.Sprint("entry-", i%n)
		t := model.Task{ID: fmt.Sprint(i), Labels: model.Labels{model.LabelKind: "kind-1"}}
		grant := uint64(0)
		for _, e := range c.Step(now, share.Demanded{Entry: entry, Demand: wire.Demand{Wants: []wire.ShareDemand{{Share: "kind-1", Count: 1}}}}) {
			if g, ok := e.(share.Grant); ok && g.Entry == entry {
				grant = g.Grant.ID
			}
		}
		c.Step(now, share.Start{Entry: entry, Start: wire.Start{Task: t, Grant: grant}})
		c.Step(now, share.Finished{ID: t.ID})
	}
	w.stop()
	return w.perOperation(rounds * roundTasks)
}
