// Package worker is the client of the platform's interface on a worker: it renews
// the leases of running tasks, stops, throttles and checkpoints them, and reads
// their resource usage.
package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/gravitational/trace"
)

const (
	// Timeout bounds one request to the platform.
	Timeout        = 2 * time.Second
	maxUsageReport = 4 << 20 // bytes of a usage report
)

// Platform controls the tasks that run on the worker.
type Platform interface {
	// Renew extends the task's lease; the platform stops a task whose lease has ended.
	Renew(ctx context.Context, id string, lease time.Duration) error
	// Stop stops the task.
	Stop(ctx context.Context, id string) error
	// Checkpoint saves the task's state.
	Checkpoint(ctx context.Context, id string) error
	// Throttle limits the task to a share (0 to 1) of its processors.
	Throttle(ctx context.Context, id string, share float64) error
	// Usage returns the newest usage report, which lags behind real time.
	Usage(ctx context.Context) (Usage, error)
}

// Usage is the platform's report of the resources that tasks have used.
type Usage struct {
	// At is the time that the report describes.
	At    time.Time   `json:"at"`
	Tasks []TaskUsage `json:"tasks"`
}

// TaskUsage is the resource usage of one task since its start.
type TaskUsage struct {
	ID               string  `json:"id"`
	ProcessorSeconds float64 `json:"processorSeconds"`
	MemoryBytes      int64   `json:"memoryBytes"`
}

// httpPlatform implements Platform by the HTTP interface on the worker.
type httpPlatform struct {
	url    string
	client *http.Client
}

// New returns a client of the platform at the base URL u, or a Platform that does
// nothing when u is empty.
func New(u string) Platform {
	if u == "" {
		return noPlatform{}
	}
	return httpPlatform{url: u, client: &http.Client{Timeout: Timeout}}
}

func (p httpPlatform) Renew(ctx context.Context, id string, lease time.Duration) error {
	return p.do(ctx, http.MethodPut, "/v1/tasks/"+url.PathEscape(id)+"/lease", struct {
		Lease string `json:"lease"`
	}{lease.String()}, nil)
}

func (p httpPlatform) Stop(ctx context.Context, id string) error {
	return p.do(ctx, http.MethodPost, "/v1/tasks/"+url.PathEscape(id)+"/stop", nil, nil)
}

func (p httpPlatform) Checkpoint(ctx context.Context, id string) error {
	return p.do(ctx, http.MethodPost, "/v1/tasks/"+url.PathEscape(id)+"/checkpoint", nil, nil)
}

func (p httpPlatform) Throttle(ctx context.Context, id string, share float64) error {
	return p.do(ctx, http.MethodPost, "/v1/tasks/"+url.PathEscape(id)+"/throttle", struct {
		Share float64 `json:"share"`
	}{share}, nil)
}

func (p httpPlatform) Usage(ctx context.Context) (u Usage, err error) {
	err = p.do(ctx, http.MethodGet, "/v1/usage", nil, &u)
	return u, err
}

// do sends in as JSON, unless it is nil, and decodes the response into out, unless
// that is nil.
func (p httpPlatform) do(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return trace.Wrap(err)
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, p.url+path, body)
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return trace.ConnectionProblem(err, "platform")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode < 200 || resp.StatusCode > 299 {
		return trace.ReadError(resp.StatusCode, []byte("platform answered "+resp.Status))
	}
	if out == nil {
		return nil
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxUsageReport)).Decode(out)
	return trace.Wrap(err)
}

// noPlatform implements Platform for workers without one: it does nothing.
type noPlatform struct{}

func (noPlatform) Renew(context.Context, string, time.Duration) error { return nil }
func (noPlatform) Stop(context.Context, string) error                 { return nil }
func (noPlatform) Checkpoint(context.Context, string) error           { return nil }
func (noPlatform) Throttle(context.Context, string, float64) error    { return nil }
func (noPlatform) Usage(context.Context) (Usage, error)               { return Usage{}, nil }
