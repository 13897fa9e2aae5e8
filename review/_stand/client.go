package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"
)

const (
	host         = "desk.example"
	prefix       = "/work1/"
	deadlineHead = "X-Cyclamenrelay-Deadline-Milliseconds"
	// retransmit is when a client sends a best-effort job again after it got no answer.
	retransmit = 1300 * time.Millisecond
	// trafficAfter is when the traffic starts, counted from the start of the machines.
	trafficAfter = 10 * time.Second
)

// httpClient opens a connection for each call, as each client has its own.
var httpClient = &http.Client{Transport: &http.Transport{
	DisableKeepAlives: true,
	DialContext:       (&net.Dialer{Timeout: time.Second}).DialContext,
}}

// call sends one request and reads the whole response.
func call(ctx context.Context, method, url, hostName string, header map[string]string, body io.Reader) (int, string, error) {
	r, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return 0, "", err
	}
	r.Host = hostName
	r.Header.Set("Content-Type", "application/json")
	for k, v := range header {
		r.Header.Set(k, v)
	}
	a, err := httpClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	return a.StatusCode, string(b), err
}

// step is a step of a job.
type step struct {
	Count     int   `json:"count"`
	CPU       int64 `json:"cpu"`
	Memory    int64 `json:"task_memory_mb"`
	Estimated int64 `json:"estimated_ms"`
	After     []int `json:"after,omitempty"`
	// Label is a label that the executor must have.
	Label string `json:"requirements,omitempty"`
}

// job is a best-effort job of a client.
type job struct {
	id       string
	spec     taskSpec
	steps    []step
	deadline time.Duration
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func (j job) body() []byte {
	spec, _ := json.Marshal(j.spec)
	b, _ := json.Marshal(map[string]any{"task_spec": string(spec), "best_effort": true, "steps": j.steps})
	return b
}

// url returns the address of a job at a frontend.
func (m *machine) url(id string) string {
	return fmt.Sprintf("http://%s:%d%s%s", m.ip, portFrontend, prefix, id)
}

// configuration returns a configuration with one queue.
func (d *deployment) configuration(version int, stretch float64, timeout, target time.Duration) []byte {
	b, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-1", "host": host, "path_prefix": prefix, "kind": "non_idempotent", "timeout_ms": timeout.Milliseconds(),
			"target_completion_ms": target.Milliseconds(), "priority": 0, "service": d.service, "max_attempts": 3, "stretch": stretch,
		}},
		"services": []map[string]any{{
			"name": d.service, "health_path": "/health", "connection_limit": 64, "protocol": "h1", "tls": false,
			"admission_check": true, "standby": false,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	return b
}

// awaitServing returns once the operator's configuration is acknowledged, each frontend
// has completed a job, and the machines have run for as long as before the traffic on the platform.
func (d *deployment) awaitServing(ctx context.Context, configuration []byte) error {
	for i := 0; ; i++ {
		status, _, err := d.put(ctx, d.cores[i%len(d.cores)], configuration)
		if err == nil && status == http.StatusOK {
			d.rec.event("configuration acknowledged by %s", d.cores[i%len(d.cores)].name)
			break
		}
		if !pause(ctx, 200*time.Millisecond) {
			return fmt.Errorf("no configuration acknowledged: status %d, %v", status, err)
		}
	}
	for _, f := range d.fronts {
		for {
			status, _, err := d.submitOnce(ctx, f, job{
				id: newID(), spec: taskSpec{WorkMS: 20, CPU: 100}, deadline: 1500 * time.Millisecond,
				steps: []step{{Count: len(d.sides), CPU: 100, Memory: 64, Estimated: 20}},
			})
			if err == nil && status == http.StatusOK {
				break
			}
			if !pause(ctx, 200*time.Millisecond) {
				return fmt.Errorf("%s serves no job: status %d, %v", f.name, status, err)
			}
		}
	}
	pause(ctx, trafficAfter-d.rec.now())
	return nil
}

// pause waits and reports whether ctx goes on.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// put sends a configuration to a core machine.
func (d *deployment) put(ctx context.Context, m *machine, b []byte) (int, string, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return call(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d/api/configuration/put", m.ip, portControl), "", nil, newReader(b))
}

// submitOnce sends a job once and waits for the response, at most for its deadline and
// half a second.
func (d *deployment) submitOnce(ctx context.Context, m *machine, j job) (int, string, error) {
	ctx, cancel := context.WithTimeout(ctx, j.deadline+500*time.Millisecond)
	defer cancel()
	d.rec.event("POST %s to %s", j.id, m.name)
	sent := time.Now()
	status, body, err := call(ctx, http.MethodPost, m.url(j.id), host, map[string]string{deadlineHead: strconv.FormatInt(j.deadline.Milliseconds(), 10)}, newReader(j.body()))
	took := time.Since(sent).Milliseconds()
	if err != nil {
		d.rec.event("POST %s to %s: no complete answer after %d ms: %v", j.id, m.name, took, err)
	} else {
		d.rec.event("POST %s to %s: %d %s after %d ms", j.id, m.name, status, body, took)
	}
	return status, body, err
}

// submit sends a job and, after no answer, 502 or 504, sends it again to another node
// retransmit later, at most tries times. It returns the last status.
func (d *deployment) submit(ctx context.Context, j job, tries int) int {
	at := rand.N(len(d.fronts))
	status := 0
	for range tries {
		var err error
		status, _, err = d.submitOnce(ctx, d.fronts[at%len(d.fronts)], j)
		if err == nil && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			return status
		}
		if !pause(ctx, retransmit) {
			return 0
		}
		at++
	}
	return status
}

// cancelJob sends the DELETE of a job.
func (d *deployment) cancelJob(ctx context.Context, m *machine, id string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	d.rec.event("DELETE %s to %s", id, m.name)
	status, _, err := call(ctx, http.MethodDelete, m.url(id), host, nil, nil)
	d.rec.event("DELETE %s to %s: %d %v", id, m.name, status, err)
	return status, err
}
