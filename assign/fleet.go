// Package assign makes the placement and admission decisions of an entry: which target
// gets each task of a job, and whether the job can be done in time at all. It does no
// I/O.
package assign

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"cyclamenrelay.example/batch"
	"cyclamenrelay.example/evac"
	"cyclamenrelay.example/peers"
	"cyclamenrelay.example/sched"
	"cyclamenrelay.example/wire"
)

const (
	// remoteCost is the placement cost of a target in another data centre: a round trip
	// of a few milliseconds.
	remoteCost = 4 * time.Millisecond
	// maxLoadCost is the additional placement cost of a full target over an empty one.
	// maxSpreadCost bounds the difference in the cost of one target between entries.
	// They are about the age of a report and a third of it. With lower costs, entries choose
	// the same targets between two reports (TestManyEntriesSpreadLoad).
	maxLoadCost   = 50 * time.Millisecond
	maxSpreadCost = 30 * time.Millisecond
	// overtakenSlack is the slack beyond which a task is probably overtaken by tasks that
	// arrive while it waits. A forecast does not know these, so that it alone admits too
	// much of the less urgent work in an overload (TestForecastUnderOverload).
	overtakenSlack = 100 * time.Millisecond
)

// TargetView is the state of one target as seen by an entry: the last report of its
// agent, and what the entry itself has observed.
type TargetView struct {
	wire.LoadReport
	// Address is the link address of the agent.
	Address   string
	updatedAt time.Time // arrival of the last report or newer answer
	// assigned is the total need of this entry's tasks that wait or run on the target.
	assigned batch.Resources
	health   health
	speed    speed
	// spreadCost is a small placement cost that differs between entries, so that entries
	// with the same reports do not all choose the same targets.
	spreadCost time.Duration
}

// Fleet is an entry's view of all targets. Its methods must not be called concurrently.
type Fleet struct {
	// Name is the entry's name, DataCentre its data centre.
	Name, DataCentre string
	// FarFactor is the run time of a task away from the rack of its data, as a multiple of the
	// one at that rack. 0 stands for unset: half an estimate is added to the cost then, and the
	// expected run time is the same everywhere.
	FarFactor float64
	timing    peers.Timing
	targets   map[string]*TargetView // by agent name
	// sortedTargets holds the targets in the order of their agents' names, so that
	// placement is deterministic.
	sortedTargets []*TargetView
	comparedAt    time.Time // when the targets' speeds were last compared
	evacuations   evac.Set
}

// New returns a Fleet without targets for an entry and its data centre.
func New(name, dataCentre string, timing peers.Timing) *Fleet {
	return &Fleet{Name: name, DataCentre: dataCentre, timing: timing, targets: map[string]*TargetView{}}
}

// SetEvacuations sets the evacuations in force. Targets in their data centres get no tasks.
func (f *Fleet) SetEvacuations(s evac.Set) { f.evacuations = s }

// HandleReport processes the report of an agent with the link address. Reports that are not
// newer than the last one are ignored. HandleReport returns whether the report is from a new
// incarnation of a known agent.
func (f *Fleet) HandleReport(r wire.LoadReport, address string, now time.Time) (restarted bool) {
	v := f.targets[r.Agent]
	if v == nil {
		v = &TargetView{spreadCost: spreadCost(f.Name, r.Agent)}
		f.targets[r.Agent] = v
		i, _ := slices.BinarySearchFunc(f.sortedTargets, r.Agent, func(v *TargetView, name string) int { return cmp.Compare(v.Agent, name) })
		f.sortedTargets = slices.Insert(f.sortedTargets, i, v)
	} else if v.Incarnation == r.Incarnation && r.Seq <= v.Seq {
		return false
	}
	restarted = v.Incarnation != 0 && v.Incarnation != r.Incarnation
	if v.Target != r.Target {
		v.health, v.speed = health{}, speed{}
	}
	v.LoadReport, v.Address, v.updatedAt = r, address, now
	return restarted
}

// UpdateUse updates the capacity use of an agent's target from an answer of the agent. The
// answer is ignored if the agent is unknown, has another incarnation, or has sent newer data.
func (f *Fleet) UpdateUse(agent string, r wire.TargetLoad, now time.Time) {
	if v := f.targets[agent]; v != nil && v.Incarnation == r.Incarnation && r.Seq > v.Seq {
		v.TargetLoad, v.updatedAt = r, now
	}
}

// Silent returns the agents whose last report or newer answer is older than the lease: they
// have given up the runs of this entry by then.
func (f *Fleet) Silent(now time.Time) []string {
	var out []string
	for name, v := range f.targets {
		if now.Sub(v.updatedAt) > f.timing.Lease {
			out = append(out, name)
		}
	}
	return out
}

// Forget removes agents whose last report or newer answer is older than after, unless
// tasks of this entry are assigned to them.
func (f *Fleet) Forget(now time.Time, after time.Duration) {
	for name, v := range f.targets {
		if now.Sub(v.updatedAt) > after && v.assigned == (batch.Resources{}) {
			delete(f.targets, name)
			f.sortedTargets = slices.DeleteFunc(f.sortedTargets, func(x *TargetView) bool { return x == v })
		}
	}
}

// Task holds the requirements of a task for its placement.
type Task struct {
	Pool     string
	Need     batch.Resources
	Label    string
	Rack     string
	Estimate time.Duration
	// Slack is the time from now until the task counts as due, including sched.PriorityDelay of
	// its priority.
	Slack time.Duration
	// Avoid lists agents that get the task only if there is no other.
	Avoid []string
	// Exclude lists agents that must not get the task.
	Exclude []string
}

// Placement is the placement of a task.
type Placement struct {
	Agent string
	// Wait is the expected time until the task starts.
	Wait time.Duration
	// Run is the expected run time on the agent's target.
	Run time.Duration
	// Relative is the usual run time on the target as a multiple of that on other targets of
	// the pool, 0 when it is not known or is about the same.
	Relative float64
	// Far is by how many times the task takes longer as the target is away from the rack of
	// its data, 1 where it is not.
	Far float64
}

// Place chooses the agent with the lowest cost for a task, which is about the time at
// which the task would end there, and counts the task as assigned to the agent until
// Release. It returns false when no target can take the task.
func (f *Fleet) Place(t Task, now time.Time) (Placement, bool) {
	f.compareSpeeds(now)
	best, lowest := "", time.Duration(0)
	var choice Placement
	for _, v := range f.sortedTargets {
		if !f.canTake(v, t, now) {
			continue
		}
		wait := v.expectedWait(t)
		far, farCost := f.distanceToData(v, t)
		run := v.expectedRun(time.Duration(far * float64(t.Estimate)))
		cost := wait + run + f.distanceCost(v) + v.spreadCost + v.loadCost(t.Need) + v.healthCost(now, t.Estimate) + farCost
		if slices.Contains(t.Avoid, v.Agent) {
			cost += time.Hour
		}
		if best == "" || cost < lowest {
			best, lowest, choice = v.Agent, cost, Placement{Agent: v.Agent, Wait: wait, Run: run, Relative: v.speed.toMedian, Far: far}
		}
	}
	if best == "" {
		return Placement{}, false
	}
	v := f.targets[best]
	v.assigned = v.assigned.Plus(t.Need)
	return choice, true
}

// Settings are the limits of admission: the maximum expected wait as a fraction of the
// job's slack. They are below 1 because the actual wait is often longer than expected,
// and to reserve capacity for urgent jobs that arrive next.
type Settings struct {
	// Urgent is the fraction for queues of priority 0, Other that for all others.
	Urgent, Other float64
}

// DefaultSettings returns settings that refuse little of the less urgent work. In the
// overload simulations of this package's tests, a smaller fraction for other queues
// serves overloads a little better, but refuses more jobs.
func DefaultSettings() Settings { return Settings{Urgent: 0.8, Other: 0.45} }

// maxWait returns the maximum expected wait of a job.
func (s Settings) maxWait(priority int, slack time.Duration) time.Duration {
	if priority == 0 {
		return time.Duration(s.Urgent * float64(slack))
	}
	return time.Duration(s.Other * float64(slack))
}

// Admission is the decision on a job.
type Admission struct {
	// Placements are the placements of the tasks, in their order; nil when refused.
	Placements []Placement
	// Wait is the longest expected delay of a task: its wait, and its run time beyond
	// the estimate.
	Wait time.Duration
	// Impossible is set when no target can take one of the tasks.
	Impossible bool
}

// Job holds the requirements of a job, or of one of its steps, for its admission.
type Job struct {
	Tasks    []Task
	Priority int
	// Slack is by how much the start of the tasks may be delayed from now with the job
	// still meeting its objective.
	Slack time.Duration
	// PartlyRun is set when a part of the job may have run: its tasks are placed no matter
	// how late they would end.
	PartlyRun bool
	// Limits are the limits of the expected waits; nil for those of the Settings.
	Limits *Limits
}

// Limits are the limits of the expected waits of a job's tasks.
type Limits struct {
	// First is the limit for the task that is placed first, which depends on the load of
	// the targets and not on the number of the job's tasks. Any is the limit for each task.
	First, Any time.Duration
}

// Admit places all tasks of a job, or none when one of them would probably end too late
// or has no possible target.
func (f *Fleet) Admit(s Settings, j Job, now time.Time) Admission {
	maxWait := s.maxWait(j.Priority, j.Slack)
	var admission Admission
	for i, t := range j.Tasks {
		t.Slack = j.Slack + sched.PriorityDelay(j.Priority)
		choice, ok := f.Place(t, now)
		if ok {
			admission.Placements = append(admission.Placements, choice)
			admission.Wait = max(admission.Wait, choice.Wait+choice.Run-t.Estimate)
		}
		fits := admission.Wait <= maxWait
		if j.Limits != nil {
			fits = admission.Wait <= j.Limits.Any && (i > 0 || admission.Wait <= j.Limits.First)
		}
		if ok && (j.PartlyRun || fits || choice.Wait == 0 && admission.Wait <= j.Slack) {
			continue
		}
		for i, c := range admission.Placements {
			f.Release(c.Agent, j.Tasks[i].Need)
		}
		return Admission{Wait: admission.Wait, Impossible: !ok}
	}
	return admission
}

// Release ends the assignment of a task to the agent.
func (f *Fleet) Release(agent string, need batch.Resources) {
	if v := f.targets[agent]; v != nil {
		v.assigned = v.assigned.Minus(need)
	}
}

// spreadCost returns a pseudo-random cost below maxSpreadCost that depends only on the
// names.
func spreadCost(entry, agent string) time.Duration {
	sum := func(name string) uint64 {
		h := fnv.New64a()
		_, _ = h.Write([]byte(name)) // never fails
		return h.Sum64()
	}
	return time.Duration(rand.NewPCG(sum(entry), sum(agent)).Uint64() % uint64(maxSpreadCost))
}

// distanceCost returns the placement cost of the target's data centre.
func (f *Fleet) distanceCost(v *TargetView) time.Duration {
	if v.DataCentre == f.DataCentre {
		return 0
	}
	return remoteCost
}

// distanceToData returns the factor on the task's run time at the target for the distance to
// its data, and the placement cost of that distance beside the run time.
func (f *Fleet) distanceToData(v *TargetView, t Task) (factor float64, cost time.Duration) {
	switch {
	case t.Rack == "" || slices.Contains(v.Labels, t.Rack):
		return 1, 0
	case f.FarFactor == 0:
		return 1, t.Estimate / 2
	}
	return f.FarFactor, 0
}

// canTake reports whether the target can get the task: it accepts work, has a recent
// report, satisfies the task's requirements, and its data centre is not evacuated.
func (f *Fleet) canTake(v *TargetView, t Task, now time.Time) bool {
	return v.Open && v.Pool == t.Pool && t.Need.Fits(v.Capacity) && now.Sub(v.updatedAt) <= f.timing.MaxReportAge &&
		(t.Label == "" || slices.Contains(v.Labels, t.Label)) && !slices.Contains(t.Exclude, v.Agent) &&
		!f.evacuations.Has(v.DataCentre)
}

// totalUse returns the total need of all entries' tasks on the target: those of other
// entries as reported by the agent, and those that this entry has assigned to it.
func (v *TargetView) totalUse() batch.Resources {
	return v.Used.Plus(v.Backlog.Total()).Minus(v.ReceiverUsed).Plus(v.assigned)
}

// expectedWait returns the expected wait of one more task: 0 when there is free
// capacity, otherwise the time until the tasks that are queued before it have started:
// by the agent's forecast, and by the mean interval between completions beyond its last
// horizon or when there is none. The age of the report is not subtracted: what has been
// released since then has probably been taken by tasks that this entry does not know.
func (v *TargetView) expectedWait(t Task) time.Duration {
	need := v.Used.Plus(v.Backlog.DueBefore(t.Slack)).Minus(v.ReceiverUsed).Plus(v.assigned).Plus(t.Need)
	if need.Fits(v.Capacity) {
		return 0
	}
	missing := need.Minus(v.Capacity)
	byInterval := missing.Share(t.Need) * max(1, v.Slowdown) * float64(v.CompletionInterval)
	fraction := missing.Share(v.Used)
	after, beyond, ok := v.Forecast.TimeUntil(fraction)
	if !ok || fraction == 0 {
		return time.Duration(byInterval)
	}
	wait := after + time.Duration(beyond/fraction*byInterval)
	if t.Slack > overtakenSlack {
		return max(wait, time.Duration(byInterval))
	}
	return wait
}

// expectedRun returns the expected run time of a task on the target: by the Slowdown
// that its agent reports if there is one, by its speed if that differs from the others',
// otherwise by the run times that this entry has seen.
func (v *TargetView) expectedRun(estimate time.Duration) time.Duration {
	// A slowdown that lasts becomes a part of the speed, so that the greater one counts.
	if factor := max(v.Slowdown, v.speed.toMean); factor > 0 {
		return time.Duration(factor * float64(estimate))
	}
	return v.health.expectedRun(estimate)
}

// loadCost returns a small placement cost that grows with the used fraction of the
// target's capacity.
func (v *TargetView) loadCost(need batch.Resources) time.Duration {
	return time.Duration(float64(maxLoadCost) * min(1, v.totalUse().Plus(need).Share(v.Capacity)))
}
