package jobs

import (
	"bytes"
	"context"
	"time"

	"go.uber.org/zap"

	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/ledger"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/record"
	"cyclamenrelay.example/wire"
)

// Submit starts the job, or finds the one that an earlier submission with the
// key has started, at any entry. A NotRun says that this submission started
// nothing; CodeConflict that the key was used for another job.
func (m *Manager) Submit(ctx context.Context, s Spec) (wire.JobState, *model.NotRun) {
	began := m.book.Clock.Now()
	j, mine := m.reserve(s, began)
	if !mine {
		return m.resubmitted(ctx, j, s)
	}
	res, err := m.open(ctx, j)
	if err != nil {
		m.drop(j)
		return wire.JobState{}, &model.NotRun{
			Code: model.CodeNoQuorum, Reason: "the job could not be recorded: " + err.Error(), RetryAfter: time.Second,
		}
	}
	r, ok := res.(ledger.JobResult)
	switch {
	case !ok:
		m.drop(j)
		return wire.JobState{}, &model.NotRun{Code: model.CodeInvalid, Reason: record.Reason(res)}
	case r.Verdict == ledger.Full:
		m.drop(j)
		return wire.JobState{}, &model.NotRun{Code: model.CodeQueueFull, Reason: "the ledger is full", RetryAfter: time.Minute}
	case r.Verdict == ledger.Conflict:
		m.drop(j)
		return wire.JobState{}, conflict()
	case r.Job.Status != ledger.Open:
		m.drop(j)
		return record.State(*r.Job, true), nil
	case r.Job.Owner == m.book.Owner() && r.Job.Epoch == j.epoch:
		j.record(r.Job.Agents)
		close(j.opened)
		m.background(func(ctx context.Context) { m.run(ctx, j) })
		return m.state(j, false), nil
	}
	return m.join(ctx, j, *r.Job)
}

func conflict() *model.NotRun {
	return &model.NotRun{Code: model.CodeConflict, Reason: "the key was used for another job"}
}

// reserve returns this entry's job of the key and whether it was made now.
func (m *Manager) reserve(s Spec, now time.Time) (j *job, mine bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if j = m.jobs[s.Key]; j != nil {
		return j, false
	}
	j = newJob(s, 1, now)
	m.jobs[s.Key] = j
	return j, true
}

// drop forgets a job that this entry does not own after all.
func (m *Manager) drop(j *job) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.jobs[j.spec.Key] == j {
		delete(m.jobs, j.spec.Key)
	}
	close(j.dropped)
}

func (m *Manager) open(ctx context.Context, j *job) (ledger.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, record.OpenLimit)
	defer cancel()
	probe := j.task(0, j.spec.TimeLeft)
	var agents []string
	for _, n := range m.router.Candidates(probe, maxJobAgents) {
		agents = append(agents, agentID(n))
	}
	return m.book.Propose(ctx, j.spec.Key, ledger.OpenJob{
		Key: j.spec.Key, Digest: j.spec.digest(), Owner: m.book.Owner(), Tasks: len(j.spec.Tasks), Agents: agents,
	})
}

// resubmitted answers a submission whose key this entry is busy with or knows.
func (m *Manager) resubmitted(ctx context.Context, j *job, s Spec) (wire.JobState, *model.NotRun) {
	select {
	case <-j.opened:
	case <-j.dropped:
		return m.Submit(ctx, s)
	case <-ctx.Done():
		return wire.JobState{}, &model.NotRun{Code: model.CodeNoQuorum, Reason: "the job is not recorded yet", RetryAfter: time.Second}
	}
	if !bytes.Equal(j.spec.digest(), s.digest()) {
		return wire.JobState{}, conflict()
	}
	return m.state(j, true), nil
}

// join finds out about a job that another entry, or this one before it
// restarted, has opened: it asks the owner, or takes the job over from one that
// is dead or has given it up.
func (m *Manager) join(ctx context.Context, j *job, rec ledger.Job) (wire.JobState, *model.NotRun) {
	if n, ok := m.book.Find(rec.Owner); ok && rec.Owner != m.book.Owner() {
		st, answered := m.ask(ctx, n, rec.Key, wire.JobStatus)
		if !answered {
			st = record.State(rec, false)
		}
		if st.State != "" {
			m.drop(j)
			return st, nil
		}
	}
	rec, ok := m.take(ctx, rec)
	if !ok {
		m.drop(j)
		return record.State(rec, rec.Status != ledger.Open), nil
	}
	m.book.Log.Info("job taken over", zap.String("job", rec.Key), zap.Uint64("epoch", rec.Epoch))
	j.epoch = rec.Epoch
	j.record(rec.Agents)
	close(j.opened)
	m.background(func(ctx context.Context) { m.recover(ctx, j, rec) })
	return m.state(j, false), nil
}

// take makes this entry the owner, and reports whether it is.
func (m *Manager) take(ctx context.Context, rec ledger.Job) (ledger.Job, bool) {
	ctx, cancel := context.WithTimeout(ctx, record.OpenLimit)
	defer cancel()
	res, err := m.book.Propose(ctx, rec.Key, ledger.TakeJob{Key: rec.Key, Epoch: rec.Epoch, Owner: m.book.Owner()})
	if err != nil {
		return rec, false
	}
	r, ok := res.(ledger.JobResult)
	if !ok || r.Job == nil {
		return rec, false
	}
	mine := r.Job.Status == ledger.Open && r.Job.Owner == m.book.Owner() && r.Job.Epoch == rec.Epoch+1
	return *r.Job, mine
}

func (m *Manager) state(j *job, answer bool) wire.JobState {
	return j.status(m.book.Finder.Self().Name, m.book.Clock.Now(), answer)
}

// ask asks the owner of a job about it, and reports whether it answered. The
// state is empty when it does not have the job.
func (m *Manager) ask(ctx context.Context, owner wire.Node, key string, what wire.JobAction) (wire.JobState, bool) {
	a, err := m.node.Call(ctx, link.To{Address: owner.Address, Role: keys.Entry}, wire.AskJob{Key: key, Action: what})
	if err != nil {
		return wire.JobState{}, false
	}
	s, ok := a.(wire.JobState)
	return s, ok
}

// asked answers another entry about a job that this one owns or is opening.
func (m *Manager) asked(_ context.Context, _ link.Peer, q wire.AskJob) wire.Message {
	m.mu.Lock()
	j := m.jobs[q.Key]
	m.mu.Unlock()
	if j != nil && !j.isOpened() {
		return wire.JobState{Key: q.Key, State: wire.JobOpen}
	}
	return m.own(q.Key, q.Action)
}

// own returns the state of a job that this entry owns, an empty one for others.
func (m *Manager) own(key string, what wire.JobAction) wire.JobState {
	m.mu.Lock()
	j := m.jobs[key]
	m.mu.Unlock()
	if j == nil || !j.isOpened() {
		return wire.JobState{Key: key}
	}
	if what == wire.JobCancel {
		j.cancel()
	}
	return m.state(j, what == wire.JobAnswer)
}

// Ask returns what is known of a job at any entry, after cancelling it for
// JobCancel. The state is empty when there is no such job.
func (m *Manager) Ask(ctx context.Context, key string, what wire.JobAction) (wire.JobState, error) {
	if s := m.own(key, what); s.State != "" {
		return s, nil
	}
	res, err := m.book.Query(ctx, key, ledger.GetJob{Key: key})
	if err != nil {
		return wire.JobState{}, err
	}
	r, ok := res.(ledger.JobResult)
	if !ok || r.Job == nil {
		return wire.JobState{Key: key}, nil
	}
	rec := *r.Job
	n, alive := m.book.Find(rec.Owner)
	if alive && rec.Owner != m.book.Owner() {
		s, answered := m.ask(ctx, n, key, what)
		if s.State != "" {
			return s, nil
		}
		alive = !answered
	}
	// An owner that does not have the job, this entry included, has given it up.
	if rec.Status == ledger.Open && (!alive || rec.Owner == m.book.Owner()) {
		return m.adopt(ctx, rec)
	}
	return record.State(rec, what == wire.JobAnswer), nil
}

// adopt ends a job whose owner is dead, so that its caller learns of it without a
// resubmission. Its tasks' bodies are not known here: what has not started stays so.
func (m *Manager) adopt(ctx context.Context, rec ledger.Job) (wire.JobState, error) {
	s := Spec{Key: rec.Key, TimeLeft: model.MaxTimeToLive, Tasks: make([]Body, rec.Tasks)}
	j, mine := m.reserve(s, m.book.Clock.Now())
	if !mine {
		return m.state(j, false), nil
	}
	j.bodiless = true
	st, _ := m.join(ctx, j, rec)
	return st, nil
}
