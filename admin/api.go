// Package admin is the operators' HTTP API: JSON over HTTPS with client
// certificates. Entries serve it and relctl is its client.
package admin

import (
	"context"
	"encoding/json"
	"time"

	"cyclamenrelay.example/conf"
	"cyclamenrelay.example/label"
	"cyclamenrelay.example/model"
)

// Backend performs the operations that the API offers. Implementations must be
// safe for concurrent use. The handlers map its errors to status codes by kind:
// trace.BadParameter 400, AccessDenied 403, NotFound 404, CompareFailed 409,
// NotImplemented 501, LimitExceeded 503 (the operation was certainly not
// done), and every other error 504 (the operation may have been done).
type Backend interface {
	// Change applies a change to the configuration. It is idempotent by the change
	// ID: a resend gets the answer to the first request. A conflict is a result,
	// not an error.
	Change(ctx context.Context, c model.Change) (model.ChangeResult, error)
	// Config returns the newest configuration that the entry has.
	Config() model.Config
	// History returns the newest n accepted changes, the newest first.
	History(ctx context.Context, n int) ([]model.Item, error)
	// Targets returns all targets that the entry knows.
	Targets() []TargetStatus
	// Queued returns the work that is queued at the entry and matches the selector.
	Queued(work label.Selector) []QueuedWork
	// Jobs returns at most n jobs in the state, the newest first; an empty state
	// matches all jobs.
	Jobs(ctx context.Context, state string, n int) ([]JobStatus, error)
	// Job returns the job with the submission key.
	Job(ctx context.Context, key string) (JobStatus, error)
	// CancelJob cancels the job with the submission key; a job that has ended is not changed.
	CancelJob(ctx context.Context, key, operator string) (JobStatus, error)
	// Members returns the keepers that belong to the cluster.
	Members(ctx context.Context) ([]MemberStatus, error)
	// ChangeMember changes the membership; it is idempotent and reports conflicts as
	// Change does.
	ChangeMember(ctx context.Context, c MemberChange) (model.ChangeResult, error)
	// Status returns the entry's view of the deployment; Problems is filled in by the handlers.
	Status(ctx context.Context) Status
}

// States of targets.
const (
	TargetUp        = "up"
	TargetDraining  = "draining"  // takes no new work
	TargetProbation = "probation" // takes little work because much of its work failed
	TargetLost      = "lost"      // nothing has been heard from its agent
)

// TargetStatus is a target as an entry sees it.
type TargetStatus struct {
	Name       string       `json:"name"`
	DataCentre string       `json:"dataCentre"`
	Labels     model.Labels `json:"labels,omitempty"`
	// State is one of the states above; Reason explains it.
	State  string `json:"state"`
	Reason string `json:"reason,omitempty"`
	Slots  int    `json:"slots"`
	Free   int    `json:"free"`
	// Agent is the name of the node that runs beside the target; Version is the
	// configuration version which that node has.
	Agent   string `json:"agent"`
	Version uint64 `json:"version"`
}

// QueuedWork counts queued tasks with the same labels, selector and urgency.
type QueuedWork struct {
	Labels   model.Labels `json:"labels,omitempty"`
	Selector string       `json:"selector,omitempty"`
	Urgency  int          `json:"urgency"`
	Tasks    int          `json:"tasks"`
	// Oldest is how long the oldest of the tasks has been queued.
	Oldest conf.Duration `json:"oldest"`
}

// JobStatus is the state of a job, as known to the entry that owns it or to the ledger.
type JobStatus struct {
	Key string `json:"key"`
	// State is running, complete, failed or notRun. A cancelled job ends in one of
	// the last three states, depending on which of its tasks had run.
	State string `json:"state"`
	Tasks int    `json:"tasks"`
	// Done and Failed count ended tasks; only the owner knows them.
	Done      int       `json:"done"`
	Failed    int       `json:"failed"`
	Owner     string    `json:"owner"`
	Submitted time.Time `json:"submitted"`
	Reason    string    `json:"reason,omitempty"`
}

// MemberStatus is a keeper that belongs to the cluster.
type MemberStatus struct {
	Name string `json:"name"`
	model.Member
	// Count is the change count of the member's item, to be sent as Expected with
	// the next change.
	Count uint64 `json:"count"`
	// Up is whether the keeper has answered the entry's query.
	Up bool `json:"up"`
	// Leads counts the groups that the keeper leads; MissingEntries is how many
	// entries the keeper lacks of the configuration's log.
	Leads          int    `json:"leads"`
	MissingEntries uint64 `json:"behind"`
}

// Actions of a MemberChange.
const (
	MemberAdd     = "add"
	MemberReplace = "replace" // adds Name in place of the lost member Replaces
	MemberRemove  = "remove"
)

// MemberChange asks for one change of the membership.
type MemberChange struct {
	ID     string `json:"id"`
	Action string `json:"action"`
	Name   string `json:"name"`
	// Address and DataCentre belong to the new member.
	Address    string `json:"address,omitempty"`
	DataCentre string `json:"dataCentre,omitempty"`
	Replaces   string `json:"replaces,omitempty"`
	// Expected is the count of the member's item that the operator last read; the
	// change conflicts if the count is another by now.
	Expected uint64 `json:"expected"`
	// Operator is the name in the client certificate, never taken from the request's body.
	Operator string `json:"-"`
}

// ChangeRequest is the body of POST /v1/changes.
type ChangeRequest struct {
	ID       string          `json:"id"`
	Section  model.Section   `json:"section"`
	Name     string          `json:"name"`
	Expected uint64          `json:"expected"`
	Value    json.RawMessage `json:"value,omitempty"` // empty to delete the item
}

// Item is an item of the configuration.
type Item struct {
	Section  model.Section   `json:"section"`
	Name     string          `json:"name"`
	Count    uint64          `json:"count"`
	Version  uint64          `json:"version"`
	Value    json.RawMessage `json:"value,omitempty"` // empty if the item is deleted
	Operator string          `json:"operator,omitempty"`
	ChangeID string          `json:"changeId,omitempty"`
}

func itemOf(i model.Item) Item {
	return Item{
		Section: i.Key.Section, Name: i.Key.Name, Count: i.Count, Version: i.Version,
		Value: i.Value, Operator: i.Operator, ChangeID: i.ChangeID,
	}
}

// ChangeAnswer is the response to a change. With status 409 the change was not
// accepted, and Item is the current item that it conflicts with.
type ChangeAnswer struct {
	ID       string `json:"id"`
	Accepted bool   `json:"accepted"`
	Version  uint64 `json:"version"`
	Item     Item   `json:"item"`
	Reason   string `json:"reason,omitempty"`
}

// ConfigAnswer is the response to GET /v1/config and GET /v1/config/history.
type ConfigAnswer struct {
	Version uint64 `json:"version"`
	Items   []Item `json:"items"`
}

// TargetsAnswer is the response to GET /v1/targets. Known counts all targets,
// Matched those that match; Targets lists the matching ones up to the limit.
type TargetsAnswer struct {
	Known   int            `json:"known"`
	Matched int            `json:"matched"`
	Targets []TargetStatus `json:"targets"`
}

// SelectAnswer is the response to GET /v1/select: the targets and work that a rule
// with these selectors would match now. Queued is the queue of the entry that answers.
type SelectAnswer struct {
	TargetsAnswer
	MatchedTasks int          `json:"matchedTasks"`
	Queued       []QueuedWork `json:"queued"`
}

// ErrorAnswer is the body of every response except those with status 200 and
// those with 409 to a change. Field names the request field that is invalid, if one is.
type ErrorAnswer struct {
	Error string `json:"error"`
	Field string `json:"field,omitempty"`
}
