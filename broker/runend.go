package broker

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cyclamenrelay.example/batch"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/meter"
	"cyclamenrelay.example/wire"
)

// endFromAnswer returns the end of a run by the agent's answer. Without a proof that the
// run has ended, the run is lost: it may still be in progress.
func endFromAnswer(answer wire.Message, err error) wire.RunEnded {
	switch answer := answer.(type) {
	case wire.RunEnded:
		if answer.Proof == "" {
			answer.End, answer.Reason = batch.Lost, "the agent did not prove that the run has ended: "+answer.Reason
		}
		return answer
	case wire.Refused:
		return wire.RunEnded{End: batch.NotStarted, Reason: answer.Reason, Proof: batch.ProofRefusal}
	}
	if link.NotSent(err) {
		return wire.RunEnded{End: batch.NotStarted, Reason: err.Error(), Proof: batch.ProofNoDelivery}
	}
	return wire.RunEnded{End: batch.Lost, Reason: err.Error()}
}

// recordEnd records the end of a run for the job, the target's health, and the estimates, and
// logs it unless the task is done.
func (w *jobRun) recordEnd(t *task, e wire.RunEnded, now time.Time) {
	w.openRuns--
	delete(w.open, t)
	w.ran = w.ran || e.End != batch.NotStarted
	w.lost = w.lost || e.End == batch.Lost
	b := w.broker
	b.mu.Lock()
	b.fleet.RecordEnd(t.agent, e.End, now)
	if e.End == batch.Done {
		ran := time.Duration(float64(e.Ran) / t.far) // as it would have been at the rack of the data
		b.fleet.RecordRunTime(t.agent, ran, b.learner.Estimate(w.queue.Name, w.job.Steps[t.step].Estimate))
		b.learner.RecordRunTime(w.queue.Name, ran)
		w.recordDelay(t, e, now)
	}
	b.mu.Unlock()
	if e.End == batch.Done {
		return
	}
	level := zap.InfoLevel
	if e.Returned {
		level = zap.DebugLevel
	}
	b.opts.Log.Check(level, "run not done").Write(zap.String("task", t.name), zap.Uint64("run", t.run), zap.String("agent", t.agent),
		zap.String("end", string(e.End)), zap.String("shown", string(e.Proof)), zap.String("reason", e.Reason), zap.Duration("waited", e.Waited), zap.Duration("ran", e.Ran))
}

// processResult processes the end of a run, and starts the task again if necessary. It returns
// the job's outcome when that ends the job, nil otherwise.
func (w *jobRun) processResult(ctx context.Context, r result) Outcome {
	t, e := r.task, r.ended
	now := w.broker.opts.Clock.Now()
	agent := t.agent
	w.recordEnd(t, e, now)
	switch e.End {
	case batch.Done:
		w.lastWaited, w.lastRan = e.Waited, e.Ran
		w.remaining[t.step]--
		return nil
	case batch.Failed:
		t.failures++
		t.avoid = append(t.avoid, agent)
		if t.failures >= max(w.queue.Attempts, 1) {
			return Failed{Reason: "a task used up its permitted attempts"}
		}
	case batch.NotStarted:
		if w.returning {
			if w.openRuns > 0 {
				return nil
			}
			return w.giveUp(stoppingReason)
		}
		if e.Returned || t.withdrawn {
			t.returns++
			meter.ReturnedTasks().Inc()
			break
		}
		t.excluded = append(t.excluded, agent)
	case batch.Unanswered:
		t.avoid = append(t.avoid, agent)
	case batch.Stopped:
		t.moves++
		t.avoid = append(t.avoid, agent)
	case batch.Lost:
		return Interrupted{Reason: "an agent was lost: " + e.Reason}
	}
	return w.retry(ctx, t, now)
}

// retry places the task once more and sends it, or gives the job up when that is not
// possible in time.
func (w *jobRun) retry(ctx context.Context, t *task, now time.Time) Outcome {
	if ctx.Err() != nil {
		return w.giveUp("the caller left or its time was up")
	}
	if isClosed(w.broker.shutdown.over) {
		return w.giveUp(stoppingReason)
	}
	if t.placements >= maxPlacements+t.failures+t.returns {
		return w.giveUp("no target started the work after the permitted number of placements")
	}
	if now.Add(w.estimate(w.job.Steps[t.step]) + overhead).After(w.limit) {
		return w.giveUp("too little time is left to start a task again")
	}
	if !w.broker.hasCaller(w.active) {
		return w.abandoned()
	}
	if !w.placeAgain(t) && !w.borrowAndPlace(ctx, t) {
		return w.giveUp("no other target can take the work")
	}
	w.startRun(ctx, t)
	return nil
}
