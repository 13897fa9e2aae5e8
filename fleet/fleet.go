package fleet

import (
	"slices"
	"time"

	"cyclamenrelay.example/label"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/rules"
	"cyclamenrelay.example/wire"

	"github.com/gravitational/trace"
)

const (
	// forgetAfter is how long silent targets and unused classes are kept.
	forgetAfter = time.Minute
	// forgetJob is how long the unused class of one job is kept.
	forgetJob = 5 * time.Second
)

// maxClasses bounds the classes, and with them the processing time of each message.
const maxClasses = 1024

// Settings are the settings of a Fleet.
type Settings struct {
	// Near lists the data centres by distance, the entry's own first. Those that
	// are not listed count as equally far, beyond the last one.
	Near []string
	// Silence is the time without a heartbeat after which a target counts as dead.
	Silence time.Duration
	// RoundTrip is the longest usual round trip to an agent. Free slots that an
	// agent reports may not count starts that were sent more recently.
	RoundTrip time.Duration
}

// Fleet is the registry of the targets that an entry knows.
type Fleet struct {
	set     Settings
	rules   *rules.Set
	targets map[string]*Target
	list    []*Target // in the order of their arrival
	classes map[classKey]*Class
	ordered []*Class // in the order of their first use
	ill     int      // targets on probation
}

// New returns a fleet without targets.
func New(s Settings, r *rules.Set) *Fleet {
	return &Fleet{set: s, rules: r, targets: map[string]*Target{}, classes: map[classKey]*Class{}}
}

// Target returns the target of an agent, or nil.
func (f *Fleet) Target(agent string) *Target { return f.targets[agent] }

// Targets returns the targets in the order of their arrival. The caller must not change the slice.
func (f *Fleet) Targets() []*Target { return f.list }

// Classes returns the classes in the order of their first use. The caller must not change the slice.
func (f *Fleet) Classes() []*Class { return f.ordered }

// Heard applies an announcement. It returns the target and whether its agent has
// restarted, or nil when the announcement is outdated or an unknown agent
// announces no target.
func (f *Fleet) Heard(now time.Time, a wire.Announce) (t *Target, anew bool) {
	t = f.targets[a.Self.Name]
	if t == nil {
		if a.Target == nil {
			return nil, false
		}
		t = &Target{Name: a.Self.Name, incarnation: a.Self.Incarnation}
		f.targets[t.Name] = t
		f.list = append(f.list, t)
	}
	old, info, ill := t.incarnation, t.info, t.health.probation
	leaving, usable := t.leaving, t.usable
	if !t.announce(now, a, f.set.RoundTrip) {
		return nil, false
	}
	if ill && !t.health.probation {
		f.ill--
	}
	if !usable || leaving != t.leaving || !sameTarget(info, t.info) {
		f.relabel(now, t)
	}
	return t, old != t.incarnation
}

// sameTarget reports whether a and b belong to the same classes: it compares their
// names, data centres and labels.
func sameTarget(a, b model.Target) bool {
	if a.Name != b.Name || a.DataCentre != b.DataCentre || len(a.Labels) != len(b.Labels) {
		return false
	}
	for k, v := range a.Labels {
		if w, ok := b.Labels[k]; !ok || v != w {
			return false
		}
	}
	return true
}

// Answered updates the free slots of t from an answer of its agent.
func (f *Fleet) Answered(now time.Time, t *Target, free int) { t.report(now, free, f.set.RoundTrip) }

// Leaving takes t out of use until its next announcement.
func (f *Fleet) Leaving(now time.Time, t *Target) {
	t.leaving = true
	f.relabel(now, t)
}

// Judge counts an outcome in the health of t. weight (0 to 1) is how far a failure
// is put down to t itself and not to the work.
func (f *Fleet) Judge(now time.Time, t *Target, failed bool, weight float64) {
	h := &t.health
	was := h.probation
	if failed {
		// At most half of the targets are on probation at once.
		h.fail(now, weight, f.ill < len(f.list)/2)
	} else {
		h.succeed(t.info.Slots)
	}
	switch {
	case !was && h.probation:
		f.ill++
	case was && !h.probation:
		f.ill--
	}
}

// relabel sets the labels, the distance and the usability of t and updates the
// classes that it belongs to.
func (f *Fleet) relabel(now time.Time, t *Target) {
	eff, drained := f.rules.Target(t.info)
	t.labels = eff.Labels
	near := slices.Index(f.set.Near, t.info.DataCentre)
	if near < 0 {
		near = len(f.set.Near)
	}
	if near != t.near {
		t.usable = false
		f.join(now, t)
		t.near = near
	}
	t.usable = !drained && !t.leaving && now.Sub(t.heard) <= f.set.Silence
	f.join(now, t)
}

// join adds t to the classes that it now matches and removes it from the others.
func (f *Fleet) join(now time.Time, t *Target) {
	for _, k := range f.ordered {
		k.update(now, t)
	}
}

// Sweep takes silent targets out of use, removes targets that have long been
// silent and classes that have long been unused, and returns the silent targets
// with starts in flight.
func (f *Fleet) Sweep(now time.Time) map[*Target]bool {
	dead := map[*Target]bool{}
	f.list = slices.DeleteFunc(f.list, func(t *Target) bool {
		quiet := now.Sub(t.heard)
		if t.usable && quiet > f.set.Silence {
			f.relabel(now, t)
		}
		if quiet > f.set.Silence && t.Inflight > 0 {
			dead[t] = true
		}
		old := quiet > forgetAfter && t.Inflight == 0
		if old {
			delete(f.targets, t.Name)
			if t.health.probation {
				f.ill--
			}
		}
		return old
	})
	f.ordered = slices.DeleteFunc(f.ordered, func(k *Class) bool {
		after := forgetAfter
		if k.agents != nil {
			after = forgetJob
		}
		old := k.Queued == 0 && now.Sub(k.used) > after
		if old {
			delete(f.classes, k.key)
		}
		return old
	})
	return dead
}

// Class returns the class of a task under its rule and makes it if need be. The
// error is a trace.BadParameter for an invalid selector, and a
// trace.LimitExceeded when too many different selectors are in use.
func (f *Fleet) Class(now time.Time, rule *rules.Rule, task *model.Task) (*Class, error) {
	key := classKey{share: rule.Name, selector: task.Selector}
	if len(task.Agents) > 0 {
		key.job = task.Job
	}
	if k := f.classes[key]; k != nil {
		k.used = now
		return k, nil
	}
	sel, err := label.Parse(task.Selector)
	if err != nil {
		return nil, err
	}
	if len(f.classes) >= maxClasses {
		return nil, trace.LimitExceeded("more than %d different selectors are in use", maxClasses)
	}
	k := &Class{
		Rule: rule, key: key, sel: sel, used: now, EmptySince: now,
		member: map[*Target]bool{}, asked: map[*Target]int{},
	}
	f.fill(now, k, task.Agents)
	f.classes[key] = k
	f.ordered = append(f.ordered, k)
	return k, nil
}

// fill adds the matching targets to a new class. For a class that is limited to the
// agents of a job it checks only these, since there are many jobs.
func (f *Fleet) fill(now time.Time, k *Class, agents []string) {
	if len(agents) == 0 {
		for _, t := range f.list {
			k.update(now, t)
		}
		return
	}
	k.agents = make(map[string]bool, len(agents))
	for _, name := range agents {
		k.agents[name] = true
	}
	for _, name := range agents {
		if t := f.targets[name]; t != nil {
			k.update(now, t)
		}
	}
}

// Configure applies a configuration to the targets and removes all classes. It
// returns the removed classes, to be passed to Carry when the new ones are in use.
func (f *Fleet) Configure(now time.Time, r *rules.Set) []*Class {
	f.rules = r
	for _, t := range f.list {
		f.relabel(now, t)
	}
	old := f.ordered
	f.classes, f.ordered = map[classKey]*Class{}, nil
	return old
}

// Carry copies the unmet demand, and the time without targets, from the classes of
// the last configuration to the current classes with the same key.
func (f *Fleet) Carry(old []*Class) {
	for _, k := range old {
		n := f.classes[k.key]
		if n == nil {
			continue
		}
		for t, asked := range k.asked {
			if n.member[t] {
				n.asked[t] = asked
				n.outstanding += asked
			}
		}
		n.asking = k.asking
		if n.size == 0 && k.size == 0 {
			n.EmptySince = k.EmptySince
		}
	}
}
