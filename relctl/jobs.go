package main

import (
	"io"
	"net/url"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"cyclamenrelay.example/admin"
)

func init() {
	register("jobs list", "List jobs", "Lists the newest jobs. Example: relctl jobs list --state running",
		func(a *app) any { return &listJobs{a: a} })
	register("jobs show", "Show a job", "Shows the job with a submission key. Example: relctl jobs show order-17",
		func(a *app) any { return &showJob{a: a} })
	register("jobs cancel", "Cancel a job", "Cancels the job with a submission key; a job that has ended is not changed. "+
		"Example: relctl jobs cancel order-17", func(a *app) any { return &cancelJob{a: a} })
}

type listJobs struct {
	State string `long:"state" value-name:"STATE" description:"only jobs in this state: running, complete, failed or notRun"`
	Limit int    `long:"limit" value-name:"N" default:"100" description:"the maximum number of jobs to show"`

	a *app
}

// Execute implements flags.Commander.
func (c *listJobs) Execute([]string) error {
	var jobs []admin.JobStatus
	q := url.Values{"state": {c.State}, "limit": {strconv.Itoa(c.Limit)}}
	if err := c.a.get("/v1/jobs", q, &jobs); err != nil {
		return err
	}
	return c.a.print(jobs, func(w io.Writer) { jobTable(w, jobs...) })
}

func jobTable(w io.Writer, jobs ...admin.JobStatus) {
	row(w, "KEY", "STATE", "TASKS", "DONE", "FAILED", "OWNER", "SUBMITTED", "REASON")
	for _, j := range jobs {
		row(w, j.Key, j.State, j.Tasks, j.Done, j.Failed, j.Owner, j.Submitted.Format(time.RFC3339), j.Reason)
	}
}

type jobArgs struct {
	Key string `positional-arg-name:"KEY"`
}

type showJob struct {
	Args jobArgs `positional-args:"yes" required:"yes"`

	a *app
}

// Execute implements flags.Commander.
func (c *showJob) Execute([]string) error {
	var j admin.JobStatus
	if err := c.a.get("/v1/jobs/"+url.PathEscape(c.Args.Key), nil, &j); err != nil {
		return err
	}
	return c.a.print(j, func(w io.Writer) { jobTable(w, j) })
}

type cancelJob struct {
	Args jobArgs `positional-args:"yes" required:"yes"`

	a *app
}

// Execute implements flags.Commander.
func (c *cancelJob) Execute([]string) error {
	cl, ctx, cancel, err := c.a.connect()
	if err != nil {
		return err
	}
	defer cancel()
	j, err := cl.CancelJob(ctx, c.Args.Key)
	if err != nil {
		return trace.Wrap(err)
	}
	return c.a.print(j, func(w io.Writer) { jobTable(w, j) })
}
