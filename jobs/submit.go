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

// Submit opens the job and starts its tasks, or returns the state of the job that
// an earlier submission with the key has opened at any entry. A NotRun means that
// this submission started nothing; with CodeConflict the key belongs to a
// different job.
func (m *Manager) Submit(ctx context.Context, s Spec) (wire.JobState, *model.NotRun) {
	began := m.records.Clock.Now()
	j, created := m.reserve(s, began)
	if !created {
		return m.answerResubmission(ctx, j, s)
	}
	res, err := m.recordOpen(ctx, j)
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
		return wire.JobState{}, &model.NotRun{Code: model.CodeInvalid, Reason: record.UnexpectedReason(res)}
	case r.Verdict == ledger.Full:
		m.drop(j)
		return wire.JobState{}, &model.NotRun{Code: model.CodeQueueFull, Reason: "the ledger is full", RetryAfter: time.Minute}
	case r.Verdict == ledger.Conflict:
		m.drop(j)
		return wire.JobState{}, conflict()
	case r.Job.Status != ledger.Open:
		m.drop(j)
		return record.JobState(*r.Job, true), nil
	case r.Job.Owner == m.records.Owner() && r.Job.Epoch == j.epoch:
		j.addAgents(r.Job.Agents)
		close(j.owned)
		m.background(func(ctx context.Context) { m.run(ctx, j) })
		return m.jobState(j, false), nil
	}
	return m.joinOrTakeOver(ctx, j, *r.Job)
}

func conflict() *model.NotRun {
	return &model.NotRun{Code: model.CodeConflict, Reason: "the key was used for another job"}
}

// reserve returns this entry's job with the key. If there is none it creates one
// and returns true.
func (m *Manager) reserve(s Spec, now time.Time) (j *job, created bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if j = m.jobs[s.Key]; j != nil {
		return j, false
	}
	j = newJob(s, 1, now)
	m.jobs[s.Key] = j
	return j, true
}

// drop deletes a job that this entry has not become the owner of.
func (m *Manager) drop(j *job) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.jobs[j.spec.Key] == j {
		delete(m.jobs, j.spec.Key)
	}
	close(j.dropped)
}

func (m *Manager) recordOpen(ctx context.Context, j *job) (ledger.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, record.OpenTimeout)
	defer cancel()
	probe := j.task(0, j.spec.TimeLeft)
	var agents []string
	for _, n := range m.router.Candidates(probe, maxJobAgents) {
		agents = append(agents, agentID(n))
	}
	return m.records.Propose(ctx, j.spec.Key, ledger.OpenJob{
		Key: j.spec.Key, Digest: j.spec.digest(), Owner: m.records.Owner(), Tasks: len(j.spec.Tasks), Agents: agents,
	})
}

// answerResubmission answers a submission whose key has a job at this entry
// already, after the attempt to open or take over that job.
func (m *Manager) answerResubmission(ctx context.Context, j *job, s Spec) (wire.JobState, *model.NotRun) {
	select {
	case <-j.owned:
	case <-j.dropped:
		return m.Submit(ctx, s)
	case <-ctx.Done():
		return wire.JobState{}, &model.NotRun{Code: model.CodeNoQuorum, Reason: "the job is not recorded yet", RetryAfter: time.Second}
	}
	if !bytes.Equal(j.spec.digest(), s.digest()) {
		return wire.JobState{}, conflict()
	}
	return m.jobState(j, true), nil
}

// joinOrTakeOver handles a job that another entry, or this one before a restart,
// has opened: it returns the state at the owner, or takes the job over when the
// owner is dead or no longer has it.
func (m *Manager) joinOrTakeOver(ctx context.Context, j *job, rec ledger.Job) (wire.JobState, *model.NotRun) {
	if n, ok := m.records.LiveOwner(rec.Owner); ok && rec.Owner != m.records.Owner() {
		st, answered := m.askOwner(ctx, n, rec.Key, wire.JobStatus)
		if !answered {
			st = record.JobState(rec, false)
		}
		if st.State != "" {
			m.drop(j)
			return st, nil
		}
	}
	rec, ok := m.takeOver(ctx, rec)
	if !ok {
		m.drop(j)
		return record.JobState(rec, rec.Status != ledger.Open), nil
	}
	m.records.Log.Info("job taken over", zap.String("job", rec.Key), zap.Uint64("epoch", rec.Epoch))
	j.epoch = rec.Epoch
	j.addAgents(rec.Agents)
	close(j.owned)
	m.background(func(ctx context.Context) { m.resume(ctx, j, rec) })
	return m.jobState(j, false), nil
}

// takeOver records this entry as the owner of the job, in the next epoch. It
// returns the latest known record and whether the entry is the owner.
func (m *Manager) takeOver(ctx context.Context, rec ledger.Job) (ledger.Job, bool) {
	ctx, cancel := context.WithTimeout(ctx, record.OpenTimeout)
	defer cancel()
	res, err := m.records.Propose(ctx, rec.Key, ledger.TakeJob{Key: rec.Key, Epoch: rec.Epoch, Owner: m.records.Owner()})
	if err != nil {
		return rec, false
	}
	r, ok := res.(ledger.JobResult)
	if !ok || r.Job == nil {
		return rec, false
	}
	owned := r.Job.Status == ledger.Open && r.Job.Owner == m.records.Owner() && r.Job.Epoch == rec.Epoch+1
	return *r.Job, owned
}

func (m *Manager) jobState(j *job, answer bool) wire.JobState {
	return j.status(m.records.Finder.Self().Name, m.records.Clock.Now(), answer)
}

// askOwner calls the owner of a job, and reports whether it answered. The state
// is empty when the owner does not have the job.
func (m *Manager) askOwner(ctx context.Context, owner wire.Node, key string, action wire.JobAction) (wire.JobState, bool) {
	a, err := m.node.Call(ctx, link.Dest{Address: owner.Address, Role: keys.Entry}, wire.AskJob{Key: key, Action: action})
	if err != nil {
		return wire.JobState{}, false
	}
	s, ok := a.(wire.JobState)
	return s, ok
}

// handleAskJob answers another entry about a job that this one owns or is about
// to open.
func (m *Manager) handleAskJob(_ context.Context, _ link.Peer, q wire.AskJob) wire.Message {
	m.mu.Lock()
	j := m.jobs[q.Key]
	m.mu.Unlock()
	if j != nil && !j.isOwned() {
		return wire.JobState{Key: q.Key, State: wire.JobOpen}
	}
	return m.localState(q.Key, q.Action)
}

// localState returns the state of a job that this entry owns, after cancelling it
// for JobCancel; it is empty for any other job.
func (m *Manager) localState(key string, action wire.JobAction) wire.JobState {
	m.mu.Lock()
	j := m.jobs[key]
	m.mu.Unlock()
	if j == nil || !j.isOwned() {
		return wire.JobState{Key: key}
	}
	if action == wire.JobCancel {
		j.cancel()
	}
	return m.jobState(j, action == wire.JobAnswer)
}

// State returns the state of a job at any entry, after cancelling it for JobCancel.
// It ends a job whose owner is dead. The state is empty when there is no such
// job.
func (m *Manager) State(ctx context.Context, key string, action wire.JobAction) (wire.JobState, error) {
	if s := m.localState(key, action); s.State != "" {
		return s, nil
	}
	res, err := m.records.Query(ctx, key, ledger.GetJob{Key: key})
	if err != nil {
		return wire.JobState{}, err
	}
	r, ok := res.(ledger.JobResult)
	if !ok || r.Job == nil {
		return wire.JobState{Key: key}, nil
	}
	rec := *r.Job
	n, alive := m.records.LiveOwner(rec.Owner)
	if alive && rec.Owner != m.records.Owner() {
		s, answered := m.askOwner(ctx, n, key, action)
		if s.State != "" {
			return s, nil
		}
		alive = !answered
	}
	// An owner that no longer has the job, this entry included, has given it up.
	if rec.Status == ledger.Open && (!alive || rec.Owner == m.records.Owner()) {
		return m.endOrphan(ctx, rec)
	}
	return record.JobState(rec, action == wire.JobAnswer), nil
}

// endOrphan takes over and ends a job whose owner is dead, so that its caller
// sees the end without a resubmission. The tasks' bodies are not known here, so
// that tasks that have not started never do.
func (m *Manager) endOrphan(ctx context.Context, rec ledger.Job) (wire.JobState, error) {
	s := Spec{Key: rec.Key, TimeLeft: model.MaxTimeToLive, Tasks: make([]TaskBody, rec.Tasks)}
	j, created := m.reserve(s, m.records.Clock.Now())
	if !created {
		return m.jobState(j, false), nil
	}
	j.bodiesUnknown = true
	st, _ := m.joinOrTakeOver(ctx, j, rec)
	return st, nil
}
