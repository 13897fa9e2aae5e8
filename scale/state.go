package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"cyclamenrelay.example/ledger"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/rules"
	"cyclamenrelay.example/state"
)

// The size of the configuration and of jobs that the system is designed for.
const (
	teams     = 130
	kindRules = 40
	drains    = 200
	jobTasks  = 890
)

// ledgerNow is the time at which all commands are applied.
const ledgerNow = time.Hour

// configItems returns configuration items with versions from 1.
func configItems(teams, kinds, drains int) []model.Item {
	var out []model.Item
	add := func(s model.Section, name string, v any) {
		b, err := json.Marshal(v)
		if err != nil {
			panic(err)
		}
		n := uint64(len(out) + 1)
		out = append(out, model.Item{
			Key: model.ItemKey{Section: s, Name: name}, Count: 1, Version: n, Value: b,
			Operator: "operator-1", ChangeID: fmt.Sprintf("0123456789abcdef0123456789-%08d", n),
		})
	}
	for i := range teams {
		add(model.SectionTeam, fmt.Sprint("team-", i), model.Team{Quota: 100, Weight: 1})
	}
	for i := range kinds {
		add(model.SectionRule, fmt.Sprint("kind-", i), model.Rule{Work: fmt.Sprint("kind=kind-", i), Targets: "executor=board", Weight: 1, QueueBound: 1 << 20})
	}
	for i := range drains {
		add(model.SectionDrain, fmt.Sprint("drain-", i), model.Drain{Targets: fmt.Sprint("rack=r", i), Reason: "repair"})
	}
	return out
}

// newConfig returns a configuration with these numbers of teams, kind rules and drains.
func newConfig(teams, kinds, drains int) model.Config {
	items := configItems(teams, kinds, drains)
	c, _ := model.Config{}.Apply(model.Delta{To: uint64(len(items)), Items: items})
	return c
}

// costPerCall calls f n times and returns the mean processor time in microseconds
// and the mean allocations of a call.
func costPerCall(n int, f func()) (micros, allocs float64) {
	var w stopwatch
	w.start()
	for range n {
		f()
	}
	w.stop()
	return w.perOperation(n)
}

// measureState measures the time and memory that configurations and ledgers of several
// sizes take. Of n configuration items, 4/10 are teams, 1/10 rules and 1/2 drains.
func measureState(_ context.Context, _ options, r *report) error {
	for _, n := range []int{100, 400, 1000, 4000} {
		x := float64(n)
		c := newConfig(n*4/10, n/10, n/2)
		micros, _ := costPerCall(40, func() { rules.Compile(c) })
		r.add("configuration: compile", "items", "us", x, micros)
		d := model.Delta{From: c.Version(), To: c.Version() + 1, Items: []model.Item{{Key: model.ItemKey{Name: "x"}, Version: c.Version() + 1}}}
		micros, _ = costPerCall(40, func() { c.Apply(d) })
		r.add("configuration: apply a delta", "items", "us", x, micros)
		micros, _ = costPerCall(40, func() { c.DeltaSince(c.Version() - 1) })
		r.add("configuration: make a delta", "items", "us", x, micros)
		set, _ := rules.Compile(c)
		t := announcement(1, 1, slots).Target
		micros, _ = costPerCall(200, func() { set.ApplyOverlays(*t) })
		r.add("configuration: rules of a target", "items", "us", x, micros)
		r.add("configuration: memory at entry and agent", "items", "B", x, retainedHeap(func() any {
			c := newConfig(n*4/10, n/10, n/2)
			s, _ := rules.Compile(c)
			return []any{c, s}
		}))
		r.add("configuration: memory at keeper", "items", "B", x, retainedHeap(func() any { return changedConfig(n) }))
	}
	for _, n := range []int{2000, 10_000, 40_000} {
		x := float64(n)
		r.add("ledger: open jobs", "jobs", "B", x, retainedHeap(func() any { return openJobs(n) }))
		r.add("ledger: finished jobs", "jobs", "B", x, retainedHeap(func() any { return finishJobs(openJobs(n), n, 0) }))
		r.add("ledger: claims", "claims", "B", x, retainedHeap(func() any { return openClaims(n) }))
		r.add("ledger: snapshot of finished jobs", "jobs", "us", x, snapshotCost(n))
	}
	l := openJobs(10_000)
	micros, _ := costPerCall(1, func() { finishJobs(l, 10_000, 0) })
	r.add("ledger: finish a job", "jobs", "us", 10_000, micros/10_000)
	return nil
}

// changedConfig returns the keeper's configuration state machine after n changes
// of different items.
func changedConfig(n int) *state.Config {
	c := state.NewConfig()
	for _, i := range configItems(n*4/10, n/10, n/2) {
		b := state.ConfigCommands.MustEncode(state.Change{Change: model.Change{
			ID: i.ChangeID, Operator: i.Operator, Key: i.Key, Value: i.Value,
		}})
		c.Apply(i.Version, ledgerNow, b)
	}
	return c
}

var owner = ledger.Owner{Entry: "entry-1", Incarnation: 1}

func jobKey(i int) string { return fmt.Sprintf("0123456789abcdef0123456789-%08d", i) }

// openJobs returns a ledger with n open jobs.
func openJobs(n int) *ledger.Ledger {
	l := ledger.New()
	l.Apply(0, ledgerNow, ledger.Commands.MustEncode(ledger.SetLimits{
		Limits: ledger.Limits{Finished: time.Hour, Open: time.Hour, Records: 1 << 30, Bytes: 1 << 40},
	}))
	for i := range n {
		l.Apply(0, ledgerNow, openJob(jobKey(i)))
	}
	return l
}

// openJob returns the command that opens a job.
func openJob(key string) []byte {
	agents := make([]string, ledger.MaxAgents)
	for i := range agents {
		agents[i] = fmt.Sprintf("agent-%05d#1764831600000000000", i)
	}
	return ledger.Commands.MustEncode(ledger.OpenJob{Key: key, Digest: make([]byte, 32), Owner: owner, Tasks: jobTasks, Agents: agents})
}

// finishJob returns the command that finishes a job with an answer of answerSize bytes.
func finishJob(key string, answerSize int) []byte {
	outcomes := make([]byte, jobTasks)
	for i := range outcomes {
		outcomes[i] = byte(ledger.Complete)
	}
	return ledger.Commands.MustEncode(ledger.FinishJob{
		Key: key, Epoch: 1, Owner: owner, Status: ledger.Complete, Outcomes: outcomes, Answer: make([]byte, answerSize),
	})
}

// finishJobs finishes the first n jobs of the ledger and returns the ledger.
func finishJobs(l *ledger.Ledger, n, answerSize int) *ledger.Ledger {
	for i := range n {
		l.Apply(0, ledgerNow, finishJob(jobKey(i), answerSize))
	}
	return l
}

// snapshotCost returns the processor time in microseconds of a snapshot of n finished
// jobs.
func snapshotCost(n int) float64 {
	l := finishJobs(openJobs(n), n, 0)
	micros, _ := costPerCall(1, func() { l.Snapshot() })
	return micros
}

// openClaims returns a ledger with n open claims.
func openClaims(n int) *ledger.Ledger {
	l := openJobs(0)
	for i := range n {
		l.Apply(0, ledgerNow, ledger.Commands.MustEncode(ledger.OpenClaim{
			Key: jobKey(i), Digest: make([]byte, 32), Owner: owner, ID: "01234567-89ab-cdef-0123-456789abcdef",
		}))
	}
	return l
}
