// Package assign decides at an entry which target each task of a job goes to,
// and whether a job can be done in time at all. It does no I/O.
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
	// farCost is how much later work counts as started in another data centre:
	// a round trip of a few milliseconds.
	farCost = 4 * time.Millisecond
	// busyCost is how much later work counts as started on a full target than on
	// an empty one, and affinityMax the most that a target costs one entry more
	// than another: about a report's age and a third of it. With less, entries
	// choose the same targets between two reports (TestManyEntriesKeepApart).
	busyCost    = 50 * time.Millisecond
	affinityMax = 30 * time.Millisecond
	// reportMax is the age of a report after which a target gets no new work:
	// its agent reports several times as often.
	reportMax = 400 * time.Millisecond
)

// Host is a target as its agent reports it.
type Host struct {
	wire.RoomReport
	heard time.Time
	// own is what this entry has there.
	own    batch.Resources
	health health
	// affinity is a small cost of the host for this entry alone, so that entries
	// which see the same reports do not all choose the same hosts.
	affinity time.Duration
}

// Fleet is what an entry knows of all targets. Its methods must not be called
// concurrently.
type Fleet struct {
	// Name is the entry's, DataCentre where it is.
	Name, DataCentre string
	hosts            map[string]*Host // by agent
	// sorted holds them by name, so that equal states give equal choices.
	sorted []*Host
}

// New returns a fleet of no targets.
func New(name, dataCentre string) *Fleet {
	return &Fleet{Name: name, DataCentre: dataCentre, hosts: map[string]*Host{}}
}

// Reported takes an agent's report, and reports whether another life of its
// target or another incarnation of the agent has taken over.
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

// Heard takes what an agent's answer says of its target's room.
func (f *Fleet) Heard(agent string, r wire.Room, now time.Time) {
	if h := f.hosts[agent]; h != nil && h.Incarnation == r.Incarnation && r.Seq > h.Seq {
		h.Room, h.heard = r, now
	}
}

// Silent returns the agents that have not reported for a time.
func (f *Fleet) Silent(now time.Time) []string {
	var out []string
	for name, h := range f.hosts {
		if now.Sub(h.heard) > reportMax {
			out = append(out, name)
		}
	}
	return out
}

// Forget drops agents that have been silent for long and have nothing of ours.
func (f *Fleet) Forget(now time.Time, after time.Duration) {
	for name, h := range f.hosts {
		if now.Sub(h.heard) > after && h.own == (batch.Resources{}) {
			delete(f.hosts, name)
			f.sorted = slices.DeleteFunc(f.sorted, func(x *Host) bool { return x == h })
		}
	}
}

// Task is what placing a task needs to know.
type Task struct {
	Pool     string
	Need     batch.Resources
	Label    string
	Rack     string
	Estimate time.Duration
	// Slack is how much later than now the task counts as due, its priority's lead
	// included.
	Slack time.Duration
	// Avoid are agents that shall not get the task, if there are others.
	Avoid []string
	// Full are agents that must not get it.
	Full []string
}

// Choice is where a task goes.
type Choice struct {
	Agent string
	// Wait is the expected time before it starts.
	Wait time.Duration
	// Run is the expected run time there.
	Run time.Duration
}

// Place chooses the agent where the task probably ends first, and counts the
// task as there. It returns false when no target could ever run it.
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

// Settings are the limits of admission: the parts of a job's slack that its
// expected wait may take. What is expected is often exceeded, and room that is
// left now is there for urgent work that comes next.
type Settings struct {
	// Urgent is the part for queues of priority 0, Other for all others.
	Urgent, Other float64
}

// DefaultSettings returns settings that hold back little less urgent work. A
// smaller part for other queues serves floods a little better and refuses more,
// by the floods of the package's tests.
func DefaultSettings() Settings { return Settings{Urgent: 0.8, Other: 0.45} }

func (s Settings) limit(priority int, slack time.Duration) time.Duration {
	if priority == 0 {
		return time.Duration(s.Urgent * float64(slack))
	}
	return time.Duration(s.Other * float64(slack))
}

// Admission is the decision on a job's tasks.
type Admission struct {
	// Choices are where the tasks go, in their order; nil when refused.
	Choices []Choice
	// Wait is the longest expected delay of a task's end, beyond its estimate.
	Wait time.Duration
	// Impossible is set when no target could ever take one of the tasks.
	Impossible bool
}

// Job is what admission needs to know of a job whose tasks shall be placed.
type Job struct {
	Tasks    []Task
	Priority int
	// Slack is how much later than now the tasks may start and be in time.
	Slack time.Duration
	// Begun jobs have run in part: their tasks are placed however late.
	Begun bool
}

// Admit places all tasks of a job, or none when the last of them would probably
// end too late.
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

// Release counts a task as gone from the agent.
func (f *Fleet) Release(agent string, need batch.Resources) {
	if h := f.hosts[agent]; h != nil {
		h.own = h.own.Minus(need)
	}
}

func affinity(entry, agent string) time.Duration {
	sum := func(name string) uint64 {
		h := fnv.New64a()
		_, _ = h.Write([]byte(name)) // never fails
		return h.Sum64()
	}
	return time.Duration(rand.NewPCG(sum(entry), sum(agent)).Uint64() % uint64(affinityMax))
}

func (f *Fleet) distance(h *Host) time.Duration {
	if h.DataCentre == f.DataCentre {
		return 0
	}
	return farCost
}

func (h *Host) takes(t Task, now time.Time) bool {
	return h.Open && h.Pool == t.Pool && t.Need.Fits(h.Capacity) && now.Sub(h.heard) <= reportMax &&
		(t.Label == "" || slices.Contains(h.Labels, t.Label)) && !slices.Contains(t.Full, h.Agent)
}

// taken returns what all entries have at the target: what it reports of others,
// and what this entry knows to have sent.
func (h *Host) taken() batch.Resources {
	return h.Used.Plus(h.Backlog.All()).Minus(h.Yours).Plus(h.own)
}

// wait returns the expected wait of one more task: its turn after those that
// wait already and are due before it, when there is no room now.
func (h *Host) wait(t Task) time.Duration {
	after := h.Used.Plus(h.Backlog.Ahead(t.Slack)).Minus(h.Yours).Plus(h.own).Plus(t.Need)
	if after.Fits(h.Capacity) {
		return 0
	}
	return time.Duration(after.Minus(h.Capacity).Share(t.Need) * max(1, h.Slow) * float64(h.Turn))
}

// run returns how long a task probably runs at the target: as the last runs
// took, unless its agent sees that the present ones are slow.
func (h *Host) run(estimate time.Duration) time.Duration {
	if h.Slow > 0 {
		return time.Duration(h.Slow * float64(estimate))
	}
	return h.health.slowed(estimate)
}

// load returns a small cost that grows with the part of the target that is taken.
func (h *Host) load(need batch.Resources) time.Duration {
	return time.Duration(float64(busyCost) * min(1, h.taken().Plus(need).Share(h.Capacity)))
}
