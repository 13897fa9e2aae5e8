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
	"cyclamenrelay.example/room"
	"cyclamenrelay.example/wire"
)

const (
	// farCost is the placement cost of a target in another data centre: a round trip
	// of a few milliseconds.
	farCost = 4 * time.Millisecond
	// busyCost is the additional placement cost of a full target over an empty one.
	// affinityMax bounds the difference in the cost of one target between entries.
	// They are about the age of a report and a third of it. With less, entries choose
	// the same targets between two reports (TestManyEntriesKeepApart).
	busyCost    = 50 * time.Millisecond
	affinityMax = 30 * time.Millisecond
	// reportMax is the age of a report above which a target gets no new work. Agents
	// send several reports in that time.
	reportMax = 400 * time.Millisecond
)

// Host is the state of one target as seen by an entry: the last report of its agent, and
// what the entry itself has observed.
type Host struct {
	wire.RoomReport
	heard time.Time // arrival of the last report
	// own is the total need of this entry's tasks that wait or run on the target.
	own    batch.Resources
	health health
	// affinity is a small placement cost that differs between entries, so that entries
	// with the same reports do not all choose the same targets.
	affinity time.Duration
}

// Fleet is an entry's view of all targets. Its methods must not be called concurrently.
type Fleet struct {
	// Name is the entry's name, DataCentre its data centre.
	Name, DataCentre string
	hosts            map[string]*Host // by agent name
	// sorted holds the hosts in the order of their agents' names, so that placement is
	// deterministic.
	sorted []*Host
}

// New returns a Fleet without targets.
func New(name, dataCentre string) *Fleet {
	return &Fleet{Name: name, DataCentre: dataCentre, hosts: map[string]*Host{}}
}

// Reported processes an agent's report. Reports that are not newer than the last one are
// ignored. It returns whether the report is from a new incarnation of a known agent.
func (f *Fleet) Reported(r wire.RoomReport, now time.Time) (renewed bool) {
	h := f.hosts[r.Agent]
	if h == nil {
		h = &Host{affinity: affinity(f.Name, r.Agent)}
		f.hosts[r.Agent] = h
		i, _ := slices.BinarySearchFunc(f.sorted, r.Agent, func(h *Host, name string) int { return cmp.Compare(h.Agent, name) })
		f.sorted = slices.Insert(f.sorted, i, h)
	} else if h.Incarnation == r.Incarnation && r.Seq <= h.Seq {
		return false
	}
	renewed = h.Incarnation != 0 && h.Incarnation != r.Incarnation
	if h.Target != r.Target {
		h.health = health{}
	}
	h.RoomReport, h.heard = r, now
	return renewed
}

// Heard updates the capacity use of an agent's target from an answer of the agent. It is
// ignored if the agent is unknown, has another incarnation, or has sent newer data.
func (f *Fleet) Heard(agent string, r wire.Room, now time.Time) {
	if h := f.hosts[agent]; h != nil && h.Incarnation == r.Incarnation && r.Seq > h.Seq {
		h.Room, h.heard = r, now
	}
}

// Silent returns the agents whose last report is older than reportMax.
func (f *Fleet) Silent(now time.Time) []string {
	var out []string
	for name, h := range f.hosts {
		if now.Sub(h.heard) > reportMax {
			out = append(out, name)
		}
	}
	return out
}

// Forget removes agents whose last report is older than after, unless tasks of this entry
// are assigned to them.
func (f *Fleet) Forget(now time.Time, after time.Duration) {
	for name, h := range f.hosts {
		if now.Sub(h.heard) > after && h.own == (batch.Resources{}) {
			delete(f.hosts, name)
			f.sorted = slices.DeleteFunc(f.sorted, func(x *Host) bool { return x == h })
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
	// Slack is the time from now until the task counts as due, including room.Lead of
	// its priority.
	Slack time.Duration
	// Avoid lists agents that get the task only if there is no other.
	Avoid []string
	// Full lists agents that must not get the task.
	Full []string
}

// Choice is the placement of a task.
type Choice struct {
	Agent string
	// Wait is the expected time until the task starts.
	Wait time.Duration
	// Run is the expected run time on the agent's target.
	Run time.Duration
}

// Place chooses the agent with the lowest cost for a task, which is about the time at
// which the task would end there, and counts the task as assigned to the agent until
// Release. It returns false when no target can take the task.
func (f *Fleet) Place(t Task, now time.Time) (Choice, bool) {
	best, cost := "", time.Duration(0)
	var choice Choice
	for _, h := range f.sorted {
		if !h.takes(t, now) {
			continue
		}
		w := h.wait(t)
		ran := h.run(t.Estimate)
		c := w + ran + f.distance(h) + h.affinity + h.load(t.Need) + h.healthCost(now, t.Estimate)
		if t.Rack != "" && !slices.Contains(h.Labels, t.Rack) {
			c += t.Estimate / 2
		}
		if slices.Contains(t.Avoid, h.Agent) {
			c += time.Hour
		}
		if best == "" || c < cost {
			best, cost, choice = h.Agent, c, Choice{Agent: h.Agent, Wait: w, Run: ran}
		}
	}
	if best == "" {
		return Choice{}, false
	}
	h := f.hosts[best]
	h.own = h.own.Plus(t.Need)
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

// limit returns the maximum expected wait of a job.
func (s Settings) limit(priority int, slack time.Duration) time.Duration {
	if priority == 0 {
		return time.Duration(s.Urgent * float64(slack))
	}
	return time.Duration(s.Other * float64(slack))
}

// Admission is the decision on a job.
type Admission struct {
	// Choices are the placements of the tasks, in their order; nil when refused.
	Choices []Choice
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
	// Begun is set when a part of the job may have run: its tasks are placed no matter
	// how late they would end.
	Begun bool
}

// Admit places all tasks of a job, or none when one of them would probably end too late
// or has no possible target.
func (f *Fleet) Admit(s Settings, j Job, now time.Time) Admission {
	limit := s.limit(j.Priority, j.Slack)
	var a Admission
	for _, t := range j.Tasks {
		t.Slack = j.Slack + room.Lead(j.Priority)
		c, ok := f.Place(t, now)
		if ok {
			a.Choices = append(a.Choices, c)
			a.Wait = max(a.Wait, c.Wait+c.Run-t.Estimate)
		}
		if ok && (j.Begun || a.Wait <= limit || c.Wait == 0 && a.Wait <= j.Slack) {
			continue
		}
		for i, c := range a.Choices {
			f.Release(c.Agent, j.Tasks[i].Need)
		}
		return Admission{Wait: a.Wait, Impossible: !ok}
	}
	return a
}

// Release ends the assignment of a task to the agent.
func (f *Fleet) Release(agent string, need batch.Resources) {
	if h := f.hosts[agent]; h != nil {
		h.own = h.own.Minus(need)
	}
}

// affinity returns a pseudo-random cost below affinityMax that depends only on the names.
func affinity(entry, agent string) time.Duration {
	sum := func(name string) uint64 {
		h := fnv.New64a()
		_, _ = h.Write([]byte(name)) // never fails
		return h.Sum64()
	}
	return time.Duration(rand.NewPCG(sum(entry), sum(agent)).Uint64() % uint64(affinityMax))
}

// distance returns the placement cost of the target's data centre.
func (f *Fleet) distance(h *Host) time.Duration {
	if h.DataCentre == f.DataCentre {
		return 0
	}
	return farCost
}

// takes reports whether the target can get the task: it accepts work, has a recent
// report, and satisfies the task's requirements.
func (h *Host) takes(t Task, now time.Time) bool {
	return h.Open && h.Pool == t.Pool && t.Need.Fits(h.Capacity) && now.Sub(h.heard) <= reportMax &&
		(t.Label == "" || slices.Contains(h.Labels, t.Label)) && !slices.Contains(t.Full, h.Agent)
}

// taken returns the total need of all entries' tasks on the target: those of other
// entries as reported by the agent, and those that this entry has assigned to it.
func (h *Host) taken() batch.Resources {
	return h.Used.Plus(h.Backlog.All()).Minus(h.Yours).Plus(h.own)
}

// wait returns the expected wait of one more task: 0 when there is free capacity,
// otherwise the time until the tasks that are queued before it have started.
func (h *Host) wait(t Task) time.Duration {
	after := h.Used.Plus(h.Backlog.Ahead(t.Slack)).Minus(h.Yours).Plus(h.own).Plus(t.Need)
	if after.Fits(h.Capacity) {
		return 0
	}
	return time.Duration(after.Minus(h.Capacity).Share(t.Need) * max(1, h.Slow) * float64(h.Turn))
}

// run returns the expected run time of a task on the target: by the present slowness if
// its agent reports one, otherwise by the run times that this entry has seen.
func (h *Host) run(estimate time.Duration) time.Duration {
	if h.Slow > 0 {
		return time.Duration(h.Slow * float64(estimate))
	}
	return h.health.slowed(estimate)
}

// load returns a small placement cost that grows with the used fraction of the target's
// capacity.
func (h *Host) load(need batch.Resources) time.Duration {
	return time.Duration(float64(busyCost) * min(1, h.taken().Plus(need).Share(h.Capacity)))
}
