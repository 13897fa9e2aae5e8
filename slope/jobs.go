package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"
)

const (
	jobSettle   = 3 * time.Second
	jobRepeats  = 4
	jobLimit    = 20 * time.Second
	jobPoll     = 20 * time.Millisecond
	maxJobState = 1 << 20 // bytes
)

// measureJobs measures jobs against the number of agents.
func measureJobs(ctx context.Context, o options, r *report) error {
	for _, n := range o.Agents {
		d, err := deploy(ctx, o.Relayd, size{keepers: 3, entries: 2, agents: n, groups: 4})
		if err != nil {
			return err
		}
		err = d.sleep(ctx, jobSettle)
		if err == nil {
			err = d.wholeJobs(ctx, r, float64(n))
		}
		d.stop()
		if err != nil {
			return err
		}
	}
	return nil
}

// wholeJobs measures jobs of the largest size, one after another at one entry.
func (d *deployment) wholeJobs(ctx context.Context, r *report, n float64) error {
	before, began, done := use(d.entries[:1]), d.clock.Now(), 0
	wasted := d.entries[0].metric(`relay_wasted_messages_total{cause="bounced"}`)
	for i := range jobRepeats {
		state, err := d.job(ctx, fmt.Sprint("job-", i))
		if err != nil {
			return err
		}
		if state == "complete" {
			done++
		}
	}
	took := d.clock.Since(began)
	wasted = d.entries[0].metric(`relay_wasted_messages_total{cause="bounced"}`) - wasted
	r.add("jobs of 890 tasks that were complete", "agents", "of 4", n, float64(done))
	r.add("job of 890 tasks: time", "agents", "ms", n, float64(took.Milliseconds())/jobRepeats)
	r.add("job of 890 tasks: second choices a task", "agents", "1", n, wasted/jobRepeats/jobTasks)
	cpu := use(d.entries[:1]).cpu - before.cpu
	r.add("job of 890 tasks at its entry: processor a task", "agents", "us", n, float64(cpu.Microseconds())/jobRepeats/jobTasks)
	return nil
}

// job submits a job and returns the state that it ends in.
func (d *deployment) job(ctx context.Context, key string) (string, error) {
	type task struct {
		Body []byte `json:"body"`
	}
	body, err := json.Marshal(struct {
		Key      string            `json:"key"`
		Labels   map[string]string `json:"labels"`
		Deadline string            `json:"deadline"`
		Tasks    []task            `json:"tasks"`
	}{key, map[string]string{"kind": "kind-1"}, jobLimit.String(), make([]task, jobTasks)})
	if err != nil {
		return "", trace.Wrap(err)
	}
	url := "http://" + d.entries[0].http + "/v1/jobs"
	state, err := stateOf(ctx, http.MethodPost, url, body)
	for err == nil && state == "open" {
		if err = d.sleep(ctx, jobPoll); err == nil {
			state, err = stateOf(ctx, http.MethodGet, url+"/"+key, nil)
		}
	}
	return state, err
}

func stateOf(ctx context.Context, method, url string, body []byte) (string, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return "", trace.Wrap(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", trace.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxJobState))
	if err != nil {
		return "", trace.Wrap(err)
	}
	var st struct {
		State string `json:"state"`
	}
	if err := json.Unmarshal(b, &st); err != nil || st.State == "" {
		return "", trace.BadParameter("job refused: %s", b)
	}
	return st.State, nil
}
