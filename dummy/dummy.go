// Package dummy is a stand-in for a target and for the platform on its worker.
// It serves the protocol of docs/DEVELOPING.md, "Targets and the platform".
package dummy

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
	// URL is where the agent reaches the target; Agent is the agent's URL,
	// empty to announce nothing.
	URL   string
	Agent string
	Slots int
	Conns int
	// Lease is for the announcement, RunTime for bodies that declare none.
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

// Mode is how a target misbehaves. The zero value is a healthy target.
type Mode struct {
	// StragglerShare of the tasks run StragglerFactor times longer.
	StragglerShare  float64 `json:"stragglerShare,omitempty"`
	StragglerFactor float64 `json:"stragglerFactor,omitempty"`
	// Fail makes every task fail at once.
	Fail bool `json:"fail,omitempty"`
	// Slow stretches all run times by the factor, 0 or 1 for none.
	Slow float64 `json:"slow,omitempty"`
	// Freeze stops all progress, answers and announcements.
	Freeze bool `json:"freeze,omitempty"`
}

// Check returns a trace.BadParameter that names the first bad field.
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

// Target is a target with the platform of its worker.
type Target struct {
	cfg     Config
	clock   clockwork.Clock
	log     *zap.Logger
	journal journal

	mu      sync.Mutex
	rand    *rand.Rand
	mode    Mode
	thaw    chan struct{} // closed when not frozen
	running map[string]*task
	slots   int // in use
	ended   []*task
	leaving bool
	idle    chan struct{} // closed once leaving and nothing runs
}

// New returns a Target. The error is a trace.BadParameter.
func New(cfg Config) (*Target, error) {
	if cfg.Name == "" || cfg.Slots < 1 || cfg.Conns < 1 {
		return nil, trace.BadParameter("target needs a name, slots and connections")
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
		cfg:     cfg,
		clock:   cfg.Clock,
		log:     cfg.Log,
		journal: journal{w: cfg.StartLog},
		rand:    rand.New(rand.NewPCG(cfg.Seed, 1)),
		thaw:    make(chan struct{}),
		running: map[string]*task{},
		idle:    make(chan struct{}),
	}
	close(t.thaw)
	return t, t.SetMode(cfg.Mode)
}

// SetMode changes the mode; it acts on running tasks too. The error is a
// trace.BadParameter.
func (t *Target) SetMode(m Mode) error {
	if err := m.Check(); err != nil {
		return trace.Wrap(err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if m.Freeze && !t.mode.Freeze {
		t.thaw = make(chan struct{})
	}
	if !m.Freeze && t.mode.Freeze {
		close(t.thaw)
	}
	t.mode = m
	for _, k := range t.running {
		k.change(t.clock.Now(), func() { k.speed = m.speed() })
	}
	return nil
}

// Mode returns the mode in force.
func (t *Target) Mode() Mode {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mode
}

func (t *Target) thawed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.thaw
}

// begin takes a slot for the task and records the start. It returns nil and
// no error when there is no free slot or the target is leaving.
func (t *Target) begin(id, job string, body []byte, lease time.Duration) (*task, error) {
	var spec Spec
	if json.Unmarshal(body, &spec) != nil {
		spec = Spec{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leaving || t.slots >= t.cfg.Slots {
		return nil, nil
	}
	now := t.clock.Now()
	k := newTask(id, now, t.runTime(spec), t.mode.speed())
	k.job, k.spec = job, spec
	if t.mode.Fail {
		k.left, k.spec.Fail = 0, true
	}
	if lease > 0 {
		k.expires = now.Add(lease)
	}
	if err := t.record(k, EventStart, ""); err != nil {
		return nil, err
	}
	t.slots++
	t.running[id] = k
	return k, nil
}

func (t *Target) runTime(spec Spec) time.Duration {
	d := t.cfg.RunTime
	if spec.RunTime != nil {
		d = spec.RunTime.Std()
	}
	if t.rand.Float64() < t.mode.StragglerShare {
		d = time.Duration(float64(d) * max(1, t.mode.StragglerFactor))
	}
	return d
}

// finish records the end of a task and frees its slot.
func (t *Target) finish(k *task, end string) error {
	err := t.record(k, EventEnd, end)
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	k.change(now, func() { k.ended = now })
	if t.running[k.id] == k {
		delete(t.running, k.id)
	}
	t.ended = append(t.ended, k)
	t.prune(now)
	t.slots--
	t.settle()
	return err
}

// prune forgets ended tasks that no usage report can show any more.
func (t *Target) prune(now time.Time) {
	n := 0
	for n < len(t.ended) && now.Sub(t.ended[n].ended) > t.cfg.UsageLag {
		n++
	}
	t.ended = t.ended[n:]
}

func (t *Target) settle() {
	if !t.leaving || t.slots > 0 {
		return
	}
	select {
	case <-t.idle:
	default:
		close(t.idle)
	}
}

// Leave refuses new tasks from now on; the channel is closed when the tasks
// in progress have ended.
func (t *Target) Leave() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
	t.settle()
	return t.idle
}

func (t *Target) record(k *task, event, outcome string) error {
	return t.journal.add(Record{
		Time: t.clock.Now(), Event: event, Task: k.id, Target: t.cfg.Name,
		Job: k.job, Request: k.spec.Request, Outcome: outcome,
	})
}

func (t *Target) find(id string) (*task, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k, ok := t.running[id]
	if !ok {
		return nil, trace.NotFound("task %q is not running", id)
	}
	return k, nil
}

// usage is the usage of one task.
type usage struct {
	ID               string  `json:"id"`
	ProcessorSeconds float64 `json:"processorSeconds"`
	MemoryBytes      int64   `json:"memoryBytes"`
}

const memoryPerTask = 64 << 20 // bytes

// usageReport returns the usage as it was UsageLag ago.
func (t *Target) usageReport() (time.Time, []usage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := t.clock.Now().Add(-t.cfg.UsageLag)
	out := []usage{}
	report := func(k *task) {
		if d, ok := k.usageAt(at); ok {
			out = append(out, usage{ID: k.id, ProcessorSeconds: d.Seconds(), MemoryBytes: memoryPerTask})
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
