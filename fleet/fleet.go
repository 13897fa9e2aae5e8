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
	// forgetJobAfter is how long the unused class of one job is kept.
	forgetJobAfter = 5 * time.Second
)

// maxClasses bounds the classes, and with them the processing time of each message.
const maxClasses = 1024

// Settings are the settings of a Fleet.
type Settings struct {
	// DataCentres lists the data centres by distance, the entry's own first. Those that
	// are not listed count as equally far, beyond the last one.
	DataCentres []string
	// HeartbeatTimeout is the time without a heartbeat after which a target counts as dead.
	HeartbeatTimeout time.Duration
	// RoundTrip is the longest usual round trip to an agent. Free slots that an
	// agent reports may not count starts that were sent more recently.
	RoundTrip time.Duration
}

// Fleet is the registry of the targets that an entry knows.
type Fleet struct {
	settings    Settings
	rules       *rules.Set
	targets     map[string]*Target
	targetList  []*Target // in the order of their arrival
	classes     map[classKey]*Class
	classList   []*Class // in the order of their first use
	onProbation int      // targets on probation
}

// New returns a fleet without targets.
func New(s Settings, r *rules.Set) *Fleet {
	return &Fleet{settings: s, rules: r, targets: map[string]*Target{}, classes: map[classKey]*Class{}}
}

// Target returns the target of an agent, or nil.
func (f *Fleet) Target(agent string) *Target { return f.targets[agent] }

// Targets returns the targets in the order of their arrival. The caller must not change the slice.
func (f *Fleet) Targets() []*Target { return f.targetList }

// Classes returns the classes in the order of their first use. The caller must not change the slice.
func (f *Fleet) Classes() []*Class { return f.classList }

// Announce applies an announcement. It returns the target and whether its agent has
// restarted, or nil when the announcement is outdated or an unknown agent
// announces no target.
func (f *Fleet) Announce(now time.Time, a wire.Announce) (t *Target, restarted bool) {
	t = f.targets[a.Self.Name]
	if t == nil {
		if a.Target == nil {
			return nil, false
		}
		t = &Target{Name: a.Self.Name, incarnation: a.Self.Incarnation}
		f.targets[t.Name] = t
		f.targetList = append(f.targetList, t)
	}
	lastIncarnation, info, probation := t.incarnation, t.announced, t.health.probation
	leaving, usable := t.leaving, t.usable
	if !t.announce(now, a, f.settings.RoundTrip) {
		return nil, false
	}
	if probation && !t.health.probation {
		f.onProbation--
	}
	if !usable || leaving != t.leaving || !sameTarget(info, t.announced) {
		f.reclassify(now, t)
	}
	return t, lastIncarnation != t.incarnation
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

// ReportFree updates the free slots of t from an answer of its agent.
func (f *Fleet) ReportFree(now time.Time, t *Target, free int) {
	t.setFree(now, free, f.settings.RoundTrip)
}

// SetLeaving takes t out of use until its next announcement.
func (f *Fleet) SetLeaving(now time.Time, t *Target) {
	t.leaving = true
	f.reclassify(now, t)
}

// RecordOutcome counts an outcome in the health of t. weight (0 to 1) is how far a failure
// is put down to t itself and not to the work.
func (f *Fleet) RecordOutcome(now time.Time, t *Target, failed bool, weight float64) {
	h := &t.health
	wasOnProbation := h.probation
	if failed {
		// At most half of the targets are on probation at once.
		h.fail(now, weight, f.onProbation < len(f.targetList)/2)
	} else {
		h.succeed(t.announced.Slots)
	}
	switch {
	case !wasOnProbation && h.probation:
		f.onProbation++
	case wasOnProbation && !h.probation:
		f.onProbation--
	}
}

// reclassify sets the labels, the distance and the usability of t and updates the
// classes that it belongs to.
func (f *Fleet) reclassify(now time.Time, t *Target) {
	effective, drained := f.rules.ApplyOverlays(t.announced)
	t.labels = effective.Labels
	distance := slices.Index(f.settings.DataCentres, t.announced.DataCentre)
	if distance < 0 {
		distance = len(f.settings.DataCentres)
	}
	if distance != t.distance {
		t.usable = false
		f.updateClasses(now, t)
		t.distance = distance
	}
	t.usable = !drained && !t.leaving && now.Sub(t.lastHeard) <= f.settings.HeartbeatTimeout
	f.updateClasses(now, t)
}

// updateClasses adds t to the classes that it now matches and removes it from the others.
func (f *Fleet) updateClasses(now time.Time, t *Target) {
	for _, k := range f.classList {
		k.update(now, t)
	}
}

// Sweep takes silent targets out of use, removes targets that have long been
// silent and classes that have long been unused, and returns the silent targets
// with starts in flight.
func (f *Fleet) Sweep(now time.Time) map[*Target]bool {
	silent := map[*Target]bool{}
	f.targetList = slices.DeleteFunc(f.targetList, func(t *Target) bool {
		silentFor := now.Sub(t.lastHeard)
		if t.usable && silentFor > f.settings.HeartbeatTimeout {
			f.reclassify(now, t)
		}
		if silentFor > f.settings.HeartbeatTimeout && t.Inflight > 0 {
			silent[t] = true
		}
		expired := silentFor > forgetAfter && t.Inflight == 0
		if expired {
			delete(f.targets, t.Name)
			if t.health.probation {
				f.onProbation--
			}
		}
		return expired
	})
	f.classList = slices.DeleteFunc(f.classList, func(k *Class) bool {
		after := forgetAfter
		if k.agents != nil {
			after = forgetJobAfter
		}
		expired := k.Queued == 0 && now.Sub(k.lastUsed) > after
		if expired {
			delete(f.classes, k.key)
		}
		return expired
	})
	return silent
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
		k.lastUsed = now
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
		Rule: rule, key: key, sel: sel, lastUsed: now, EmptySince: now,
		members: map[*Target]bool{}, asked: map[*Target]int{},
	}
	f.addTargets(now, k, task.Agents)
	f.classes[key] = k
	f.classList = append(f.classList, k)
	return k, nil
}

// addTargets adds the matching targets to a new class. For a class that is limited to the
// agents of a job it checks only these, since there are many jobs.
func (f *Fleet) addTargets(now time.Time, k *Class, agents []string) {
	if len(agents) == 0 {
		for _, t := range f.targetList {
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
// returns the removed classes, to be passed to CopyDemand when the new ones are in use.
func (f *Fleet) Configure(now time.Time, r *rules.Set) []*Class {
	f.rules = r
	for _, t := range f.targetList {
		f.reclassify(now, t)
	}
	old := f.classList
	f.classes, f.classList = map[classKey]*Class{}, nil
	return old
}

// CopyDemand copies the unmet demand, and the time without targets, from the classes of
// the last configuration to the current classes with the same key.
func (f *Fleet) CopyDemand(old []*Class) {
	for _, k := range old {
		n := f.classes[k.key]
		if n == nil {
			continue
		}
		for t, asked := range k.asked {
			if n.members[t] {
				n.asked[t] = asked
				n.outstanding += asked
			}
		}
		n.lastDemand = k.lastDemand
		if n.size == 0 && k.size == 0 {
			n.EmptySince = k.EmptySince
		}
	}
}
