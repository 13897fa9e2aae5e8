// Package fake simulates a target and the platform on its worker for tests and
// load runs: tasks only wait for their run time, and faults can be switched on.
// It serves the protocol of docs/DEVELOPING.md, "Targets and the platform".
package fake

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"cyclamenrelay.example/model"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
)

// Defaults of a Config.
const (
	DefaultRunTime = 50 * time.Millisecond
	DefaultLease   = 3 * time.Second
)

// Config are the settings of a Target.
type Config struct {
	Name       string
	DataCentre string
	Labels     model.Labels
	// URL is the target's own URL, for the agent; Agent is the agent's URL,
	// empty to send no announcements.
	URL   string
	Agent string
	Slots int
	Conns int
	// Lease is the lease of the announcement, RunTime the run time of tasks
	// whose body gives none.
	Lease   time.Duration
	RunTime time.Duration
	// UsageLag is the age of the usage that is reported.
	UsageLag time.Duration
	// LeaveFirst withdraws the announcement before the tasks in progress have
	// ended, not after.
	LeaveFirst bool
	Mode       Mode
	// StartLog receives the start log, nil for none.
	StartLog io.Writer
	Seed     uint64
	Clock    clockwork.Clock
	Log      *zap.Logger
}

// Mode is the set of faults that a target shows. The zero value is a healthy target.
type Mode struct {
	// StragglerShare of the tasks run StragglerFactor times longer.
	StragglerShare  float64 `json:"stragglerShare,omitempty"`
	StragglerFactor float64 `json:"stragglerFactor,omitempty"`
	// Fail makes every task fail at once.
	Fail bool `json:"fail,omitempty"`
	// Slow multiplies all run times, 0 or 1 for normal speed.
	Slow float64 `json:"slow,omitempty"`
	// Freeze stops all progress, answers and announcements.
	Freeze bool `json:"freeze,omitempty"`
}

// Check returns a trace.BadParameter that names the first invalid field.
func (m Mode) Check() error {
	switch {
	case m.StragglerShare < 0 || m.StragglerShare > 1:
		return trace.BadParameter("stragglerShare %v is not within 0 to 1", m.StragglerShare)
	case m.StragglerFactor < 0:
		return trace.BadParameter("stragglerFactor %v is negative", m.StragglerFactor)
	case m.Slow < 0:
		return trace.BadParameter("slow %v is negative", m.Slow)
	}
	return nil
}

func (m Mode) speed() float64 {
	switch {
	case m.Freeze:
		return 0
	case m.Slow > 0:
		return 1 / m.Slow
	}
	return 1
}

// Target is a simulated target with the platform of its worker.
type Target struct {
	cfg      Config
	clock    clockwork.Clock
	log      *zap.Logger
	startLog startLog

	mu        sync.Mutex
	rand      *rand.Rand
	mode      Mode
	unfrozen  chan struct{} // closed while the target is not frozen
	running   map[string]*task
	usedSlots int
	ended     []*task
	leaving   bool
	drained   chan struct{} // closed once the target is leaving and no task runs
}

// New returns a Target. The error is a trace.BadParameter.
func New(cfg Config) (*Target, error) {
	if cfg.Name == "" || cfg.Slots < 1 || cfg.Conns < 1 {
		return nil, trace.BadParameter("a target needs a name, at least one slot and at least one connection")
	}
	if err := cfg.Mode.Check(); err != nil {
		return nil, trace.Wrap(err)
	}
	if cfg.Lease == 0 {
		cfg.Lease = DefaultLease
	}
	if cfg.RunTime == 0 {
		cfg.RunTime = DefaultRunTime
	}
	if cfg.Clock == nil {
		cfg.Clock = clockwork.NewRealClock()
	}
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	t := &Target{
		cfg:      cfg,
		clock:    cfg.Clock,
		log:      cfg.Log,
		startLog: startLog{w: cfg.StartLog},
		rand:     rand.New(rand.NewPCG(cfg.Seed, 1)),
		unfrozen: make(chan struct{}),
		running:  map[string]*task{},
		drained:  make(chan struct{}),
	}
	close(t.unfrozen)
	return t, t.SetMode(cfg.Mode)
}

// SetMode changes the mode, also for running tasks. The error is a
// trace.BadParameter.
func (t *Target) SetMode(m Mode) error {
	if err := m.Check(); err != nil {
		return trace.Wrap(err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if m.Freeze && !t.mode.Freeze {
		t.unfrozen = make(chan struct{})
	}
	if !m.Freeze && t.mode.Freeze {
		close(t.unfrozen)
	}
	t.mode = m
	for _, k := range t.running {
		k.update(t.clock.Now(), func() { k.speed = m.speed() })
	}
	return nil
}

// Mode returns the mode in force.
func (t *Target) Mode() Mode {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mode
}

func (t *Target) unfrozenChan() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.unfrozen
}

// startTask takes a slot for the task and logs its start. It returns a nil task
// and no error when no slot is free or the target is leaving.
func (t *Target) startTask(id, job string, body []byte, lease time.Duration) (*task, error) {
	var spec TaskBody
	if json.Unmarshal(body, &spec) != nil {
		spec = TaskBody{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leaving || t.usedSlots >= t.cfg.Slots {
		return nil, nil
	}
	now := t.clock.Now()
	k := newTask(id, now, t.runTime(spec), t.mode.speed())
	k.job, k.spec = job, spec
	if t.mode.Fail {
		k.remaining, k.spec.Fail = 0, true
	}
	if lease > 0 {
		k.expires = now.Add(lease)
	}
	if err := t.logEvent(k, EventStart, ""); err != nil {
		return nil, err
	}
	t.usedSlots++
	t.running[id] = k
	return k, nil
}

func (t *Target) runTime(spec TaskBody) time.Duration {
	d := t.cfg.RunTime
	if spec.RunTime != nil {
		d = spec.RunTime.Std()
	}
	if t.rand.Float64() < t.mode.StragglerShare {
		d = time.Duration(float64(d) * max(1, t.mode.StragglerFactor))
	}
	return d
}

// finishTask logs the end of a task and frees its slot.
func (t *Target) finishTask(k *task, end string) error {
	err := t.logEvent(k, EventEnd, end)
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	k.update(now, func() { k.ended = now })
	if t.running[k.id] == k {
		delete(t.running, k.id)
	}
	t.ended = append(t.ended, k)
	t.pruneEnded(now)
	t.usedSlots--
	t.signalDrained()
	return err
}

// pruneEnded removes ended tasks that are too old for any further usage report.
func (t *Target) pruneEnded(now time.Time) {
	n := 0
	for n < len(t.ended) && now.Sub(t.ended[n].ended) > t.cfg.UsageLag {
		n++
	}
	t.ended = t.ended[n:]
}

func (t *Target) signalDrained() {
	if !t.leaving || t.usedSlots > 0 {
		return
	}
	select {
	case <-t.drained:
	default:
		close(t.drained)
	}
}

// Leave makes the target refuse new tasks. The returned channel is closed when
// the tasks in progress have ended.
func (t *Target) Leave() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
	t.signalDrained()
	return t.drained
}

func (t *Target) logEvent(k *task, event, outcome string) error {
	return t.startLog.write(LogRecord{
		Time: t.clock.Now(), Event: event, Task: k.id, Target: t.cfg.Name,
		Job: k.job, Request: k.spec.Request, Outcome: outcome,
	})
}

func (t *Target) runningTask(id string) (*task, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k, ok := t.running[id]
	if !ok {
		return nil, trace.NotFound("task %q is not running", id)
	}
	return k, nil
}

// taskUsage is the processor and memory usage of one task.
type taskUsage struct {
	ID               string  `json:"id"`
	ProcessorSeconds float64 `json:"processorSeconds"`
	MemoryBytes      int64   `json:"memoryBytes"`
}

const memoryPerTask = 64 << 20 // bytes

// usageReport returns the usage of the tasks that ran UsageLag ago, as of then.
func (t *Target) usageReport() (time.Time, []taskUsage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := t.clock.Now().Add(-t.cfg.UsageLag)
	out := []taskUsage{}
	report := func(k *task) {
		if d, ok := k.usageAt(at); ok {
			out = append(out, taskUsage{ID: k.id, ProcessorSeconds: d.Seconds(), MemoryBytes: memoryPerTask})
		}
	}
	for _, k := range t.ended {
		report(k)
	}
	for _, k := range t.running {
		report(k)
	}
	return at, out
}
