// Package assign decides at an entry which target each task of a job goes to,
// and whether a job can be done in time at all. It does no I/O.
package assign

import (
	"slices"
	"time"

	"cyclamenrelay.example/batch"
	"cyclamenrelay.example/wire"
)

const (
	// farCost is how much later work counts as started in another data centre:
	// a round trip of a few milliseconds.
	farCost = 4 * time.Millisecond
	// busyCost is how much later work counts as started on a full target than on
	// an empty one, so that it spreads.
	busyCost = 8 * time.Millisecond
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
}

// Fleet is what an entry knows of all targets. Its methods must not be called
// concurrently.
type Fleet struct {
	// DataCentre is the entry's own.
	DataCentre string
	hosts      map[string]*Host // by agent
}

// New returns a fleet of no targets.
func New(dataCentre string) *Fleet { return &Fleet{DataCentre: dataCentre, hosts: map[string]*Host{}} }

// Reported takes an agent's report, and reports whether another life of its
// target or another incarnation of the agent has taken over.
func (f *Fleet) Reported(r wire.RoomReport, now time.Time) (renewed bool) {
	h := f.hosts[r.Agent]
	if h == nil {
		h = &Host{}
		f.hosts[r.Agent] = h
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
	for _, name := range f.names() {
		h := f.hosts[name]
		if !h.takes(t, now) {
			continue
		}
		w := h.wait(t.Need)
		ran := h.health.slowed(t.Estimate)
		c := w + ran + f.distance(h) + h.load(t.Need) + h.health.cost(now, t.Estimate)
		if t.Rack != "" && !slices.Contains(h.Labels, t.Rack) {
			c += t.Estimate / 2
		}
		if slices.Contains(t.Avoid, name) {
			c += time.Hour
		}
		if best == "" || c < cost {
			best, cost, choice = name, c, Choice{Agent: name, Wait: w, Run: ran}
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

// DefaultSettings returns the settings that did best in the floods of the
// package's tests.
func DefaultSettings() Settings { return Settings{Urgent: 0.8, Other: 0.3} }

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

// Admit places all tasks, or none when the last of them would probably end
// later than the slack allows. Tasks of a job that has begun are placed however
// late.
func (f *Fleet) Admit(s Settings, tasks []Task, priority int, slack time.Duration, begun bool, now time.Time) Admission {
	limit := s.limit(priority, slack)
	var a Admission
	for _, t := range tasks {
		c, ok := f.Place(t, now)
		if ok {
			a.Choices = append(a.Choices, c)
			a.Wait = max(a.Wait, c.Wait+c.Run-t.Estimate)
		}
		if ok && (begun || a.Wait <= limit || c.Wait == 0 && a.Wait <= slack) {
			continue
		}
		for j, c := range a.Choices {
			f.Release(c.Agent, tasks[j].Need)
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

// names returns the agents in an order that is the same for equal states.
func (f *Fleet) names() []string {
	out := make([]string, 0, len(f.hosts))
	for n := range f.hosts {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
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
func (h *Host) taken() batch.Resources { return h.Used.Plus(h.Waiting).Minus(h.Yours).Plus(h.own) }

// wait returns the expected wait of one more task: its turn after those that
// wait already, when there is no room now.
func (h *Host) wait(need batch.Resources) time.Duration {
	after := h.taken().Plus(need)
	if after.Fits(h.Capacity) {
		return 0
	}
	ahead := after.Minus(h.Capacity).Share(need)
	return time.Duration(ahead * float64(h.Turn))
}

// load returns a small cost that grows with the part of the target that is taken.
func (h *Host) load(need batch.Resources) time.Duration {
	return time.Duration(float64(busyCost) * min(1, h.taken().Plus(need).Share(h.Capacity)))
}
