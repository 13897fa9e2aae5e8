// Package load sends open-loop load to entries and measures how they serve it.
//
// Latency is counted from the intended send time, so a stalled server is
// charged for the requests that had to wait behind the stall.
//
// The ideal response time of a request is its own run time on an idle, healthy
// target plus the plan's NetworkTime, the least round trip from the caller
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

// DefaultTimeout bounds one request, and a job until its answer.
const DefaultTimeout = time.Minute

const backlog = 1 << 16 // arrivals that wait for a client

// Options say where and how a plan is run.
type Options struct {
	// Run names the run; it must differ between runs against one deployment.
	Run string
	// Entries are the URLs of the entries, used in turn.
	Entries []string
	// Metrics are the URLs of the /metrics of entries and agents.
	Metrics []string
	// StartLogs opens the targets' start logs after the run, nil for no check.
	StartLogs func() ([]io.ReadCloser, error)
	// Timeout bounds one arrival, 0 for DefaultTimeout.
	Timeout time.Duration
	Clock   clockwork.Clock
	// Client is the HTTP client, nil for one with a connection for each client
	// of the plan.
	Client *http.Client
}

// Run sends the plan's arrivals at their intended times and returns what was
// measured. When ctx ends early the result covers what was sent. Errors come
// from bad options, metrics and start logs; refused requests are results.
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
	before, err := wasted(ctx, o)
	if err != nil {
		return Result{}, err
	}
	rec := newRecorder(p, o.Run, o.Clock.Now())
	o.drive(ctx, p, rec)
	res := rec.result()
	after, err := wasted(context.WithoutCancel(ctx), o)
	if err != nil {
		return res, err
	}
	res.Wasted = perRequest(before, after, res)
	if o.StartLogs == nil {
		return res, nil
	}
	res.Truth, err = rec.judge(o.StartLogs)
	return res, err
}

type job struct {
	plan.Arrival
	n int
}

// drive sends all arrivals and returns when each has ended.
func (o Options) drive(ctx context.Context, p plan.Plan, rec *recorder) {
	s := &sender{client: o.Client, clock: o.Clock, entries: o.Entries, timeout: o.Timeout}
	queue := make(chan job, backlog)
	var wg sync.WaitGroup
	for range p.Clients {
		wg.Go(func() {
			for j := range queue {
				v := s.send(ctx, j.Arrival, j.n)
				rec.add(j.Arrival, v, o.Clock.Now())
			}
		})
	}
	src := plan.NewSource(p, o.Run)
	for n := 0; ; n++ {
		a, ok := src.Next()
		if !ok || !o.until(ctx, rec.start.Add(a.At)) {
			break
		}
		queue <- job{a, n}
	}
	close(queue)
	wg.Wait()
}

// until waits for the time; it returns false when ctx ends before.
func (o Options) until(ctx context.Context, at time.Time) bool {
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
