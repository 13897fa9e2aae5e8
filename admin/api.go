// Package admin is the operators' HTTP interface: JSON over HTTPS with client
// certificates, served by entries and used by relctl.
package admin

import (
	"context"
	"encoding/json"
	"time"

	"cyclamenrelay.example/conf"
	"cyclamenrelay.example/label"
	"cyclamenrelay.example/model"
)

// Backend is what an entry does for operators. Implementations must be usable
// by several goroutines. The handlers answer their errors by kind:
// trace.BadParameter 400, AccessDenied 403, NotFound 404, CompareFailed 409,
// NotImplemented 501, LimitExceeded 503 (the operation was certainly not
// done), and every other one 504 (it may have been done).
type Backend interface {
	// Change makes a change of the configuration. A resend of the same ID gets
	// the first answer. A conflict is a result, not an error.
	Change(ctx context.Context, c model.Change) (model.ChangeResult, error)
	// Config returns the newest configuration that the entry has.
	Config() model.Config
	// History returns the newest n accepted changes, the newest first.
	History(ctx context.Context, n int) ([]model.Item, error)
	// Targets returns all targets that the entry knows.
	Targets() []TargetStatus
	// Queued returns the work that waits at the entry and matches the selector.
	Queued(work label.Selector) []QueuedWork
	// Jobs returns at most n jobs, the newest first; an empty state is any.
	Jobs(ctx context.Context, state string, n int) ([]JobStatus, error)
	// Job returns the job with the submission key.
	Job(ctx context.Context, key string) (JobStatus, error)
	// CancelJob stops a job; one that has ended stays as it is.
	CancelJob(ctx context.Context, key, operator string) (JobStatus, error)
	// Members returns the keepers that belong to the cluster.
	Members(ctx context.Context) ([]MemberStatus, error)
	// ChangeMember changes the membership, by the rules of Change.
	ChangeMember(ctx context.Context, c MemberChange) (model.ChangeResult, error)
	// Status returns the entry's view of the deployment; Problems is filled in by the handlers.
	Status(ctx context.Context) Status
}

// The states of targets.
const (
	TargetUp        = "up"
	TargetDraining  = "draining"  // takes no new work
	TargetProbation = "probation" // takes little work since it failed much
	TargetLost      = "lost"      // its agent has not been heard
)

// TargetStatus is a target as an entry sees it.
type TargetStatus struct {
	Name       string       `json:"name"`
	DataCentre string       `json:"dataCentre"`
	Labels     model.Labels `json:"labels,omitempty"`
	// State is one of the states above and Reason says why.
	State  string `json:"state"`
	Reason string `json:"reason,omitempty"`
	Slots  int    `json:"slots"`
	Free   int    `json:"free"`
	// Agent is the name of the node beside the target, Version its configuration.
	Agent   string `json:"agent"`
	Version uint64 `json:"version"`
}

// QueuedWork is waiting work with the same labels, selector and urgency.
type QueuedWork struct {
	Labels   model.Labels `json:"labels,omitempty"`
	Selector string       `json:"selector,omitempty"`
	Urgency  int          `json:"urgency"`
	Tasks    int          `json:"tasks"`
	// Oldest is how long the oldest task has waited.
	Oldest conf.Duration `json:"oldest"`
}

// JobStatus is a job as its owner or the ledger knows it.
type JobStatus struct {
	Key string `json:"key"`
	// State is running, complete, failed or notRun; a cancelled job ends as one
	// of the last three, by what had run.
	State string `json:"state"`
	Tasks int    `json:"tasks"`
	// Done and Failed count ended tasks; they are known at the owner only.
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
	// Count is the count of the member's item, to be expected by the next change.
	Count uint64 `json:"count"`
	// Up is whether the entry or the leader has heard the keeper lately.
	Up bool `json:"up"`
	// Leads counts the groups that the keeper leads; Behind is how many
	// entries of the configuration's log it lacks.
	Leads  int    `json:"leads"`
	Behind uint64 `json:"behind"`
}

// The actions on members.
const (
	MemberAdd     = "add"
	MemberReplace = "replace" // adds Name in the place of the lost Replaces
	MemberRemove  = "remove"
)

// MemberChange asks for one change of the membership.
type MemberChange struct {
	ID     string `json:"id"`
	Action string `json:"action"`
	Name   string `json:"name"`
	// Address and DataCentre are the new member's.
	Address    string `json:"address,omitempty"`
	DataCentre string `json:"dataCentre,omitempty"`
	Replaces   string `json:"replaces,omitempty"`
	// Expected is the count of the member's item that the operator saw.
	Expected uint64 `json:"expected"`
	// Operator is taken from the certificate.
	Operator string `json:"-"`
}

// ChangeRequest is the body of POST /v1/changes.
type ChangeRequest struct {
	ID       string          `json:"id"`
	Section  model.Section   `json:"section"`
	Name     string          `json:"name"`
	Expected uint64          `json:"expected"`
	Value    json.RawMessage `json:"value,omitempty"` // none to delete
}

// Item is an item of the configuration.
type Item struct {
	Section  model.Section   `json:"section"`
	Name     string          `json:"name"`
	Count    uint64          `json:"count"`
	Version  uint64          `json:"version"`
	Value    json.RawMessage `json:"value,omitempty"` // none when deleted
	Operator string          `json:"operator,omitempty"`
	ChangeID string          `json:"changeId,omitempty"`
}

func itemOf(i model.Item) Item {
	return Item{
		Section: i.Key.Section, Name: i.Key.Name, Count: i.Count, Version: i.Version,
		Value: i.Value, Operator: i.Operator, ChangeID: i.ChangeID,
	}
}

// ChangeAnswer answers a change; with status 409 it was not accepted and Item
// is the one that won.
type ChangeAnswer struct {
	ID       string `json:"id"`
	Accepted bool   `json:"accepted"`
	Version  uint64 `json:"version"`
	Item     Item   `json:"item"`
	Reason   string `json:"reason,omitempty"`
}

// ConfigAnswer answers GET /v1/config and /v1/config/history.
type ConfigAnswer struct {
	Version uint64 `json:"version"`
	Items   []Item `json:"items"`
}

// TargetsAnswer answers GET /v1/targets; Targets may be cut at the limit.
type TargetsAnswer struct {
	Known   int            `json:"known"`
	Matched int            `json:"matched"`
	Targets []TargetStatus `json:"targets"`
}

// SelectAnswer answers GET /v1/select: what a rule with these selectors would
// match now. Queued is what waits at the entry that answers.
type SelectAnswer struct {
	TargetsAnswer
	MatchedTasks int          `json:"matchedTasks"`
	Queued       []QueuedWork `json:"queued"`
}

// ErrorAnswer is the body of every other status than 200 and a change's 409.
type ErrorAnswer struct {
	Error string `json:"error"`
	Field string `json:"field,omitempty"`
}
