package assign_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/admit"
	"cyclamenrelay.example/assign"
	"cyclamenrelay.example/peers"
)

// firstSize returns the size of the first deployment of docs/design/PLAN.md. Every third
// target is 1.5 times as large, and every third, in other racks, 1.3 times as fast.
func firstSize() size {
	return size{
		entries: 10, agents: 60, interval: timing().BusyInterval, cpu: 2800, cores: 32_000, links: peers.HomeEntries, dataCentres: 3,
		neighbours: 6, maxReturns: 2, until: 14 * time.Second, order: 5 * time.Millisecond,
		mix: func(a int) (float64, float64) {
			capacity, runTime := 1.0, 1.0
			if a/3%3 == 2 {
				capacity = 1.5
			}
			if a/3%3 == 1 {
				runTime = 1 / 1.3
			}
			return capacity, runTime
		},
	}
}

// unevenEntries are the factors on the load of the entries of the first deployment, by the
// jobs that its entries got in 25 s. The entries of a data centre are three apart.
var unevenEntries = []float64{0.65, 0.96, 1.05, 0.70, 1.36, 1.05, 0.74, 1.65, 1.05, 0.79}

// firstLoad is the factor on the rates of kinds with which the first deployment has a load
// of 70 % of its capacity.
const firstLoad = 1.2

// firstPatterns returns the load patterns of the first deployment.
func firstPatterns() []pattern {
	out := []pattern{
		{name: "steady", factor: burst("none", 1)},
		{name: "burst of all", factor: burst("", 1.7)},
		{name: "burst of claim", factor: burst("claim", 1.8)},
		{name: "burst of match", factor: burst("match", 1.6)},
		{name: "burst of tag", factor: burst("tag", 2.3)},
		{name: "burst of all, 2.5", factor: burst("", 2.5)},
		{name: "a third gone", factor: burst("none", 1), unavailable: 1.0 / 3},
	}
	for i := range out {
		out[i].entryFactor = func(e int, _ time.Duration) float64 { return firstLoad * unevenEntries[e%len(unevenEntries)] }
	}
	return out
}

// groups returns the groups of jobs, beside their kinds, for which the job is counted.
func (w *simulation) groups(j *simJob) []string {
	width := "wide"
	if float64(j.width) <= j.kind.width {
		width = "narrow"
	}
	return []string{w.dataCentre(j.entry), width, j.kind.name + " " + width}
}

// worstGroup returns the smallest share of the groups.
func (w *simulation) worstGroup(names ...string) float64 {
	worst := 1.0
	for _, n := range names {
		if t := w.byKind[n]; t != nil {
			worst = min(worst, t.share())
		}
	}
	return worst
}

// firstScore returns the score by the weights of the first deployment.
func (w *simulation) firstScore() float64 {
	return 0.4*w.byKind["all"].share() + 0.3*w.worstKind() + 0.2*w.worstGroup("dc0", "dc1", "dc2") + 0.1*w.worstWindows()
}

// admitJob returns the job as its admission by shares sees it.
func (j *simJob) admitJob(job assign.Job) admit.Job {
	return admit.Job{
		Pool: "p", Queue: j.kind.name, Priority: j.kind.priority, Slack: job.Slack, Tasks: j.width, Work: admit.Work(j.width, job.Tasks[0].Need, j.estimate),
	}
}

// limit sets the limits of the expected waits of a job, if they are by shares.
func (w *simulation) limit(j *simJob, job *assign.Job) {
	if w.fair {
		l := w.admission[j.entry].Limits(j.admitJob(*job), w.time())
		job.Limits = &l
	}
}

// recordAdmission records the decision on a job.
func (w *simulation) recordAdmission(j *simJob, job assign.Job, a assign.Admission) {
	if w.fair {
		w.admission[j.entry].Record(j.admitJob(job), a.Placements != nil, w.time())
	}
}

// simSearch is the last search of an entry for targets of others.
type simSearch struct {
	endedAt time.Duration
	found   bool
}

// searchInterval is the minimum interval between two searches, as in package broker.
const searchInterval = 50 * time.Millisecond

// search handles a job that does not fit on the known targets as package broker does: the job
// joins a search in progress or begins one. If the last one has just ended, it is refused, or
// waits for the next one when the entries admit by shares and the last one was successful.
func (w *simulation) search(j *simJob, job assign.Job, works []time.Duration, refused assign.Admission) {
	last := w.searches[j.entry]
	left := job.Slack - (w.now - j.submittedAt)
	again := func() {
		job := job
		job.Slack -= w.now - j.submittedAt
		w.limit(j, &job)
		a := w.fleets[j.entry].Admit(w.settings, job, w.time())
		w.send(j, job, works, a)
	}
	wait := last.endedAt + searchInterval - w.now
	switch {
	case w.now < last.endedAt:
		w.schedule(last.endedAt-w.now, again)
	case wait <= 0:
		w.borrow(j.entry, job.Tasks[0], again)
	case w.fair && last.found && left > wait+40*time.Millisecond:
		w.schedule(wait, func() { w.search(j, job, works, refused) })
	default:
		w.send(j, job, works, refused)
	}
}

// way is a way of admission to compare.
type way struct {
	name     string
	settings assign.Settings
	fair     bool // by shares in place of settings
	// change changes the deployment, unless it is nil.
	change func(*size)
}

// ways returns the ways of admission to compare; the first one is that of the defaults, the
// second one that by shares.
func ways() []way {
	limited := func(n *size) { n.limitSearches = true }
	return []way{
		{name: "0.8, 0.45", settings: assign.DefaultSettings()},
		{name: "shares", fair: true},
		{name: "0.8, 0.45, rare searches", settings: assign.DefaultSettings(), change: limited},
		{name: "shares, rare searches", fair: true, change: limited},
		{name: "shares, demand of all known", fair: true, change: func(n *size) { n.sharedDemand = true }},
		{name: "1, 1", settings: assign.Settings{Urgent: 1, Other: 1}},
		{name: "0.5, 0.45", settings: assign.Settings{Urgent: 0.5, Other: 0.45}},
		{name: "0.8, 0.2", settings: assign.Settings{Urgent: 0.8, Other: 0.2}},
	}
}

// widths are the groups of jobs by kind and width that the table shows.
var widths = []string{"match narrow", "match wide", "claim narrow", "claim wide", "tag narrow", "tag wide"}

// admissionLine simulates a pattern with a way of admission and returns the simulation and a
// table line: the score, and by kind and width the per cent of the jobs in time, refused and late.
func admissionLine(n size, p pattern, c way) (*simulation, string) {
	n.fair = c.fair
	if c.change != nil {
		c.change(&n)
	}
	w := simulate(n, p, c.settings, 7)
	var b strings.Builder
	fmt.Fprintf(&b, "| %s | %s | %.3f |", p.name, c.name, w.firstScore())
	for _, k := range widths {
		x := w.byKind[k]
		of := float64(max(x.submitted, 1)) / 100
		fmt.Fprintf(&b, " %.1f, %.1f, %.1f |", float64(x.inTime)/of, float64(x.refused)/of, float64(x.submitted-x.inTime-x.refused)/of)
	}
	return w, b.String()
}

// TestCompareAdmission guards against limits, by default or by shares, that lose jobs while the
// load is 70 % of the capacity. With ADMISSION_TABLE set it logs the tables of docs/design/admission.md: all
// ways of admission under all load patterns of the first deployment, and two of them at
// other sizes and with failures.
func TestCompareAdmission(t *testing.T) {
	for _, c := range ways()[:2] {
		w, line := admissionLine(firstSize(), firstPatterns()[0], c)
		t.Log(line)
		assert.Assert(t, w.inTime() > 0.99, "%s: %.3f of the jobs in time", c.name, w.inTime())
	}
	if os.Getenv("ADMISSION_TABLE") == "" {
		return
	}
	for _, p := range firstPatterns()[1:] {
		for _, c := range ways() {
			_, line := admissionLine(firstSize(), p, c)
			t.Log(line)
		}
	}
	for _, entries := range []int{3, 55, 300} {
		n := firstSize()
		n.entries, n.agents, n.until = entries, entries*6, burstEnd
		if entries > 100 {
			n.until = 8 * time.Second
		}
		p := firstPatterns()[1]
		p.name = fmt.Sprintf("%s, %d x %d", p.name, n.entries, n.agents)
		for _, c := range ways()[:2] {
			_, line := admissionLine(n, p, c)
			t.Log(line)
		}
	}
}

// failures returns load patterns with failures of entries, and the size with which each is
// simulated.
func failures() map[string]struct {
	size
	pattern
} {
	out := map[string]struct {
		size
		pattern
	}{}
	add := func(name string, n size, entryFactor func(e int, at time.Duration) float64) {
		p := firstPatterns()[1]
		p.name, n.until = name, burstEnd
		if entryFactor != nil {
			uneven := p.entryFactor
			p.entryFactor = func(e int, at time.Duration) float64 { return uneven(e, at) * entryFactor(e, at) }
		}
		out[name] = struct {
			size
			pattern
		}{n, p}
	}
	const nearlyNone = 0.05 // arrivals at other times begin at the next one
	add("an entry is paused, then gets its jobs at once", firstSize(), func(e int, at time.Duration) float64 {
		switch {
		case e == 7 && between(at, 6*time.Second, 8*time.Second):
			return nearlyNone
		case e == 7 && between(at, 8*time.Second, 9*time.Second):
			return 3
		}
		return 1
	})
	add("half of the entries are cut off", firstSize(), func(e int, at time.Duration) float64 {
		switch {
		case !between(at, 6*time.Second, 11*time.Second):
			return 1
		case e < 5:
			return nearlyNone
		}
		return 2
	})
	for _, factor := range []float64{0.1, 10} {
		n := firstSize()
		n.wrongLoad = factor
		add(fmt.Sprintf("a third of the targets report waits %g times as long", factor), n, nil)
	}
	return out
}

// Failure: in a burst of all kinds an entry is paused and goes on, half of the entries are
// cut off, or the reports of a third of the targets are wrong by ten times. Admission by
// shares must not serve the worst-served kind worse than admission by the expected wait.
func TestSharesWithFailures(t *testing.T) {
	for name, f := range failures() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			before, line := admissionLine(f.size, f.pattern, ways()[0])
			t.Log(line)
			shares, line := admissionLine(f.size, f.pattern, ways()[1])
			t.Log(line)
			assert.Assert(t, shares.worstKind() > before.worstKind()-0.02, "%.3f, without shares %.3f", shares.worstKind(), before.worstKind())
			assert.Assert(t, shares.firstScore() > before.firstScore()-0.02, "%.3f, without shares %.3f", shares.firstScore(), before.firstScore())
		})
	}
}
