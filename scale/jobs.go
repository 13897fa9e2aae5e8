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
	jobStartDelay   = 3 * time.Second
	jobRepeats      = 4
	jobDeadline     = 20 * time.Second
	jobPollInterval = 20 * time.Millisecond
	maxJobState     = 1 << 20 // bytes
)

// measureJobs measures jobs for several numbers of agents.
func measureJobs(ctx context.Context, o options, r *report) error {
	for _, n := range o.Agents {
		d, err := deploy(ctx, o.Relayd, deploymentSize{keepers: 3, entries: 2, agents: n, groups: 4})
		if err != nil {
			return err
		}
		err = d.sleep(ctx, jobStartDelay)
		if err == nil {
			err = d.measureLargestJobs(ctx, r, float64(n))
		}
		d.stop()
		if err != nil {
			return err
		}
	}
	return nil
}

// measureLargestJobs measures jobs of jobTasks tasks, the largest size, submitted
// one after another to one entry.
func (d *deployment) measureLargestJobs(ctx context.Context, r *report, agents float64) error {
	before, began, done := usageOf(d.entries[:1]), d.clock.Now(), 0
	wasted := d.entries[0].metric(`relay_wasted_messages_total{cause="bounced"}`)
	for i := range jobRepeats {
		state, err := d.runJob(ctx, fmt.Sprint("job-", i))
		if err != nil {
			return err
		}
		if state == "complete" {
			done++
		}
	}
	elapsed := d.clock.Since(began)
	wasted = d.entries[0].metric(`relay_wasted_messages_total{cause="bounced"}`) - wasted
	r.add("jobs of 890 tasks that were complete", "agents", "of 4", agents, float64(done))
	r.add("job of 890 tasks: time", "agents", "ms", agents, float64(elapsed.Milliseconds())/jobRepeats)
	r.add("job of 890 tasks: second choices a task", "agents", "1", agents, wasted/jobRepeats/jobTasks)
	cpu := usageOf(d.entries[:1]).cpu - before.cpu
	r.add("job of 890 tasks at its entry: processor a task", "agents", "us", agents, float64(cpu.Microseconds())/jobRepeats/jobTasks)
	return nil
}

// runJob submits a job to the first entry and returns its final state.
func (d *deployment) runJob(ctx context.Context, key string) (string, error) {
	type task struct {
		Body []byte `json:"body"`
	}
	body, err := json.Marshal(struct {
		Key      string            `json:"key"`
		Labels   map[string]string `json:"labels"`
		Deadline string            `json:"deadline"`
		Tasks    []task            `json:"tasks"`
	}{key, map[string]string{"kind": "kind-1"}, jobDeadline.String(), make([]task, jobTasks)})
	if err != nil {
		return "", trace.Wrap(err)
	}
	url := "http://" + d.entries[0].httpAddress + "/v1/jobs"
	state, err := requestJobState(ctx, http.MethodPost, url, body)
	for err == nil && state == "open" {
		if err = d.sleep(ctx, jobPollInterval); err == nil {
			state, err = requestJobState(ctx, http.MethodGet, url+"/"+key, nil)
		}
	}
	return state, err
}

// requestJobState sends a request about a job and returns the state in the
// answer. An answer without a state is a trace.BadParameter.
func requestJobState(ctx context.Context, method, url string, body []byte) (string, error) {
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
		return "", trace.BadParameter("answer has no job state: %s", b)
	}
	return st.State, nil
}
