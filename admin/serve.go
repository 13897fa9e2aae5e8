package admin

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/label"
	"cyclamenrelay.example/model"
)

const (
	requestTimeout      = 15 * time.Second
	headerTimeout       = 5 * time.Second
	idleTimeout         = time.Minute
	maxHeaderBytes      = 16 << 10
	defaultListLimit    = 1000
	maxListLimit        = 50_000
	defaultHistoryLimit = 50
)

// operatorRequest is an authenticated request of an operator, with its context.
type operatorRequest struct {
	context.Context
	operator string
	query    url.Values
	r        *http.Request
}

// service answers the operators' requests from a Backend.
type service struct {
	Backend
	clock clockwork.Clock
	log   *zap.Logger
}

// NewHandler returns the handler of the operators' HTTPS listener, which must
// use Identity.OperatorServerConfig. Every accepted or refused change is logged.
func NewHandler(b Backend, clock clockwork.Clock, log *zap.Logger) http.Handler {
	s := &service{Backend: b, clock: clock, log: log}
	mux := http.NewServeMux()
	for pattern, f := range map[string]func(operatorRequest) (any, error){
		"POST /v1/changes":       s.change,
		"GET /v1/config":         s.config,
		"GET /v1/config/history": s.history,
		"GET /v1/targets":        s.targets,
		"GET /v1/select":         s.testSelectors,
		"GET /v1/jobs":           s.jobs,
		"GET /v1/jobs/{key}":     s.job,
		"DELETE /v1/jobs/{key}":  s.cancelJob,
		"GET /v1/members":        s.members,
		"POST /v1/members":       s.changeMember,
		"GET /v1/status":         s.status,
	} {
		mux.HandleFunc(pattern, s.handle(f))
	}
	return mux
}

// handle returns a handler that admits operators only, and answers with the value
// or error that operation returns.
func (s *service) handle(operation func(operatorRequest) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
		defer cancel()
		operator, err := operatorOf(r)
		if err != nil {
			s.writeError(w, r, err)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		query, err := url.ParseQuery(r.URL.RawQuery)
		if err != nil {
			s.writeError(w, r, trace.BadParameter("query: %v", err))
			return
		}
		v, err := operation(operatorRequest{Context: ctx, operator: operator, query: query, r: r})
		if err != nil {
			s.writeError(w, r, err)
			return
		}
		status := http.StatusOK
		if a, ok := v.(ChangeAnswer); ok && !a.Accepted {
			status = http.StatusConflict
		}
		writeJSON(w, status, v)
	}
}

func operatorOf(r *http.Request) (string, error) {
	if r.TLS == nil {
		return "", trace.AccessDenied("operators need HTTPS with a client certificate")
	}
	p, err := keys.PeerOf(*r.TLS)
	if err != nil {
		return "", trace.Wrap(err)
	}
	if !p.Has(keys.Operator) {
		return "", trace.AccessDenied("the certificate of %s does not have the role operator", p.Name)
	}
	return p.Name, nil
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *service) writeError(w http.ResponseWriter, r *http.Request, err error) {
	a := ErrorAnswer{Error: trace.UserMessage(err)}
	var field *FieldError
	if errors.As(err, &field) {
		a = ErrorAnswer{Error: field.Message, Field: field.Field}
	}
	status := statusCode(err)
	s.log.Info("operator request refused", zap.String("method", r.Method), zap.String("path", r.URL.Path),
		zap.Int("status", status), zap.Error(err))
	writeJSON(w, status, a)
}

func statusCode(err error) int {
	var field *FieldError
	switch {
	case errors.As(err, &field) || trace.IsBadParameter(err):
		return http.StatusBadRequest
	case trace.IsAccessDenied(err):
		return http.StatusForbidden
	case trace.IsNotFound(err):
		return http.StatusNotFound
	case trace.IsCompareFailed(err):
		return http.StatusConflict
	case trace.IsNotImplemented(err):
		return http.StatusNotImplemented
	case trace.IsLimitExceeded(err):
		return http.StatusServiceUnavailable
	}
	return http.StatusGatewayTimeout
}

func (s *service) change(c operatorRequest) (any, error) {
	var req ChangeRequest
	if err := readStrict(c.r.Body, &req); err != nil {
		return nil, err
	}
	ch, err := req.change(c.operator)
	if err != nil {
		return nil, err
	}
	if ch.Key.Section == model.SectionEvacuation && ch.Value != nil {
		if ch.Value, err = json.Marshal(model.Evacuation{Address: c.r.RemoteAddr, At: s.clock.Now().UTC()}); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	res, err := s.Change(c, ch)
	return s.answerChange(c, ch.ID, ch.Key, res, err)
}

func (s *service) changeMember(c operatorRequest) (any, error) {
	var req MemberChange
	if err := readStrict(c.r.Body, &req); err != nil {
		return nil, err
	}
	if err := req.check(); err != nil {
		return nil, err
	}
	req.Operator = c.operator
	res, err := s.ChangeMember(c, req)
	return s.answerChange(c, req.ID, model.ItemKey{Section: model.SectionMember, Name: req.Name}, res, err)
}

func (s *service) answerChange(c operatorRequest, id string, k model.ItemKey, res model.ChangeResult, err error) (any, error) {
	if err != nil {
		return nil, err
	}
	s.log.Info("configuration change", zap.String("operator", c.operator), zap.String("changeId", id),
		zap.String("section", string(k.Section)), zap.String("name", k.Name),
		zap.Bool("accepted", res.Accepted), zap.Uint64("version", res.Version))
	return ChangeAnswer{
		ID: id, Accepted: res.Accepted, Version: res.Version, Item: itemOf(res.Item), Reason: res.Reason,
	}, nil
}

// config answers GET /v1/config with the existing items of a section, or with only
// the item that the query names. The named item is returned even if it was deleted
// or never existed, because a change must state the item's Count.
func (s *service) config(c operatorRequest) (any, error) {
	section := model.Section(c.query.Get("section"))
	if _, err := newItemValue(section); err != nil && section != model.SectionMember {
		return nil, err
	}
	cfg := s.Config()
	out := ConfigAnswer{Version: cfg.Version(), Items: []Item{}}
	if name := c.query.Get("name"); name != "" {
		out.Items = append(out.Items, itemOf(cfg.Item(model.ItemKey{Section: section, Name: name})))
		return out, nil
	}
	for _, i := range cfg.Items(section) {
		out.Items = append(out.Items, itemOf(i))
	}
	slices.SortFunc(out.Items, func(a, b Item) int { return cmp.Compare(a.Name, b.Name) })
	return out, nil
}

func (s *service) history(c operatorRequest) (any, error) {
	n, err := c.limit(defaultHistoryLimit)
	if err != nil {
		return nil, err
	}
	items, err := s.History(c, n)
	if err != nil {
		return nil, err
	}
	out := ConfigAnswer{Version: s.Config().Version(), Items: []Item{}}
	for _, i := range items {
		out.Items = append(out.Items, itemOf(i))
	}
	return out, nil
}

func (s *service) targets(c operatorRequest) (any, error) {
	sel, err := c.selector("selector")
	if err != nil {
		return nil, err
	}
	return s.matchingTargets(c, sel)
}

// matchingTargets returns the targets that match sel and the query's state, sorted by name,
// up to the limit of the query.
func (s *service) matchingTargets(c operatorRequest, sel label.Selector) (TargetsAnswer, error) {
	n, err := c.limit(defaultListLimit)
	if err != nil {
		return TargetsAnswer{}, err
	}
	state := c.query.Get("state")
	all := s.Targets()
	out := TargetsAnswer{Known: len(all), Targets: []TargetStatus{}}
	for _, t := range all {
		if sel.Matches(t.Labels) && (state == "" || state == t.State) {
			out.Targets = append(out.Targets, t)
		}
	}
	out.Matched = len(out.Targets)
	slices.SortFunc(out.Targets, func(a, b TargetStatus) int { return cmp.Compare(a.Name, b.Name) })
	out.Targets = out.Targets[:min(n, out.Matched)]
	return out, nil
}

// testSelectors answers GET /v1/select with the targets and the queued work that match
// the selectors of the query.
func (s *service) testSelectors(c operatorRequest) (any, error) {
	targets, err := c.selector("targets")
	if err != nil {
		return nil, err
	}
	work, err := c.selector("work")
	if err != nil {
		return nil, err
	}
	m, err := s.matchingTargets(c, targets)
	if err != nil {
		return nil, err
	}
	out := SelectAnswer{TargetsAnswer: m, Queued: []QueuedWork{}}
	for _, q := range s.Queued(work) {
		out.MatchedTasks += q.Tasks
		out.Queued = append(out.Queued, q)
	}
	return out, nil
}

func (s *service) jobs(c operatorRequest) (any, error) {
	n, err := c.limit(defaultListLimit)
	if err != nil {
		return nil, err
	}
	jobs, err := s.Jobs(c, c.query.Get("state"), n)
	if jobs == nil {
		jobs = []JobStatus{}
	}
	return jobs, err
}

func (s *service) job(c operatorRequest) (any, error) {
	key, err := c.jobKey()
	if err != nil {
		return nil, err
	}
	return s.Job(c, key)
}

func (s *service) cancelJob(c operatorRequest) (any, error) {
	key, err := c.jobKey()
	if err != nil {
		return nil, err
	}
	j, err := s.CancelJob(c, key, c.operator)
	if err == nil {
		s.log.Info("job cancelled", zap.String("operator", c.operator), zap.String("job", key), zap.String("state", j.State))
	}
	return j, err
}

func (s *service) members(c operatorRequest) (any, error) {
	m, err := s.Members(c)
	if m == nil {
		m = []MemberStatus{}
	}
	return m, err
}

func (s *service) status(c operatorRequest) (any, error) {
	st := s.Status(c)
	st.Problems = append([]Problem{}, Diagnose(st, s.clock.Now())...)
	return st, nil
}

func (c operatorRequest) jobKey() (string, error) {
	key := c.r.PathValue("key")
	if key == "" || len(key) > model.MaxKeyLen {
		return "", newFieldError("key", "must have 1 to 200 bytes")
	}
	return key, nil
}

func (c operatorRequest) selector(field string) (label.Selector, error) {
	s, err := label.Parse(c.query.Get(field))
	if err != nil {
		return s, newFieldError(field, trace.Unwrap(err).Error())
	}
	return s, nil
}

// limit returns the limit that the query states, or n when it states none.
func (c operatorRequest) limit(n int) (int, error) {
	text := c.query.Get("limit")
	if text == "" {
		return n, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > maxListLimit {
		return 0, newFieldError("limit", "must be 1 to 50000")
	}
	return n, nil
}

// NewServer returns the operators' HTTPS server, to be run by ServeTLS with empty
// file names. Messages of the HTTP library go to log at debug level.
func NewServer(b Backend, id *keys.Identity, clock clockwork.Clock, log *zap.Logger) *http.Server {
	errorLog, err := zap.NewStdLogAt(log.Named("operators"), zap.DebugLevel)
	if err != nil {
		panic(err) // fails only for an unknown log level
	}
	return &http.Server{
		Handler:           NewHandler(b, clock, log),
		TLSConfig:         id.OperatorServerConfig(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       requestTimeout,
		WriteTimeout:      2 * requestTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          errorLog,
	}
}
