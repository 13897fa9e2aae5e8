package jobs

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"cyclamenrelay.example/ledger"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/wire"
)

const (
	fenceTimeout = 2 * time.Second
	// fenceLimit bounds how long an agent may stay unreachable before a new owner
	// gives it up.
	fenceLimit = 8 * time.Second
	fencePause = 200 * time.Millisecond
)

// resume continues a job that was taken over from a dead owner. It fences every
// agent that the job may have been placed on, collects the outcomes from them,
// and starts only tasks that certainly never started. If an agent cannot tell,
// the tasks without an outcome fail, unless the job allows restarts.
func (m *Manager) resume(ctx context.Context, j *job, rec ledger.Job) {
	ctx, cancel := context.WithDeadline(ctx, j.began.Add(j.spec.TimeLeft))
	j.setStop(cancel)
	defer cancel()
	unknown := m.collectOutcomes(ctx, j, rec.Agents)
	if j.spec.Restart {
		unknown = ""
	}
	if unknown != "" || j.bodiesUnknown {
		reason := "the job's owner is dead"
		if unknown != "" {
			reason += " and agent " + unknown + " cannot tell which tasks it started"
		}
		m.records.Log.Warn("job cannot be resumed", zap.String("job", j.spec.Key), zap.String("reason", reason))
		for i := range j.results {
			if unknown != "" {
				j.setOutcome(i, model.Failed{Reason: reason, MayHaveRun: true})
			} else {
				j.setOutcome(i, model.NotRun{Code: model.CodeCancelled, Reason: reason})
			}
		}
	}
	m.run(ctx, j)
}

// collectOutcomes collects the outcomes from all agents at once. It returns an
// agent that cannot tell which tasks it started, or "" when there is none.
func (m *Manager) collectOutcomes(ctx context.Context, j *job, agents []string) string {
	unresolved := make(chan string, len(agents))
	var wg sync.WaitGroup
	for _, a := range agents {
		wg.Go(func() {
			if !m.collectFrom(ctx, j, a) {
				unresolved <- a
			}
		})
	}
	wg.Wait()
	select {
	case a := <-unresolved:
		return a
	default:
		return ""
	}
}

// collectFrom fences one agent, so that it starts no more tasks of the old owner,
// and waits until the tasks that it has started have ended. It returns false
// when the agent has restarted, is unreachable or knows a newer owner.
func (m *Manager) collectFrom(ctx context.Context, j *job, agent string) bool {
	name, inc, ok := strings.Cut(agent, "#")
	if !ok {
		return false
	}
	giveUpAt := m.records.Clock.Now().Add(fenceLimit)
	for ctx.Err() == nil {
		f, answered := m.fenceAgent(ctx, name, j)
		switch {
		case answered && (f.Refused || strconv.FormatUint(f.Incarnation, 36) != inc):
			return false
		case answered:
			giveUpAt = m.records.Clock.Now().Add(fenceLimit)
			if j.mergeOutcomes(f.Tasks) {
				return true
			}
		case m.records.Clock.Now().After(giveUpAt):
			return false
		}
		select {
		case <-ctx.Done():
		case <-m.records.Clock.After(fencePause):
		}
	}
	return false
}

func (m *Manager) fenceAgent(ctx context.Context, agent string, j *job) (wire.Fenced, bool) {
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	a, err := m.node.CallPeer(ctx, agent, wire.Fence{Job: j.spec.Key, Epoch: j.epoch})
	if err != nil {
		return wire.Fenced{}, false
	}
	f, ok := a.(wire.Fenced)
	return f, ok
}

// mergeOutcomes stores the outcomes of ended tasks, and reports whether all tasks
// that the agent has started have ended.
func (j *job) mergeOutcomes(tasks []wire.FencedTask) bool {
	allEnded := true
	for _, t := range tasks {
		if t.Result == nil {
			allEnded = false
			continue
		}
		i, err := strconv.Atoi(strings.TrimPrefix(t.ID, j.spec.Key+"/"))
		if err != nil || i < 0 || i >= len(j.results) || j.hasOutcome(i) {
			continue
		}
		j.setOutcome(i, t.Result.Outcome())
	}
	return allEnded
}
