// Package load sends open-loop load to entries and measures how they serve it.
//
// Latency is measured from the intended send time, so it includes the wait of
// requests that were sent late because the server stalled (coordinated omission).
//
// The ideal response time of a request is its own run time on an idle, healthy
// target plus the plan's NetworkTime, the minimum round trip from the caller
// over the entry and the agent to the nearest target and back. A job's ideal
// is its longest task's run time plus NetworkTime.
package load

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"cyclamenrelay.example/plan"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
)

// DefaultTimeout is the time limit of one request, and of a job until its answer.
const DefaultTimeout = time.Minute

const maxWaitingArrivals = 1 << 16 // arrivals that may wait for a free client

// Options are the deployment and the settings of a run.
type Options struct {
	// Run names the run; it must differ between runs against one deployment.
	Run string
	// Entries are the URLs of the entries, used round-robin.
	Entries []string
	// Metrics are the URLs of the /metrics of entries and agents.
	Metrics []string
	// StartLogs opens the targets' start logs after the run, nil for no check.
	StartLogs func() ([]io.ReadCloser, error)
	// Timeout is the time limit of one request or job, 0 for DefaultTimeout.
	Timeout time.Duration
	Clock   clockwork.Clock
	// Client is the HTTP client, nil for one that keeps an idle connection for
	// each of the plan's clients.
	Client *http.Client
}

// Run sends the plan's arrivals at their intended times and returns what was
// measured. When ctx ends early the result covers the arrivals sent so far.
// Errors come from invalid options, metrics and start logs; refused requests
// count as results.
func Run(ctx context.Context, p plan.Plan, o Options) (Result, error) {
	if err := p.Check(); err != nil {
		return Result{}, trace.Wrap(err)
	}
	if len(o.Entries) == 0 || o.Run == "" || o.Clock == nil {
		return Result{}, trace.BadParameter("a run needs a name, entries and a clock")
	}
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	if o.Client == nil {
		tr := &http.Transport{MaxIdleConns: p.Clients, MaxIdleConnsPerHost: p.Clients}
		defer tr.CloseIdleConnections()
		o.Client = &http.Client{Transport: tr}
	}
	before, err := wastedByCause(ctx, o)
	if err != nil {
		return Result{}, err
	}
	rec := newRecorder(p, o.Run, o.Clock.Now())
	o.sendAll(ctx, p, rec)
	res := rec.result()
	after, err := wastedByCause(context.WithoutCancel(ctx), o)
	if err != nil {
		return res, err
	}
	res.Wasted = wastedPerRequest(before, after, res)
	if o.StartLogs == nil {
		return res, nil
	}
	res.Truth, err = rec.verifyStarts(o.StartLogs)
	return res, err
}

// numberedArrival is an arrival and its sequence number, which selects the entry.
type numberedArrival struct {
	plan.Arrival
	seq int
}

// sendAll queues the arrivals at their intended times for the clients and
// returns when each has ended.
func (o Options) sendAll(ctx context.Context, p plan.Plan, rec *recorder) {
	s := &sender{client: o.Client, clock: o.Clock, entries: o.Entries, timeout: o.Timeout}
	queue := make(chan numberedArrival, maxWaitingArrivals)
	var wg sync.WaitGroup
	for range p.Clients {
		wg.Go(func() {
			for j := range queue {
				v := s.send(ctx, j.Arrival, j.seq)
				rec.add(j.Arrival, v, o.Clock.Now())
			}
		})
	}
	src := plan.NewSource(p, o.Run)
	for n := 0; ; n++ {
		a, ok := src.Next()
		if !ok || !o.waitUntil(ctx, rec.start.Add(a.At)) {
			break
		}
		queue <- numberedArrival{a, n}
	}
	close(queue)
	wg.Wait()
}

// waitUntil waits until the time at; it returns false when ctx ends before.
func (o Options) waitUntil(ctx context.Context, at time.Time) bool {
	d := at.Sub(o.Clock.Now())
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-o.Clock.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
