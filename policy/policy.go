// Package policy defines the queues to which callers send jobs. Operators publish them
// in one document, which replaces the previous document as a whole.
package policy

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// Queue receives the jobs that callers send to a host name and path prefix.
type Queue struct {
	Name   string
	Host   string
	Prefix string
	// Pool names the targets that run its tasks.
	Pool string
	// Timeout is how long a caller's request may take.
	Timeout time.Duration
	// Slack is the fixed part of the objective for the completion time of a job.
	Slack time.Duration
	// Stretch is the factor on the critical path of a job that gives the rest of the
	// objective.
	Stretch float64
	// Priority orders queues: 0 goes first.
	Priority int
	// Attempts is the number of failed runs of one task at which its job fails.
	Attempts int
	// Advised is set for queues that need the advice of another service for each step.
	Advised bool
}

// Objective returns the time within which a job should be complete. chain is the length
// of the job's critical path (batch.Job.CriticalPath).
func (q Queue) Objective(chain time.Duration) time.Duration {
	return time.Duration(q.Stretch*float64(chain)) + q.Slack
}

// Pool is a set of targets.
type Pool struct {
	Name string
	// Standby is set for pools that are switched off.
	Standby bool
}

// Limits bound the requests of callers. A value of 0 sets no limit of the policy's own.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Document is a complete policy.
type Document struct {
	// Number is the version of the document: the highest is in force.
	Number uint64
	Queues []Queue
	Pools  []Pool
	Limits Limits
}

// Check returns an error of type trace.BadParameter if the document is invalid.
func (d Document) Check() error {
	pools := map[string]bool{}
	for _, p := range d.Pools {
		if p.Name == "" || pools[p.Name] {
			return trace.BadParameter("pool %q has no name or is defined twice", p.Name)
		}
		pools[p.Name] = true
	}
	queueNames := map[[2]string]string{}
	for _, q := range d.Queues {
		key := [2]string{strings.ToLower(q.Host), q.Prefix}
		other, taken := queueNames[key]
		switch {
		case q.Host == "" || !strings.HasPrefix(q.Prefix, "/"):
			return trace.BadParameter("queue %q has no host, or its prefix does not begin with a slash", q.Name)
		case !pools[q.Pool]:
			return trace.BadParameter("queue %q refers to the unknown pool %q", q.Name, q.Pool)
		case taken:
			return trace.BadParameter("queues %q and %q have the same host and prefix", other, q.Name)
		case q.Timeout <= 0:
			return trace.BadParameter("queue %q has no timeout", q.Name)
		}
		queueNames[key] = q.Name
	}
	return nil
}

// Table is a lookup table for the queues of a document. The zero value has no queues.
type Table struct {
	number uint64
	limits Limits
	byHost map[string][]Queue // by lower-case host name, longest prefix first
}

// NewTable returns the lookup table of a document.
func NewTable(d Document) Table {
	t := Table{number: d.Number, limits: d.Limits, byHost: map[string][]Queue{}}
	for _, q := range d.Queues {
		h := strings.ToLower(q.Host)
		t.byHost[h] = append(t.byHost[h], q)
	}
	for _, qs := range t.byHost {
		slices.SortStableFunc(qs, func(a, b Queue) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Number returns the document's version number, 0 for the zero value.
func (t Table) Number() uint64 { return t.number }

// Limits returns the document's limits.
func (t Table) Limits() Limits { return t.limits }

// Find returns the queue with the longest prefix that matches a host and path, and the
// rest of the path after the prefix. A port in host is ignored.
func (t Table) Find(host, path string) (q Queue, rest string, ok bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.Contains(host[i:], "]") {
		host = host[:i]
	}
	for _, q := range t.byHost[strings.ToLower(host)] {
		if rest, ok := strings.CutPrefix(path, q.Prefix); ok {
			return q, rest, true
		}
	}
	return Queue{}, "", false
}
