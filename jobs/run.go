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

// agentID names one process of an agent: one that has restarted does not know
// what it started before.
func agentID(n wire.Node) string { return n.Name + "#" + strconv.FormatUint(n.Incarnation, 36) }

// run runs the tasks without an outcome, and records the job's end. Each task
// is started at most once unless the job allows more.
func (m *Manager) run(ctx context.Context, j *job) {
	ctx, span := spans.Start(ctx, "job")
	defer span.End()
	ctx, stop := context.WithDeadline(ctx, j.began.Add(j.spec.TimeLeft))
	defer stop()
	j.setStop(stop)
	var wg sync.WaitGroup
	free := make(chan struct{}, window)
	for i := range j.spec.Tasks {
		if j.has(i) {
			continue
		}
		free <- struct{}{}
		wg.Go(func() {
			defer func() { <-free }()
			o := m.runTask(ctx, j, i)
			if !j.set(i, o) {
				panic("jobs: task " + strconv.Itoa(i) + " of " + j.spec.Key + " has two outcomes")
			}
			if _, ok := o.(model.Complete); !ok {
				// The job cannot be complete any more: its other tasks are not worth running.
				j.cancel()
			}
		})
	}
	wg.Wait()
	m.end(j)
}

// runTask tries a task again only while it certainly has not run.
func (m *Manager) runTask(ctx context.Context, j *job, i int) model.Outcome {
	for {
		left := j.began.Add(j.spec.TimeLeft).Sub(m.book.Clock.Now())
		if ctx.Err() != nil || left <= 0 {
			return model.NotRun{Code: model.CodeCancelled, Reason: "the job ended before the task started"}
		}
		o := m.router.Do(ctx, j.task(i, left), func(ctx context.Context, a wire.Node) bool { return m.allow(ctx, j, a) })
		n, ok := o.(model.NotRun)
		if !ok || (n.Code != model.CodeQueueFull && n.Code != model.CodeBusy) {
			return o
		}
		select {
		case <-ctx.Done():
		case <-m.book.Clock.After(max(n.RetryAfter, minRetry)):
		}
	}
}

// allow reports whether the job may be placed on the agent, recording it first.
func (m *Manager) allow(ctx context.Context, j *job, a wire.Node) bool {
	id := agentID(a)
	j.mu.Lock()
	known, full := j.agents[id], len(j.agents) >= maxJobAgents
	j.mu.Unlock()
	if known || full {
		return known
	}
	res, err := m.book.Propose(ctx, j.spec.Key, ledger.AddAgents{
		Key: j.spec.Key, Epoch: j.epoch, Owner: m.book.Owner(), Agents: []string{id},
	})
	if err != nil {
		return false
	}
	r, ok := res.(ledger.JobResult)
	if !ok || r.Verdict != ledger.Done {
		if ok && r.Verdict != ledger.Full {
			// The job has another owner, who may have ended it.
			j.cancel()
		}
		return false
	}
	j.mu.Lock()
	j.agents[id] = true
	j.close()
	j.mu.Unlock()
	return true
}

// end records the job's end; nobody learns of it before that.
func (m *Manager) end(j *job) {
	state, reason := j.verdict()
	status := ledger.Failed
	if state == wire.JobComplete {
		status = ledger.Complete
	}
	f := ledger.FinishJob{
		Key: j.spec.Key, Epoch: j.epoch, Owner: m.book.Owner(), Status: status, Outcomes: j.statuses(), Answer: j.answer(),
	}
	recorded := m.recordEnd(f)
	m.mu.Lock()
	if recorded {
		m.kept += j.size
	} else {
		// What is true of the job now, the ledger or its next owner knows.
		delete(m.jobs, j.spec.Key)
	}
	m.mu.Unlock()
	j.mu.Lock()
	j.at = m.book.Clock.Now()
	if recorded {
		j.state, j.reason = state, reason
	}
	j.mu.Unlock()
	close(j.done)
	m.book.Log.Info("job ended", zap.String("job", j.spec.Key), zap.String("state", state), zap.Bool("recorded", recorded),
		zap.String("reason", reason), zap.Duration("took", j.at.Sub(j.began)))
}

// recordEnd offers a job's end to the ledger until it is recorded, another entry
// owns the job, or this process stops. Until then the job stays known here, so
// that a resubmission does not start its tasks again.
func (m *Manager) recordEnd(f ledger.FinishJob) bool {
	for {
		ctx, cancel := context.WithTimeout(m.ctx, record.EndLimit)
		res, err := m.book.Propose(ctx, f.Key, f)
		cancel()
		if err == nil {
			r, ok := res.(ledger.JobResult)
			return ok && (r.Verdict == ledger.Done || (r.Verdict == ledger.Finished && r.Job.Epoch == f.Epoch))
		}
		m.book.Log.Warn("end of job not recorded yet", zap.String("job", f.Key), zap.Error(err))
		select {
		case <-m.ctx.Done():
			return false
		case <-m.book.Clock.After(record.MaxPause):
		}
	}
}
