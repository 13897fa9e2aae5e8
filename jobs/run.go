package jobs

import (
	"context"
	"strconv"
	"sync"

	"go.uber.org/zap"

	"cyclamenrelay.example/ledger"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/record"
	"cyclamenrelay.example/spans"
	"cyclamenrelay.example/wire"
)

// agentID identifies one process of an agent by name and incarnation: after a
// restart the agent does not know the tasks that it started before.
func agentID(n wire.Node) string { return n.Name + "#" + strconv.FormatUint(n.Incarnation, 36) }

// run runs the tasks that have no outcome yet, and records the job's end. Each
// task is started at most once unless the job allows restarts.
func (m *Manager) run(ctx context.Context, j *job) {
	ctx, span := spans.Start(ctx, "job")
	defer span.End()
	ctx, stop := context.WithDeadline(ctx, j.began.Add(j.spec.TimeLeft))
	defer stop()
	j.setStop(stop)
	var wg sync.WaitGroup
	sem := make(chan struct{}, maxConcurrentTasks)
	for i := range j.spec.Tasks {
		if j.hasOutcome(i) {
			continue
		}
		sem <- struct{}{}
		wg.Go(func() {
			defer func() { <-sem }()
			o := m.runTask(ctx, j, i)
			if !j.setOutcome(i, o) {
				panic("jobs: task " + strconv.Itoa(i) + " of " + j.spec.Key + " has two outcomes")
			}
			if _, ok := o.(model.Complete); !ok {
				// The job can no longer be complete, so its other tasks are not run.
				j.cancel()
			}
		})
	}
	wg.Wait()
	m.end(j)
}

// runTask runs a task and retries it, until the job's deadline, only while it
// certainly has not run.
func (m *Manager) runTask(ctx context.Context, j *job, i int) model.Outcome {
	for {
		left := j.began.Add(j.spec.TimeLeft).Sub(m.records.Clock.Now())
		if ctx.Err() != nil || left <= 0 {
			return model.NotRun{Code: model.CodeCancelled, Reason: "the job ended before the task started"}
		}
		o := m.router.RunTask(ctx, j.task(i, left), func(ctx context.Context, a wire.Node) bool { return m.allowAgent(ctx, j, a) })
		n, ok := o.(model.NotRun)
		if !ok || (n.Code != model.CodeQueueFull && n.Code != model.CodeBusy) {
			return o
		}
		select {
		case <-ctx.Done():
		case <-m.records.Clock.After(max(n.RetryAfter, minRetryPause)):
		}
	}
}

// allowAgent records that the job may be placed on the agent, unless that is
// recorded already. It returns false when the agent could not be recorded.
func (m *Manager) allowAgent(ctx context.Context, j *job, a wire.Node) bool {
	id := agentID(a)
	j.mu.Lock()
	known, full := j.agents[id], len(j.agents) >= maxJobAgents
	j.mu.Unlock()
	if known || full {
		return known
	}
	res, err := m.records.Propose(ctx, j.spec.Key, ledger.AddAgents{
		Key: j.spec.Key, Epoch: j.epoch, Owner: m.records.Owner(), Agents: []string{id},
	})
	if err != nil {
		return false
	}
	r, ok := res.(ledger.JobResult)
	if !ok || r.Verdict != ledger.Done {
		if ok && r.Verdict != ledger.Full {
			// Another entry has taken over the job, and may have ended it.
			j.cancel()
		}
		return false
	}
	j.mu.Lock()
	j.agents[id] = true
	j.limitAgents()
	j.mu.Unlock()
	return true
}

// end records the job's end in the ledger before it becomes visible to callers.
func (m *Manager) end(j *job) {
	state, reason := j.finalState()
	status := ledger.Failed
	if state == wire.JobComplete {
		status = ledger.Complete
	}
	f := ledger.FinishJob{
		Key: j.spec.Key, Epoch: j.epoch, Owner: m.records.Owner(), Status: status, Outcomes: j.taskStatuses(), Answer: j.encodeAnswer(),
	}
	recorded := m.recordEnd(f)
	m.mu.Lock()
	if recorded {
		m.answerBytes += j.answerSize
	} else {
		// The ledger or the next owner has the job's actual state.
		delete(m.jobs, j.spec.Key)
	}
	m.mu.Unlock()
	j.mu.Lock()
	j.endedAt = m.records.Clock.Now()
	if recorded {
		j.state, j.reason = state, reason
	}
	j.mu.Unlock()
	close(j.done)
	m.records.Log.Info("job ended", zap.String("job", j.spec.Key), zap.String("state", state), zap.Bool("recorded", recorded),
		zap.String("reason", reason), zap.Duration("took", j.endedAt.Sub(j.began)))
}

// recordEnd retries until the ledger has recorded the job's end, another entry
// owns the job, or this process stops. The job is kept in memory meanwhile, so
// that a resubmission does not start its tasks again.
func (m *Manager) recordEnd(f ledger.FinishJob) bool {
	for {
		ctx, cancel := context.WithTimeout(m.ctx, record.EndTimeout)
		res, err := m.records.Propose(ctx, f.Key, f)
		cancel()
		if err == nil {
			r, ok := res.(ledger.JobResult)
			return ok && (r.Verdict == ledger.Done || (r.Verdict == ledger.Finished && r.Job.Epoch == f.Epoch))
		}
		m.records.Log.Warn("end of job not recorded yet", zap.String("job", f.Key), zap.Error(err))
		select {
		case <-m.ctx.Done():
			return false
		case <-m.records.Clock.After(record.MaxPause):
		}
	}
}
