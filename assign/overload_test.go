package assign_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/assign"
	"cyclamenrelay.example/batch"
	"cyclamenrelay.example/room"
	"cyclamenrelay.example/wire"
)

// kind is a kind of job, as both firms send them.
type kind struct {
	name     string
	width    float64       // mean number of tasks of a job
	widest   int           // maximum number of tasks of a job
	work     time.Duration // mean run time of a task
	perS     float64       // arrival rate in jobs per second
	worth    float64       // value of a job of average size
	priority int
}

// kinds returns the kinds of jobs, at rates that use about 70 % of the capacity.
func kinds() []kind {
	return []kind{
		{"match", 8, 32, 60 * time.Millisecond, 34.4, 0.0291, 0},
		{"claim", 4, 16, 900 * time.Millisecond, 6.25, 0.16, 2},
		{"tag", 2, 8, 200 * time.Millisecond, 100, 0.01, 1},
	}
}

// size is the size of a deployment. Its load grows with the number of agents.
type size struct {
	entries, agents int
	interval        time.Duration // between two reports to one entry
	cpu             float64       // mean need of a task, in thousandths of a core
	cores           int64         // capacity of a target, in thousandths of a core
}

// today returns the size of the users' present deployments.
func today() size { return size{3, 11, 30 * time.Millisecond, 6200, 64_000} }

// grown returns the size of the users' grown deployments.
func grown() size { return size{8, 53, 100 * time.Millisecond, 2500, 32_000} }

const (
	hop      = 1500 * time.Microsecond // one-way network delay
	stretch  = 1.6                     // factor on the run time in the objective
	aim      = 60 * time.Millisecond   // fixed part of the objective
	overhead = 15 * time.Millisecond   // as in package broker
	warmUp   = 2 * time.Second         // jobs that begin before this are not counted
	length   = 22 * time.Second        // time of the last arrivals
)

// pattern is a load pattern of a simulation.
type pattern struct {
	name string
	// factor returns the factor on the arrival rate of a kind at a time.
	factor func(k string, at time.Duration) float64
	gone   float64 // fraction of the agents that have no target from 6 s to 12 s
}

func between(at, from, to time.Duration) bool { return at >= from && at < to }

// burst returns a factor function that gives x for one kind, or all kinds if k is empty,
// from 6 s to 11 s, and 1 otherwise.
func burst(k string, x float64) func(string, time.Duration) float64 {
	return func(name string, at time.Duration) float64 {
		if (k == "" || k == name) && between(at, 6*time.Second, 11*time.Second) {
			return x
		}
		return 1
	}
}

func patterns() []pattern {
	return []pattern{
		{"steady", burst("none", 1), 0},
		{"burst of match", burst("match", 2), 0},
		{"burst of claim", burst("claim", 2), 0},
		{"burst of tag", burst("tag", 2), 0},
		{"burst of all", burst("", 1.7), 0},
		{"half the targets gone", burst("none", 1), 0.45},
		{"a quarter gone, more load", func(string, time.Duration) float64 { return 1.15 }, 0.27},
	}
}

// event is a simulation event: do is called at a simulated time, events at the same time
// in the order of seq.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

// queue is a heap of events, the next one first.
type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	o := *q
	x := o[len(o)-1]
	*q = o[:len(o)-1]
	return x
}

// world is a discrete-event simulation of entries and agents that are connected by links
// with fixed delays.
type world struct {
	size
	rng      *rand.Rand
	settings assign.Settings
	start    time.Time
	now      time.Duration // simulated time since start
	seq      int
	events   queue
	fleets   []*assign.Fleet
	learners []*assign.Learner
	hosts    []*host
	lastID   uint64
	score    map[string]*tally // by kind name, and "all"
	windows  map[int]*tally    // by two-second window of the jobs' submission
}

// host is a simulated agent with its target.
type host struct {
	name  string
	room  *room.Room
	speed float64 // factor on run times: higher is slower
	open  bool
	seq   uint64
	tasks map[uint64]*simTask // by ticket ID
}

type simTask struct {
	job   *simJob
	work  time.Duration // run time on a target with speed 1
	agent int           // index in world.hosts
	need  batch.Resources
}

type simJob struct {
	kind     kind
	entry    int           // index in world.fleets
	begun    time.Duration // time of submission
	longest  time.Duration // work of its longest task
	left     int           // number of tasks that are not done
	worth    float64
	estimate time.Duration // of each task
}

// tally sums the results of a group of jobs: the value of all jobs, the value that was
// earned, and the numbers of jobs.
type tally struct {
	owed, earned                 float64
	asked, inTime, late, refused int
}

// share returns the fraction of the value that was earned.
func (t *tally) share() float64 {
	if t.owed == 0 {
		return 1
	}
	return t.earned / t.owed
}

// at schedules f to be called after d of simulated time.
func (w *world) at(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.events, event{w.now + d, w.seq, f})
}

func (w *world) time() time.Time { return w.start.Add(w.now) }

// play runs the simulation of a deployment under a load pattern.
func play(n size, p pattern, s assign.Settings, seed uint64) *world {
	w := &world{
		size: n, rng: rand.New(rand.NewPCG(seed, 9)), settings: s, start: time.Unix(1_700_000_000, 0),
		score: map[string]*tally{}, windows: map[int]*tally{},
	}
	for e := range w.entries {
		w.fleets = append(w.fleets, assign.New(fmt.Sprint("e", e), fmt.Sprint("dc", e)))
		w.learners = append(w.learners, assign.NewLearner())
	}
	for a := range w.agents {
		h := &host{name: fmt.Sprintf("a%02d", a), room: room.New(), speed: 1, open: true, tasks: map[uint64]*simTask{}}
		c := batch.Resources{CPU: w.cores, Memory: 262_144}
		if a%3 == 2 {
			h.speed, c.CPU = 1.3, w.cores*3/2
		}
		h.room.Resize(c)
		w.hosts = append(w.hosts, h)
		w.at(time.Duration(a)*time.Millisecond, func() { w.report(a) })
	}
	for e := range w.entries {
		for _, k := range kinds() {
			w.arrivals(p, k, e)
		}
	}
	if p.gone > 0 {
		set := func(open bool) func() {
			return func() {
				for _, h := range w.hosts[:int(p.gone*float64(w.agents))] {
					h.open = open
					h.room.SetOpen(open)
				}
			}
		}
		w.at(6*time.Second, set(false))
		w.at(12*time.Second, set(true))
	}
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		if w.now = e.at; w.now > length+8*time.Second {
			break
		}
		e.do()
	}
	return w
}

// load returns the factor on the arrival rates of today's deployment that uses the same
// fraction of this deployment's capacity.
func (n size) load() float64 {
	t := today()
	return float64(n.agents) * float64(n.cores) / n.cpu / (float64(t.agents) * float64(t.cores) / t.cpu)
}

// arrivals schedules the Poisson arrivals of a kind at an entry.
func (w *world) arrivals(p pattern, k kind, e int) {
	rate := k.perS * w.load() / float64(w.entries) * p.factor(k.name, w.now)
	d := time.Duration(w.rng.ExpFloat64() / rate * float64(time.Second))
	w.at(d, func() {
		if w.now > length {
			return
		}
		w.submit(k, e)
		w.arrivals(p, k, e)
	})
}

// report sends an agent's report to all entries, and schedules the next one.
func (w *world) report(a int) {
	h := w.hosts[a]
	for e, f := range w.fleets {
		r := wire.RoomReport{
			Agent: h.name, Room: w.roomOf(h, e), Pool: "p", DataCentre: fmt.Sprint("dc", a%w.entries), Open: h.open,
			Capacity: h.room.Capacity(),
		}
		w.at(hop, func() { f.Reported(r, w.time()) })
	}
	w.at(w.interval, func() { w.report(a) })
}

// roomOf returns the capacity use of a target as it is sent to an entry.
func (w *world) roomOf(h *host, entry int) wire.Room {
	h.seq++
	return wire.Room{
		Incarnation: 1, Seq: h.seq, Used: h.room.Used(), Yours: h.room.Of(fmt.Sprint(entry)), Turn: h.room.Turn(),
		Backlog: h.room.Backlog(w.time()),
	}
}

// lognormal draws from a log-normal distribution with the mean and sigma = spread.
func lognormal(rng *rand.Rand, mean, spread float64) float64 {
	return mean * math.Exp(rng.NormFloat64()*spread-spread*spread/2)
}

// submit creates a job at an entry, and sends its tasks if it is admitted.
func (w *world) submit(k kind, e int) {
	n := min(max(int(math.Round(lognormal(w.rng, k.width, 0.4))), 1), k.widest)
	base := lognormal(w.rng, float64(k.work), 0.4)
	j := &simJob{kind: k, entry: e, begun: w.now, left: n}
	j.estimate = w.learners[e].Estimate(k.name, time.Duration(base*(0.6+0.8*w.rng.Float64())))
	need := batch.Resources{CPU: int64(w.cpu * (0.8 + 0.4*w.rng.Float64())), Memory: 64}
	tasks := make([]assign.Task, n)
	works := make([]time.Duration, n)
	var work float64
	for i := range tasks {
		tasks[i] = assign.Task{Pool: "p", Need: need, Estimate: j.estimate}
		works[i] = time.Duration(base * (1 + 0.15*(2*w.rng.Float64()-1)))
		j.longest = max(j.longest, works[i])
		work += float64(works[i])
	}
	j.worth = k.worth * min(4, 0.3+0.7*work/(k.width*float64(k.work)))
	if w.now > warmUp {
		for _, t := range w.tallies(j) {
			t.asked++
			t.owed += j.worth
		}
	}
	slack := time.Duration((stretch-1)*float64(j.estimate)) + aim - overhead
	a := w.fleets[e].Admit(w.settings, assign.Job{
		Tasks: tasks, Priority: k.priority, Slack: slack,
	}, w.time())
	if a.Choices == nil {
		if w.now > warmUp {
			for _, t := range w.tallies(j) {
				t.refused++
			}
		}
		return
	}
	for i, c := range a.Choices {
		h := slices.IndexFunc(w.hosts, func(h *host) bool { return h.name == c.Agent })
		t := &simTask{job: j, work: works[i], agent: h, need: need}
		w.at(hop, func() { w.enter(t, slack) })
	}
}

// tallies returns the tallies in which the job is counted.
func (w *world) tallies(j *simJob) []*tally {
	win := int(j.begun / (2 * time.Second))
	for _, k := range []string{j.kind.name, "all"} {
		if w.score[k] == nil {
			w.score[k] = &tally{}
		}
	}
	if w.windows[win] == nil {
		w.windows[win] = &tally{}
	}
	return []*tally{w.score[j.kind.name], w.score["all"], w.windows[win]}
}

// enter queues a task at its target.
func (w *world) enter(t *simTask, slack time.Duration) {
	h := w.hosts[t.agent]
	w.lastID++
	h.tasks[w.lastID] = t
	h.room.Enter(room.Ticket{
		ID: w.lastID, Owner: fmt.Sprint(t.job.entry), Need: t.need, Estimate: t.job.estimate, Priority: t.job.kind.priority,
		Due: w.time().Add(slack), Until: w.time().Add(time.Hour),
	})
	w.fill(h)
}

// fill starts the tasks of a target that can start, and schedules their ends.
func (w *world) fill(h *host) {
	for {
		x, ok := h.room.Next()
		if !ok {
			return
		}
		t := h.tasks[x.ID]
		ran := time.Duration(float64(t.work) * h.speed)
		w.at(ran, func() {
			h.room.Leave(x.ID)
			delete(h.tasks, x.ID)
			w.fill(h)
			said := w.roomOf(h, t.job.entry)
			w.at(hop, func() {
				w.done(t, ran)
				w.fleets[t.job.entry].Heard(h.name, said, w.time())
			})
		})
	}
}

// done processes the end of a task at its entry, and counts its job after the last task.
func (w *world) done(t *simTask, ran time.Duration) {
	j := t.job
	f, l := w.fleets[j.entry], w.learners[j.entry]
	f.Release(w.hosts[t.agent].name, t.need)
	f.Ended(w.hosts[t.agent].name, batch.Done, w.time())
	f.Ran(w.hosts[t.agent].name, ran, j.estimate)
	l.Ran(j.kind.name, ran)
	if j.left--; j.left > 0 || j.begun <= warmUp {
		return
	}
	objective := time.Duration(stretch*float64(j.longest)) + aim - 8*time.Millisecond
	took := w.now - j.begun
	for _, x := range w.tallies(j) {
		switch {
		case took <= objective:
			x.inTime++
			x.earned += j.worth
		case took <= 3*objective:
			x.late++
			x.earned += j.worth / 5
		}
	}
}

// worst returns the mean share of the two worst time windows.
func (w *world) worst() float64 {
	var s []float64
	for _, t := range w.windows {
		if t.asked > 20 {
			s = append(s, t.share())
		}
	}
	slices.Sort(s)
	return (s[0] + s[1]) / 2
}

// least returns the share of the kind that earned the smallest share.
func (w *world) least() float64 {
	return min(w.score["match"].share(), w.score["claim"].share(), w.score["tag"].share())
}

// value returns the score by the weights of one firm: for the share of all jobs, that of
// the worst windows, and that of the worst-served kind.
func (w *world) value() float64 { return 0.35*w.score["all"].share() + 0.5*w.worst() + 0.15*w.least() }

// nines returns the availability, which is the fraction of jobs that were served, late or
// not, as a number of nines divided by three, at most 1.
func (w *world) nines() float64 {
	a := w.score["all"]
	unserved := 1 - float64(a.inTime+a.late)/float64(a.asked)
	return min(1, -math.Log10(max(unserved, 1e-3))/3)
}

// steady returns the score by the weights of the other firm, which minds each refusal.
func (w *world) steady() float64 {
	return 0.4*w.score["all"].share() + 0.35*w.nines() + 0.15*w.worst() + 0.1*w.least()
}

// result is the result of all patterns.
type result struct {
	// floods is the mean of value, refusals that of steady.
	floods, refusals float64
	// least is the smallest share that any kind earned in any pattern.
	least float64
	lines string // a text line for each pattern
}

// floods simulates all patterns. Most of them overload the deployment, so that admission
// decides the result: a kind of job arrives twice as often for five seconds, all kinds
// arrive more often, or targets are gone.
func floods(n size, s assign.Settings) result {
	r := result{least: 1}
	for _, p := range patterns() {
		w := play(n, p, s, 7)
		r.floods += w.value() / float64(len(patterns()))
		r.refusals += w.steady() / float64(len(patterns()))
		r.least = min(r.least, w.least())
		all := w.score["all"]
		r.lines += fmt.Sprintf("\n%-26s value %.3f steady %.3f all %.3f worst %.3f nines %.2f match %.2f claim %.2f tag %.2f refused %d late %d of %d",
			p.name, w.value(), w.steady(), all.share(), w.worst(), w.nines(),
			w.score["match"].share(), w.score["claim"].share(), w.score["tag"].share(), all.refused, all.late, all.asked)
	}
	return r
}

// TestAdmissionInFloods checks in overload simulations that the default admission limits
// score better than a limit of the whole slack, a tight limit for all queues, and a limit
// that refuses nearly all but the most urgent work. No kind of work may starve.
func TestAdmissionInFloods(t *testing.T) {
	best := floods(today(), assign.DefaultSettings())
	t.Log(best.lines)
	for _, s := range []assign.Settings{{Urgent: 1, Other: 1}, {Urgent: 0.25, Other: 0.25}, {Urgent: 1, Other: 0.05}} {
		other := floods(today(), s)
		assert.Assert(t, best.floods > other.floods, "%+v scores better than the default settings", s)
	}
	const starved = 0.5 // the users' minimum for each kind on any day
	assert.Assert(t, best.least > starved, "the worst-served kind earns a share of only %.2f", best.least)
}

// TestManyEntriesKeepApart checks the placement by many entries that do not know of each
// other's latest decisions. Eight entries share 53 targets, and get at most ten reports a
// second from each. A steady load of 70 % must still be served in time. The bound is the
// users' target for their grown deployments, which must be met easily.
func TestManyEntriesKeepApart(t *testing.T) {
	w := play(grown(), patterns()[0], assign.DefaultSettings(), 7)
	all := w.score["all"]
	t.Logf("all %.3f worst %.3f match %.2f claim %.2f tag %.2f refused %d late %d of %d", all.share(), w.worst(),
		w.score["match"].share(), w.score["claim"].share(), w.score["tag"].share(), all.refused, all.late, all.asked)
	const inTime = 0.95 // fraction of the jobs, at a steady load
	assert.Assert(t, float64(all.inTime) > inTime*float64(all.asked), "only %d of %d jobs ended in time", all.inTime, all.asked)
}
