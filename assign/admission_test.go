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
		Pool: "p", Queue: j.kind.name, Priority: j.kind.priority, Slack: job.Slack, Work: admit.Work(j.width, job.Tasks[0].Need, j.estimate),
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

// way is a way of admission to compare.
type way struct {
	name     string
	settings assign.Settings
	fair     bool // by shares in place of settings
}

// ways returns the ways of admission to compare; the first one is that of the defaults.
func ways() []way {
	return []way{
		{"0.8, 0.45", assign.DefaultSettings(), false},
		{"shares", assign.Settings{}, true},
		{"1, 1", assign.Settings{Urgent: 1, Other: 1}, false},
		{"0.5, 0.45", assign.Settings{Urgent: 0.5, Other: 0.45}, false},
		{"0.8, 0.2", assign.Settings{Urgent: 0.8, Other: 0.2}, false},
	}
}

// widths are the groups of jobs by kind and width that the table shows.
var widths = []string{"match narrow", "match wide", "claim narrow", "claim wide", "tag narrow", "tag wide"}

// admissionLine simulates a pattern with a way of admission and returns the simulation and a
// table line: the score, and by kind and width the per cent of the jobs in time, refused and late.
func admissionLine(n size, p pattern, c way) (*simulation, string) {
	n.fair = c.fair
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

// TestCompareAdmission guards against default limits that lose jobs while the load is 70 % of
// the capacity. With ADMISSION_TABLE set it logs the table of docs/design/admission.md: all
// ways of admission under all load patterns of the first deployment.
func TestCompareAdmission(t *testing.T) {
	w, line := admissionLine(firstSize(), firstPatterns()[0], ways()[0])
	t.Log(line)
	assert.Assert(t, w.inTime() > 0.99, "%.3f of the jobs in time", w.inTime())
	if os.Getenv("ADMISSION_TABLE") == "" {
		return
	}
	for _, p := range firstPatterns()[1:] {
		for _, c := range ways() {
			_, line := admissionLine(firstSize(), p, c)
			t.Log(line)
		}
	}
}
