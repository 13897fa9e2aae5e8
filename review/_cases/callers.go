package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// host and prefix of the routes of all cases.
const (
	hostName = "desk.example"
	prefix   = "/orders/"
	service  = "desk"
)

type m = map[string]any

// configuration returns a complete configuration.
func configuration(version int, services ...string) m {
	if len(services) == 0 {
		services = []string{service}
	}
	var list []m
	for _, s := range services {
		list = append(list, m{"name": s, "health_path": "/health", "connection_limit": 64, "protocol": "h1", "tls": false, "admission_check": true, "standby": false})
	}
	return m{
		"version": version,
		"routes": []m{{
			"name": "r-orders", "host": hostName, "path_prefix": prefix, "kind": "non_idempotent", "timeout_ms": 30000, "target_completion_ms": 60, "priority": 0,
			"service": services[0], "max_attempts": 2, "stretch": 1.6,
		}},
		"services": list,
		"limits":   m{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// put sends a configuration to the core machines in turn until one acknowledges it.
func (f *fleet) put(cfg m) error {
	b, _ := json.Marshal(cfg)
	c := &http.Client{Timeout: time.Second}
	for end, i := time.Now().Add(30*time.Second), 0; time.Now().Before(end); i++ {
		r, err := c.Post("http://"+f.cores[i%len(f.cores)].addr(controlPort)+"/api/configuration/put", "application/json", bytes.NewReader(b))
		if err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				f.rec.add("operator: configuration %v acknowledged by %s", cfg["version"], f.cores[i%len(f.cores)].name)
				return nil
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("no configuration was acknowledged")
}

// ready reports whether a frontend answers the platform's readiness check with 200.
func (f *fleet) ready(x *machine) bool {
	c := &http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + x.addr(readyPort) + "/api/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// waitReady waits until the frontends are ready.
func (f *fleet) waitReady(limit time.Duration, fronts ...*machine) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, x := range fronts {
			if f.ready(x) {
				n++
			}
		}
		if n == len(fronts) {
			return nil
		}
	}
	return fmt.Errorf("a frontend is not ready")
}

// newID draws the ID of a job.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// step returns a step of a job.
func step(count, cpu, ms int, more m) m {
	s := m{"count": count, "cpu": cpu, "task_memory_mb": 64, "estimated_ms": ms}
	for k, v := range more {
		s[k] = v
	}
	return s
}

// job returns the body of a job that need not be stored. All its tasks get the same spec.
func job(ms, cpu int, steps ...m) m {
	return m{"task_spec": fmt.Sprintf("ms=%d cpu=%d", ms, cpu), "best_effort": true, "steps": steps}
}

// send sends a request to a frontend on a connection of its own and returns the status, 0 without a response.
func (f *fleet) send(ctx context.Context, method string, to *machine, id string, body any, deadline time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	var b []byte
	if body != nil {
		b, _ = json.Marshal(body)
	}
	r, _ := http.NewRequestWithContext(ctx, method, "http://"+to.addr(callerPort)+prefix+id, bytes.NewReader(b))
	r.Host = hostName
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Cyclamenrelay-Deadline-Milliseconds", fmt.Sprint(deadline.Milliseconds()))
	f.rec.add("client: %s %s to %s", method, id, to.name)
	t := &http.Transport{DisableKeepAlives: true}
	a, err := (&http.Client{Transport: t}).Do(r)
	if err != nil {
		f.rec.add("client: %s %s at %s: no response: %v", method, id, to.name, err)
		return 0, ""
	}
	defer func() { _ = a.Body.Close() }()
	text, _ := io.ReadAll(a.Body)
	f.rec.add("client: %s %s at %s: %d %s", method, id, to.name, a.StatusCode, text)
	return a.StatusCode, string(text)
}

// acknowledged reports whether the status of a DELETE acknowledges the cancel.
func acknowledged(status int) bool { return status/100 == 2 || status == http.StatusGone }
