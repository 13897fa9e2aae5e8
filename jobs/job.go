package jobs

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"cyclamenrelay.example/ledger"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/wire"
)

const (
	// window bounds the tasks of one job that are queued or run at once.
	window = 128
	// minRetry is the least pause before a refused task is tried again.
	minRetry = 20 * time.Millisecond
	// maxJobAgents bounds the agents that one job may be placed on.
	maxJobAgents = ledger.MaxAgents
)

// Body is what one task of a job sends to its target.
type Body struct {
	Data []byte `cbor:"1,keyasint"`
	Type string `cbor:"2,keyasint,omitempty"`
}

// Spec is a submission.
type Spec struct {
	Key      string
	Labels   model.Labels
	Selector string
	Urgency  int
	// TimeLeft is the time to the job's deadline.
	TimeLeft time.Duration
	RunTime  time.Duration
	// Restart allows a task to start more than once.
	Restart bool
	Tasks   []Body
}

// job is a job that this entry owns.
type job struct {
	spec  Spec
	epoch uint64
	began time.Time
	// opened is closed once this entry owns the job, dropped when it does not
	// after all, done when the job has ended and was recorded.
	opened, dropped, done chan struct{}
	// bodiless is set when the tasks' bodies are not known here.
	bodiless bool

	mu      sync.Mutex
	stop    context.CancelFunc
	stopped bool
	agents  map[string]bool // recorded in the ledger
	names   []string        // of the agents, once no more may be recorded
	results []wire.Result   // by task; without an outcome while open
	count   int
	state   string
	reason  string

	// Set before done is closed.
	at   time.Time
	size int
}

func newJob(s Spec, epoch uint64, now time.Time) *job {
	return &job{
		spec: s, epoch: epoch, began: now,
		opened: make(chan struct{}), dropped: make(chan struct{}), done: make(chan struct{}),
		agents: map[string]bool{}, results: make([]wire.Result, len(s.Tasks)), state: wire.JobOpen,
	}
}

// record notes the agents that the ledger has for the job.
func (j *job) record(agents []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, a := range agents {
		j.agents[a] = true
	}
	j.close()
}

// close fixes the agents once no more may be recorded, so that the entry starts
// tasks at no others. It is called with mu held.
func (j *job) close() {
	if len(j.agents) < maxJobAgents || j.names != nil {
		return
	}
	for id := range j.agents {
		name, _, _ := strings.Cut(id, "#")
		j.names = append(j.names, name)
	}
}

// only returns the agents that the job is limited to, nil while there is no limit.
func (j *job) only() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.names
}

// setStop sets what cancels the job; a job cancelled before is cancelled now.
func (j *job) setStop(stop context.CancelFunc) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.stop = stop
	if j.stopped {
		stop()
	}
}

// cancel stops the job's queued and running tasks.
func (j *job) cancel() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.stopped = true
	if j.stop != nil {
		j.stop()
	}
}

func (j *job) isOpened() bool {
	select {
	case <-j.opened:
		return true
	default:
		return false
	}
}

func (j *job) ended() bool {
	select {
	case <-j.done:
		return true
	default:
		return false
	}
}

func (j *job) task(i int, left time.Duration) model.Task {
	s := j.spec
	return model.Task{
		ID: s.Key + "/" + strconv.Itoa(i), Labels: s.Labels, Selector: s.Selector, Urgency: s.Urgency, TimeLeft: left,
		RunTime: s.RunTime, Idempotent: s.Restart, Job: s.Key, Epoch: j.epoch, Body: s.Tasks[i].Data, Type: s.Tasks[i].Type,
		Agents: j.only(),
	}
}

// set records the outcome of task i, and reports whether it is the first.
func (j *job) set(i int, o model.Outcome) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.results[i].ID != "" {
		return false
	}
	j.results[i] = wire.ResultOf(j.spec.Key+"/"+strconv.Itoa(i), o)
	j.count++
	return true
}

func (j *job) has(i int) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.results[i].ID != ""
}

// verdict returns the job's state by its tasks: complete only when all are, and
// when their answers together are not too large to be passed on.
func (j *job) verdict() (state, reason string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.dropLarge()
	ran := false
	for _, r := range j.results {
		switch o := r.Outcome().(type) {
		case model.Complete:
			ran = true
		case model.Failed:
			ran = true
			if reason == "" {
				reason = "task " + r.ID + ": " + o.Reason
			}
		case model.NotRun:
			if reason == "" || o.Code != model.CodeCancelled {
				reason = "task " + r.ID + " was not run: " + o.Reason
			}
		}
	}
	switch {
	case reason == "":
		return wire.JobComplete, ""
	case ran:
		return wire.JobFailed, reason
	}
	return wire.JobNotRun, reason
}

// dropLarge replaces all answers when they are too large together. It is called
// with mu held.
func (j *job) dropLarge() {
	sum := 0
	for _, r := range j.results {
		if r.Complete != nil {
			sum += len(r.Complete.Body)
		}
	}
	if sum <= model.MaxBody {
		return
	}
	reason := "the job's answers have " + strconv.Itoa(sum) + " bytes, at most " + strconv.Itoa(model.MaxBody) + " are passed on"
	for i, r := range j.results {
		if r.Complete != nil {
			j.results[i] = wire.ResultOf(r.ID, model.Failed{Reason: reason, Status: r.Complete.Status, Target: r.Complete.Target})
		}
	}
}

// status returns the job as callers and other entries see it.
func (j *job) status(owner string, now time.Time, answer bool) wire.JobState {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := wire.JobState{
		Key: j.spec.Key, State: j.state, Tasks: len(j.results), Ended: j.count,
		Reason: j.reason, Owner: owner, Age: now.Sub(j.began),
	}
	for _, r := range j.results {
		if r.ID != "" && r.Complete == nil {
			s.Failed++
		}
	}
	if answer && j.state != wire.JobOpen {
		s.Results = j.results
	}
	return s
}

// statuses returns the ledger's form of the outcomes.
func (j *job) statuses() []byte {
	j.mu.Lock()
	defer j.mu.Unlock()
	out := make([]byte, len(j.results))
	for i, r := range j.results {
		switch r.Outcome().(type) {
		case model.Complete:
			out[i] = byte(ledger.Complete)
		case model.NotRun:
			out[i] = byte(ledger.NotRun)
		default:
			out[i] = byte(ledger.Failed)
		}
	}
	return out
}

// answer returns the encoded results, nil when they are larger than the ledger keeps.
func (j *job) answer() []byte {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.size = 0
	for _, r := range j.results {
		if r.Complete != nil {
			j.size += len(r.Complete.Body)
		}
	}
	if j.size > ledger.MaxAnswer {
		return nil
	}
	b, err := wire.MarshalValue(j.results)
	if err != nil || len(b) > ledger.MaxAnswer {
		return nil
	}
	return b
}
