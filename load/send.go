package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"cyclamenrelay.example/dummy"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/plan"
	"cyclamenrelay.example/units"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
)

// The outcomes that a caller can see, besides those of model.OutcomeName.
const (
	outcomeComplete = "complete"
	outcomeFailed   = "failed"
	outcomeNotRun   = "notRun"
	// outcomeLost is a request without a usable response.
	outcomeLost = "lost"
	// outcomeWrong is an answer that is not whole or not to this request.
	outcomeWrong = "wrong"
)

const (
	jobPoll   = 20 * time.Millisecond
	maxAnswer = 64 << 20 // bytes
)

// verdict is how one arrival ended.
type verdict struct {
	outcome string
	code    string // of a refusal
}

// sender sends arrivals to the entries in turn.
type sender struct {
	client  *http.Client
	clock   clockwork.Clock
	entries []string
	timeout time.Duration
}

func (s *sender) send(ctx context.Context, a plan.Arrival, n int) verdict {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	entry := s.entries[n%len(s.entries)]
	var v verdict
	var err error
	if a.Kind.Tasks > 0 {
		v, err = s.job(ctx, entry, a)
	} else {
		v, err = s.request(ctx, entry, a)
	}
	if err != nil {
		return verdict{outcome: outcomeLost, code: "noResponse"}
	}
	return v
}

func taskBody(a plan.Arrival, i int) ([]byte, error) {
	id := a.ID
	if a.Kind.Tasks > 0 {
		id += "/" + strconv.Itoa(i)
	}
	b, err := json.Marshal(dummy.Spec{RunTime: optional(units.Duration(a.RunTimes[i])), AnswerBytes: a.Kind.AnswerBytes, Request: id})
	return b, trace.Wrap(err)
}

func labels(k *plan.Kind) model.Labels { return k.Labels.With(model.LabelKind, k.Name) }

func header(a plan.Arrival) http.Header {
	h := http.Header{"Content-Type": {"application/json"}}
	all := labels(a.Kind)
	var pairs []string
	for _, name := range slices.Sorted(maps.Keys(all)) {
		pairs = append(pairs, name+"="+all[name])
	}
	h.Set("Relay-Labels", strings.Join(pairs, ","))
	h.Set("Relay-Urgency", strconv.Itoa(a.Kind.Urgency))
	if a.Kind.Selector != "" {
		h.Set("Relay-Selector", a.Kind.Selector)
	}
	if a.Kind.Deadline > 0 {
		h.Set("Relay-Deadline", a.Kind.Deadline.Std().String())
	}
	if a.RunTime > 0 {
		h.Set("Relay-Run-Time", a.RunTime.String())
	}
	if a.Size > 0 {
		h.Set("Relay-Size", strconv.FormatInt(a.Size, 10))
	}
	if a.Kind.Claim {
		h.Set("Relay-Idempotent", "false")
		h.Set("Idempotency-Key", a.ID)
	}
	return h
}

func (s *sender) request(ctx context.Context, entry string, a plan.Arrival) (verdict, error) {
	body, err := taskBody(a, 0)
	if err != nil {
		return verdict{}, err
	}
	resp, b, err := s.exchange(ctx, http.MethodPost, entry+"/v1/requests", header(a), body)
	if err != nil {
		return verdict{}, err
	}
	v := classify(resp, b)
	if v.outcome == outcomeComplete && !answers(b, a) {
		v = verdict{outcome: outcomeWrong}
	}
	return v, nil
}

// answers reports whether b is the whole answer to the request.
func answers(b []byte, a plan.Arrival) bool {
	var echo struct {
		Request string `json:"request"`
	}
	return len(b) >= a.Kind.AnswerBytes && json.Unmarshal(b, &echo) == nil && echo.Request == a.ID
}

func (s *sender) job(ctx context.Context, entry string, a plan.Arrival) (verdict, error) {
	type task struct {
		Body []byte `json:"body"`
		Type string `json:"type"`
	}
	var tasks []task
	for i := range a.RunTimes {
		b, err := taskBody(a, i)
		if err != nil {
			return verdict{}, err
		}
		tasks = append(tasks, task{b, "application/json"})
	}
	body, err := json.Marshal(struct {
		Key      string          `json:"key"`
		Labels   model.Labels    `json:"labels"`
		Selector string          `json:"selector,omitempty"`
		Urgency  int             `json:"urgency"`
		Deadline *units.Duration `json:"deadline,omitempty"`
		Tasks    []task          `json:"tasks"`
	}{a.ID, labels(a.Kind), a.Kind.Selector, a.Kind.Urgency, optional(a.Kind.Deadline), tasks})
	if err != nil {
		return verdict{}, trace.Wrap(err)
	}
	resp, b, err := s.exchange(ctx, http.MethodPost, entry+"/v1/jobs", http.Header{"Content-Type": {"application/json"}}, body)
	if err != nil {
		return verdict{}, err
	}
	if resp.StatusCode/100 != 2 {
		return classify(resp, b), nil
	}
	return s.await(ctx, entry+"/v1/jobs/"+url.PathEscape(a.ID)+"/answer")
}

// await polls until the job has an outcome.
func (s *sender) await(ctx context.Context, answer string) (verdict, error) {
	for {
		resp, b, err := s.exchange(ctx, http.MethodGet, answer, nil, nil)
		if err != nil {
			return verdict{}, err
		}
		if resp.Header.Get("Relay-Outcome") != "" {
			return classify(resp, b), nil
		}
		select {
		case <-s.clock.After(jobPoll):
		case <-ctx.Done():
			return verdict{}, trace.Wrap(ctx.Err())
		}
	}
}

func optional(d units.Duration) *units.Duration {
	if d == 0 {
		return nil
	}
	return &d
}

// classify returns the outcome that a response claims.
func classify(resp *http.Response, b []byte) verdict {
	v := verdict{outcome: resp.Header.Get("Relay-Outcome")}
	switch {
	case v.outcome == outcomeComplete && resp.StatusCode/100 == 2:
		return v
	case v.outcome == outcomeFailed, v.outcome == outcomeNotRun:
	default:
		v.outcome = outcomeLost
	}
	v.code = strconv.Itoa(resp.StatusCode)
	var detail struct {
		Code string `json:"code"`
	}
	if json.Unmarshal(b, &detail) == nil && detail.Code != "" {
		v.code += " " + detail.Code
	}
	return v
}

func (s *sender) exchange(ctx context.Context, method, address string, h http.Header, body []byte) (*http.Response, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	// Without GetBody the transport never sends a request again by itself.
	req.GetBody = nil
	if h != nil {
		req.Header = h
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	return resp, b, trace.Wrap(err)
}
