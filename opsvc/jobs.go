package opsvc

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"cyclamenrelay.example/admin"
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/wire"
)

const (
	queryTimeout = time.Second
	// maxListedJobs bounds the jobs that one entry lists in one message.
	maxListedJobs = 10_000
	// stateOpen is the job manager's state of a job that has not ended; the API
	// shows it to operators as stateRunning.
	stateOpen    = "open"
	stateRunning = "running"
)

func (s *Service) listJobs(_ context.Context, _ link.Peer, q wire.ListJobs) wire.Message {
	return wire.JobList{Jobs: s.jobs.List(q.State, min(max(q.Limit, 0), maxListedJobs))}
}

// Jobs implements admin.Backend. It merges the jobs of this entry with those of
// all other entries that answer within queryTimeout.
func (s *Service) Jobs(ctx context.Context, state string, n int) ([]admin.JobStatus, error) {
	if state == stateRunning {
		state = stateOpen
	}
	n = min(n, maxListedJobs)
	var mu sync.Mutex
	all := s.jobs.List(state, n)
	var wg sync.WaitGroup
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	self := s.finder.Self().Name
	for _, e := range s.finder.Nodes(keys.Entry) {
		if e.Name == self {
			continue
		}
		wg.Go(func() {
			a, err := s.node.Call(ctx, link.Dest{Address: e.Address, Role: keys.Entry}, wire.ListJobs{State: state, Limit: n})
			l, ok := a.(wire.JobList)
			if err != nil || !ok {
				s.opts.Log.Warn("job list not received from entry", zap.String("entry", e.Name), zap.Error(err))
				return
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, l.Jobs...)
		})
	}
	wg.Wait()
	slices.SortFunc(all, func(a, b wire.JobState) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Key, b.Key)) })
	var out []admin.JobStatus
	for _, j := range all[:min(n, len(all))] {
		out = append(out, s.jobStatus(j))
	}
	return out, nil
}

// Job implements admin.Backend.
func (s *Service) Job(ctx context.Context, key string) (admin.JobStatus, error) {
	return s.askJob(ctx, key, wire.JobStatus)
}

// CancelJob implements admin.Backend.
func (s *Service) CancelJob(ctx context.Context, key, _ string) (admin.JobStatus, error) {
	return s.askJob(ctx, key, wire.JobCancel)
}

func (s *Service) askJob(ctx context.Context, key string, action wire.JobAction) (admin.JobStatus, error) {
	st, err := s.jobs.State(ctx, key, action)
	if err != nil {
		return admin.JobStatus{}, trace.ConnectionProblem(err, "the job's record cannot be read: %v", err)
	}
	if st.State == "" {
		return admin.JobStatus{}, trace.NotFound("no job has the key %q, or its record has expired", key)
	}
	return s.jobStatus(st), nil
}

func (s *Service) jobStatus(j wire.JobState) admin.JobStatus {
	out := admin.JobStatus{
		Key: j.Key, State: j.State, Tasks: j.Tasks, Done: j.Ended, Failed: j.Failed, Owner: j.Owner, Reason: j.Reason,
	}
	if j.State == stateOpen {
		out.State = stateRunning
	}
	if j.Age > 0 {
		out.Submitted = s.opts.Clock.Now().Add(-j.Age).UTC()
	}
	return out
}
