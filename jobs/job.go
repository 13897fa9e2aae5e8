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
	// maxConcurrentTasks bounds the tasks of one job that are queued or running.
	maxConcurrentTasks = 128
	// minRetryPause is the shortest pause before a refused task is retried.
	minRetryPause = 20 * time.Millisecond
	// maxJobAgents bounds the agents that one job may be placed on.
	maxJobAgents = ledger.MaxAgents
)

// TaskBody is the request body of one task of a job.
type TaskBody struct {
	Data []byte `cbor:"1,keyasint"`
	Type string `cbor:"2,keyasint,omitempty"`
}

// Spec is a submission of a job.
type Spec struct {
	// Key is the caller's key: submissions with the same key are resends.
	Key      string
	Labels   model.Labels
	Selector string
	Urgency  int
	// TimeLeft is the time to the job's deadline.
	TimeLeft time.Duration
	RunTime  time.Duration
	// Restart allows tasks to start more than once.
	Restart bool
	Tasks   []TaskBody
}

// job is a job that this entry owns, or tries to open or take over.
type job struct {
	spec  Spec
	epoch uint64
	began time.Time
	// owned is closed once the ledger has recorded this entry as the owner,
	// dropped once the entry has given the job up instead. done is closed when the
	// job has ended and the attempt to record its end is over.
	owned, dropped, done chan struct{}
	// bodiesUnknown is set when the job was taken over from its record alone,
	// which does not have the tasks' bodies.
	bodiesUnknown bool

	mu         sync.Mutex
	stop       context.CancelFunc
	stopped    bool
	agents     map[string]bool // agentIDs that are recorded in the ledger
	limitedTo  []string        // the agents' names once maxJobAgents are recorded, nil before
	results    []wire.Result   // by task; the ID is empty until the task has ended
	endedCount int             // results with an outcome
	state      string
	reason     string

	// endedAt and answerSize, the bytes of the answers, are set before done is
	// closed.
	endedAt    time.Time
	answerSize int
}

func newJob(s Spec, epoch uint64, now time.Time) *job {
	return &job{
		spec: s, epoch: epoch, began: now,
		owned: make(chan struct{}), dropped: make(chan struct{}), done: make(chan struct{}),
		agents: map[string]bool{}, results: make([]wire.Result, len(s.Tasks)), state: wire.JobOpen,
	}
}

// addAgents adds the agents that the ledger has recorded for the job.
func (j *job) addAgents(agents []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, a := range agents {
		j.agents[a] = true
	}
	j.limitAgents()
}

// limitAgents limits the job to its recorded agents once no more can be
// recorded, so that its tasks are routed to no others. It is called with mu held.
func (j *job) limitAgents() {
	if len(j.agents) < maxJobAgents || j.limitedTo != nil {
		return
	}
	for id := range j.agents {
		name, _, _ := strings.Cut(id, "#")
		j.limitedTo = append(j.limitedTo, name)
	}
}

// agentLimit returns the names of the agents that the job is limited to, nil
// while there is no limit.
func (j *job) agentLimit() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.limitedTo
}

// setStop sets the function that stops the job's tasks, and calls it if the job
// was cancelled before.
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

func (j *job) isOwned() bool {
	select {
	case <-j.owned:
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
		Agents: j.agentLimit(),
	}
}

// setOutcome stores the outcome of task i, and returns false when the task has
// one already.
func (j *job) setOutcome(i int, o model.Outcome) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.results[i].ID != "" {
		return false
	}
	j.results[i] = wire.ResultOf(j.spec.Key+"/"+strconv.Itoa(i), o)
	j.endedCount++
	return true
}

func (j *job) hasOutcome(i int) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.results[i].ID != ""
}

// finalState returns the job's state after all tasks have ended: complete only if
// all tasks are, and if their answers together are within model.MaxBody.
func (j *job) finalState() (state, reason string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.failOversized()
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

// failOversized replaces all complete results by failed ones when the answers
// together exceed model.MaxBody. It is called with mu held.
func (j *job) failOversized() {
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

// status returns the job's state for callers and other entries, with the results
// if answer is set and the job has ended.
func (j *job) status(owner string, now time.Time, answer bool) wire.JobState {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := wire.JobState{
		Key: j.spec.Key, State: j.state, Tasks: len(j.results), Ended: j.endedCount,
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

// taskStatuses returns the ledger.Status of each task.
func (j *job) taskStatuses() []byte {
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

// encodeAnswer sets answerSize and returns the encoded results, nil when they
// exceed ledger.MaxAnswer.
func (j *job) encodeAnswer() []byte {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.answerSize = 0
	for _, r := range j.results {
		if r.Complete != nil {
			j.answerSize += len(r.Complete.Body)
		}
	}
	if j.answerSize > ledger.MaxAnswer {
		return nil
	}
	b, err := wire.MarshalValue(j.results)
	if err != nil || len(b) > ledger.MaxAnswer {
		return nil
	}
	return b
}
