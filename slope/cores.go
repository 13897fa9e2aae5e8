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
	slots       = 8
	taskStep    = 500 * time.Microsecond // between tasks at a core
	rounds      = 20
	roundTasks  = 1000
	queuedTasks = 20_000
	jobAgents   = 64
)

// stopwatch adds up the process's processor time and allocations while it runs.
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

// per returns microseconds and allocations for each of n.
func (s *stopwatch) per(n int) (micros, allocs float64) {
	return float64(s.cpu) / float64(time.Microsecond) / float64(n), float64(s.allocs) / float64(n)
}

func ownCPU() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// held returns the bytes of the heap that what f returns keeps.
func held(f func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	v := f()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(v)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// rig is an entry's core with targets.
type rig struct {
	core    *place.Core
	now     time.Time
	seq     uint64
	targets int
}

func newRig(targets, free int) *rig {
	set, _ := rules.Compile(configOf(teams, kindRules, 0))
	s := place.DefaultSettings()
	s.Near = []string{"dc-0"}
	g := &rig{core: place.New(s, set, rand.New(rand.NewPCG(1, 1))), now: time.Unix(1000, 0), targets: targets}
	g.hear(free)
	return g
}

// hear gives the core a heartbeat of each target.
func (g *rig) hear(free int) {
	g.seq++
	for i := range g.targets {
		g.core.Step(g.now, place.Heard{Announce: announcement(i, g.seq, free)})
	}
}

func announcement(i int, seq uint64, free int) wire.Announce {
	name := fmt.Sprint("agent-", i)
	return wire.Announce{
		Self: wire.Node{Name: name, Address: "10.0.0.1:7400", DataCentre: "dc-0", Roles: []string{"agent"}, Incarnation: 1},
		Target: &model.Target{
			Name: "target-" + name, DataCentre: "dc-0", Slots: slots, Conns: 64,
			Labels: model.Labels{"rack": fmt.Sprint(i / 3), "dataCentre": "dc-0", "executor": "board"},
		},
		Free: free, Seq: seq,
	}
}

func measureCores(_ context.Context, _ options, r *report) error {
	for _, n := range []int{11, 100, 1000, 4000} {
		x := float64(n)
		g := newRig(n, slots)
		task, beat, sweep := stopwatch{}, stopwatch{}, stopwatch{}
		for range rounds {
			beat.start()
			g.hear(slots)
			beat.stop()
			task.start()
			g.tasks()
			task.stop()
			sweep.start()
			for range 10 {
				g.now = g.now.Add(100 * time.Millisecond)
				g.core.Step(g.now, place.Tick{})
			}
			sweep.stop()
		}
		micros, allocs := task.per(rounds * roundTasks)
		r.add("entry core: task", "targets", "us", x, micros)
		r.add("entry core: task allocations", "targets", "allocations", x, allocs)
		micros, _ = beat.per(rounds * n)
		r.add("entry core: heartbeat", "targets", "us", x, micros)
		micros, _ = sweep.per(rounds * 10)
		r.add("entry core: sweep", "targets", "us", x, micros)
		job := model.Task{ID: "job", Labels: model.Labels{model.LabelKind: "kind-1"}}
		micros, _ = repeat(rounds, func() { g.core.Candidates(job, jobAgents) })
		r.add("entry core: candidates of a job", "targets", "us", x, micros)
		r.add("entry core: memory", "targets", "B", x, held(func() any { return newRig(n, slots) }))
	}
	for _, n := range []int{queuedTasks / 4, queuedTasks / 2, queuedTasks} {
		g := newRig(11, 0)
		r.add("entry core: queue memory", "queued tasks", "B", float64(n), held(func() any { return g.queue(n) }))
	}
	for _, n := range []int{1, 4, 8, 32} {
		micros, allocs := agentCore(n)
		r.add("agent core: task", "entries", "us", float64(n), micros)
		r.add("agent core: task allocations", "entries", "allocations", float64(n), allocs)
	}
	return nil
}

// tasks passes a round of tasks and their answers through the core.
func (g *rig) tasks() {
	done := &model.Complete{}
	labels := model.Labels{model.LabelKind: "kind-1", model.LabelTeam: "team-1"}
	for i := range roundTasks {
		g.now = g.now.Add(taskStep)
		t := model.Task{ID: fmt.Sprint(i), Labels: labels, TimeLeft: time.Minute, Idempotent: true}
		for _, e := range g.core.Step(g.now, place.Arrive{Task: t}) {
			if s, ok := e.(place.Start); ok {
				g.core.Step(g.now, place.Answer{Agent: s.Agent, Result: wire.Result{ID: t.ID, Complete: done, Free: slots}})
			}
		}
	}
}

func (g *rig) queue(n int) any {
	labels := model.Labels{model.LabelKind: "kind-1", model.LabelTeam: "team-1"}
	for i := range n {
		t := model.Task{ID: fmt.Sprintf("0123456789abcdef0123456789-%08d", i), Labels: labels, TimeLeft: time.Minute, Idempotent: true}
		g.core.Step(g.now, place.Arrive{Task: t})
	}
	return g
}

// agentCore returns the cost of a task at an agent that n entries take turns to ask.
func agentCore(n int) (micros, allocs float64) {
	set, _ := rules.Compile(configOf(teams, kindRules, 0))
	c := share.New(share.DefaultSettings(slots), set)
	now := time.Unix(1000, 0)
	var w stopwatch
	w.start()
	for i := range rounds * roundTasks {
		now = now.Add(taskStep)
		entry := fmt.Sprint("entry-", i%n)
		t := model.Task{ID: fmt.Sprint(i), Labels: model.Labels{model.LabelKind: "kind-1"}}
		grant := uint64(0)
		for _, e := range c.Step(now, share.Demanded{Entry: entry, Demand: wire.Demand{Wants: []wire.Want{{Share: "kind-1", Count: 1}}}}) {
			if g, ok := e.(share.Grant); ok && g.Entry == entry {
				grant = g.Grant.ID
			}
		}
		c.Step(now, share.Start{Entry: entry, Start: wire.Start{Task: t, Grant: grant}})
		c.Step(now, share.Finished{ID: t.ID})
	}
	w.stop()
	return w.per(rounds * roundTasks)
}
