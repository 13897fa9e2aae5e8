// Package policy holds the queues that callers send jobs to, as one document
// that operators publish and that replaces the one before as a whole.
package policy

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// Queue takes the jobs of a host name and path prefix.
type Queue struct {
	Name   string
	Host   string
	Prefix string
	// Pool names the targets that run its tasks.
	Pool string
	// Timeout is how long a caller's request may take.
	Timeout time.Duration
	// Slack is added to the objective of each job's completion.
	Slack time.Duration
	// Stretch times a job's longest chain of work is the rest of the objective.
	Stretch float64
	// Priority orders queues: 0 goes first.
	Priority int
	// Attempts is how often a task may fail before its job does.
	Attempts int
	// Advised queues need the advice of another service for each step.
	Advised bool
}

// Objective returns the time within which a job with the given chain of work
// shall be complete.
func (q Queue) Objective(chain time.Duration) time.Duration {
	return time.Duration(q.Stretch*float64(chain)) + q.Slack
}

// Pool is a set of targets.
type Pool struct {
	Name string
	// Standby pools are switched off.
	Standby bool
}

// Limits bound what callers send, 0 for no bound of their own.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Document is a whole policy.
type Document struct {
	// Number orders documents: the highest is in force.
	Number uint64
	Queues []Queue
	Pools  []Pool
	Limits Limits
}

// Check returns why the document can never be in force, as a trace.BadParameter.
func (d Document) Check() error {
	pools := map[string]bool{}
	for _, p := range d.Pools {
		if p.Name == "" || pools[p.Name] {
			return trace.BadParameter("pool %q is unnamed or there twice", p.Name)
		}
		pools[p.Name] = true
	}
	places := map[[2]string]string{}
	for _, q := range d.Queues {
		place := [2]string{strings.ToLower(q.Host), q.Prefix}
		other, taken := places[place]
		switch {
		case q.Host == "" || !strings.HasPrefix(q.Prefix, "/"):
			return trace.BadParameter("queue %q has no host or a prefix without a slash", q.Name)
		case !pools[q.Pool]:
			return trace.BadParameter("queue %q names the unknown pool %q", q.Name, q.Pool)
		case taken:
			return trace.BadParameter("queues %q and %q have the same host and prefix", other, q.Name)
		case q.Timeout <= 0:
			return trace.BadParameter("queue %q has no timeout", q.Name)
		}
		places[place] = q.Name
	}
	return nil
}

// Table finds queues. The zero value has none.
type Table struct {
	number uint64
	limits Limits
	byHost map[string][]Queue // the longest prefix first
}

// NewTable returns the table of a document.
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

// Number returns the document's number, 0 when there is none.
func (t Table) Number() uint64 { return t.number }

// Limits returns the document's limits.
func (t Table) Limits() Limits { return t.limits }

// Find returns the queue of a host and path, and the rest of the path.
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
