package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// job is a job that need not be stored.
type job struct{ steps []step }

type step struct {
	count  int
	length time.Duration // run time of each task
	after  []int
	label  string
	cpu    int // 100 at least
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// client opens a connection for each request, as the platform forwards connections.
var client = http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// submit sends a job to a front and returns the status, 0 without an answer.
func (d *deployment) submit(n int, id string, j job, wait time.Duration) (status int, body string) {
	var steps []map[string]any
	spec := ""
	for _, s := range j.steps {
		m := map[string]any{"count": s.count, "cpu": max(s.cpu, 100), "task_memory_mb": 16, "estimated_ms": s.length.Milliseconds()}
		if len(s.after) > 0 {
			m["after"] = s.after
		}
		if s.label != "" {
			m["requirements"] = s.label
		}
		spec += strconv.FormatInt(s.length.Milliseconds(), 10) + " "
		steps = append(steps, m)
	}
	b, _ := json.Marshal(map[string]any{"task_spec": spec, "best_effort": true, "steps": steps})
	return d.call(http.MethodPost, n, id, b, wait)
}

// call sends a client's request to a front.
func (d *deployment) call(method string, n int, id string, body []byte, wait time.Duration) (status int, answer string) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+d.at(n, clientPort)+prefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Cyclamenrelay-Deadline-Milliseconds", strconv.FormatInt(wait.Milliseconds(), 10))
	a, err := client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return 0, err.Error()
	}
	return a.StatusCode, string(b)
}
