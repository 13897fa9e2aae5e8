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
	requestTimeout = 15 * time.Second
	headerTimeout  = 5 * time.Second
	idleTimeout    = time.Minute
	maxHeader      = 16 << 10 // bytes
	defaultLimit   = 1000
	maxLimit       = 50_000
	defaultHistory = 50
)

// call is one request of an operator.
type call struct {
	context.Context
	operator string
	query    url.Values
	r        *http.Request
}

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
	for pattern, f := range map[string]func(call) (any, error){
		"POST /v1/changes":       s.change,
		"GET /v1/config":         s.config,
		"GET /v1/config/history": s.history,
		"GET /v1/targets":        s.targets,
		"GET /v1/select":         s.selection,
		"GET /v1/jobs":           s.jobs,
		"GET /v1/jobs/{key}":     s.job,
		"DELETE /v1/jobs/{key}":  s.cancelJob,
		"GET /v1/members":        s.members,
		"POST /v1/members":       s.changeMember,
		"GET /v1/status":         s.status,
	} {
		mux.HandleFunc(pattern, s.serve(f))
	}
	return mux
}

// serve lets operators through and answers with what f returns.
func (s *service) serve(f func(call) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
		defer cancel()
		operator, err := operatorOf(r)
		if err != nil {
			s.answerError(w, r, err)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
		query, err := url.ParseQuery(r.URL.RawQuery)
		if err != nil {
			s.answerError(w, r, trace.BadParameter("query: %v", err))
			return
		}
		v, err := f(call{Context: ctx, operator: operator, query: query, r: r})
		if err != nil {
			s.answerError(w, r, err)
			return
		}
		status := http.StatusOK
		if a, ok := v.(ChangeAnswer); ok && !a.Accepted {
			status = http.StatusConflict
		}
		answer(w, status, v)
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
		return "", trace.AccessDenied("the certificate of %s has not the role operator", p.Name)
	}
	return p.Name, nil
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *service) answerError(w http.ResponseWriter, r *http.Request, err error) {
	a := ErrorAnswer{Error: trace.UserMessage(err)}
	var field *FieldError
	if errors.As(err, &field) {
		a = ErrorAnswer{Error: field.Message, Field: field.Field}
	}
	status := statusOf(err)
	s.log.Info("operator request refused", zap.String("method", r.Method), zap.String("path", r.URL.Path),
		zap.Int("status", status), zap.Error(err))
	answer(w, status, a)
}

func statusOf(err error) int {
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

func (s *service) change(c call) (any, error) {
	var req ChangeRequest
	if err := readStrict(c.r.Body, &req); err != nil {
		return nil, err
	}
	ch, err := req.change(c.operator)
	if err != nil {
		return nil, err
	}
	res, err := s.Change(c, ch)
	return s.changed(c, ch.ID, ch.Key, res, err)
}

func (s *service) changeMember(c call) (any, error) {
	var req MemberChange
	if err := readStrict(c.r.Body, &req); err != nil {
		return nil, err
	}
	if err := req.check(); err != nil {
		return nil, err
	}
	req.Operator = c.operator
	res, err := s.ChangeMember(c, req)
	return s.changed(c, req.ID, model.ItemKey{Section: model.SectionMember, Name: req.Name}, res, err)
}

func (s *service) changed(c call, id string, k model.ItemKey, res model.ChangeResult, err error) (any, error) {
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

// config answers the live items of a section, or with a name that one item,
// whose count is wanted even when it is deleted or was never there.
func (s *service) config(c call) (any, error) {
	section := model.Section(c.query.Get("section"))
	if _, err := valueOf(section); err != nil && section != model.SectionMember {
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

func (s *service) history(c call) (any, error) {
	n, err := c.limit(defaultHistory)
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

func (s *service) targets(c call) (any, error) {
	sel, err := c.selector("selector")
	if err != nil {
		return nil, err
	}
	return s.matching(c, sel)
}

// matching returns the targets that sel selects, cut at the limit.
func (s *service) matching(c call, sel label.Selector) (TargetsAnswer, error) {
	n, err := c.limit(defaultLimit)
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

func (s *service) selection(c call) (any, error) {
	targets, err := c.selector("targets")
	if err != nil {
		return nil, err
	}
	work, err := c.selector("work")
	if err != nil {
		return nil, err
	}
	m, err := s.matching(c, targets)
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

func (s *service) jobs(c call) (any, error) {
	n, err := c.limit(defaultLimit)
	if err != nil {
		return nil, err
	}
	jobs, err := s.Jobs(c, c.query.Get("state"), n)
	if jobs == nil {
		jobs = []JobStatus{}
	}
	return jobs, err
}

func (s *service) job(c call) (any, error) {
	key, err := c.jobKey()
	if err != nil {
		return nil, err
	}
	return s.Job(c, key)
}

func (s *service) cancelJob(c call) (any, error) {
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

func (s *service) members(c call) (any, error) {
	m, err := s.Members(c)
	if m == nil {
		m = []MemberStatus{}
	}
	return m, err
}

func (s *service) status(c call) (any, error) {
	st := s.Status(c)
	st.Problems = append([]Problem{}, Diagnose(st, s.clock.Now())...)
	return st, nil
}

func (c call) jobKey() (string, error) {
	key := c.r.PathValue("key")
	if key == "" || len(key) > model.MaxKeyLen {
		return "", wrong("key", "1 to 200 bytes are allowed")
	}
	return key, nil
}

func (c call) selector(field string) (label.Selector, error) {
	s, err := label.Parse(c.query.Get(field))
	if err != nil {
		return s, wrong(field, trace.Unwrap(err).Error())
	}
	return s, nil
}

func (c call) limit(n int) (int, error) {
	text := c.query.Get("limit")
	if text == "" {
		return n, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > maxLimit {
		return 0, wrong("limit", "1 to 50000 is allowed")
	}
	return n, nil
}

// NewServer returns the operators' HTTPS server, to be run by ServeTLS without
// files. What the HTTP library logs becomes events of log.
func NewServer(b Backend, id *keys.Identity, clock clockwork.Clock, log *zap.Logger) *http.Server {
	errorLog, err := zap.NewStdLogAt(log.Named("operators"), zap.DebugLevel)
	if err != nil {
		panic(err) // only for a level that does not exist
	}
	return &http.Server{
		Handler:           NewHandler(b, clock, log),
		TLSConfig:         id.OperatorServerConfig(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       requestTimeout,
		WriteTimeout:      2 * requestTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          errorLog,
	}
}
