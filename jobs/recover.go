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
	// fenceLimit bounds how long a new owner tries to reach an agent of the job.
	fenceLimit = 8 * time.Second
	fencePause = 200 * time.Millisecond
)

// recover goes on with a job of a dead owner. It fences every agent that the
// job may have been placed on, takes the outcomes that they know, and starts
// only what surely never started; the job fails where that is not known.
func (m *Manager) recover(ctx context.Context, j *job, rec ledger.Job) {
	ctx, cancel := context.WithDeadline(ctx, j.began.Add(j.spec.TimeLeft))
	j.setStop(cancel)
	defer cancel()
	unknown := m.collectAll(ctx, j, rec.Agents)
	if j.spec.Restart {
		unknown = ""
	}
	if unknown != "" || j.bodiless {
		reason := "the job's owner is gone"
		if unknown != "" {
			reason += " and agent " + unknown + " cannot tell what it started"
		}
		m.book.Log.Warn("job cannot go on", zap.String("job", j.spec.Key), zap.String("reason", reason))
		for i := range j.results {
			if unknown != "" {
				j.set(i, model.Failed{Reason: reason, MayHaveRun: true})
			} else {
				j.set(i, model.NotRun{Code: model.CodeCancelled, Reason: reason})
			}
		}
	}
	m.run(ctx, j)
}

// collectAll collects from all agents and returns one that cannot tell, if any.
func (m *Manager) collectAll(ctx context.Context, j *job, agents []string) string {
	lost := make(chan string, len(agents))
	var wg sync.WaitGroup
	for _, a := range agents {
		wg.Go(func() {
			if !m.collect(ctx, j, a) {
				lost <- a
			}
		})
	}
	wg.Wait()
	select {
	case a := <-lost:
		return a
	default:
		return ""
	}
}

// collect fences one agent and waits for the outcomes of the tasks that it has
// started. It reports false when the agent cannot tell.
func (m *Manager) collect(ctx context.Context, j *job, agent string) bool {
	name, inc, ok := strings.Cut(agent, "#")
	if !ok {
		return false
	}
	lost := m.book.Clock.Now().Add(fenceLimit)
	for ctx.Err() == nil {
		f, answered := m.fence(ctx, name, j)
		switch {
		case answered && (f.Refused || strconv.FormatUint(f.Incarnation, 36) != inc):
			return false
		case answered:
			lost = m.book.Clock.Now().Add(fenceLimit)
			if j.learn(f.Tasks) {
				return true
			}
		case m.book.Clock.Now().After(lost):
			return false
		}
		select {
		case <-ctx.Done():
		case <-m.book.Clock.After(fencePause):
		}
	}
	return false
}

func (m *Manager) fence(ctx context.Context, agent string, j *job) (wire.Fenced, bool) {
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	a, err := m.node.CallPeer(ctx, agent, wire.Fence{Job: j.spec.Key, Epoch: j.epoch})
	if err != nil {
		return wire.Fenced{}, false
	}
	f, ok := a.(wire.Fenced)
	return f, ok
}

// learn takes over the outcomes of ended tasks and reports whether all that
// the agent has started are ended.
func (j *job) learn(tasks []wire.FencedTask) bool {
	all := true
	for _, t := range tasks {
		if t.Result == nil {
			all = false
			continue
		}
		i, err := strconv.Atoi(strings.TrimPrefix(t.ID, j.spec.Key+"/"))
		if err != nil || i < 0 || i >= len(j.results) || j.has(i) {
			continue
		}
		j.set(i, t.Result.Outcome())
	}
	return all
}
