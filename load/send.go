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

	"cyclamenrelay.example/fake"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/plan"
	"cyclamenrelay.example/units"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
)

// The outcomes of an arrival: those of the Relay-Outcome header, and two that
// the sender determines.
const (
	outcomeComplete = "complete"
	outcomeFailed   = "failed"
	outcomeNotRun   = "notRun"
	// outcomeLost is a request without a usable response.
	outcomeLost = "lost"
	// outcomeWrong is an answer that is truncated or belongs to another request.
	outcomeWrong = "wrong"
)

const (
	jobPollInterval = 20 * time.Millisecond
	maxAnswerBytes  = 64 << 20 // bytes
)

// arrivalOutcome is how one arrival ended.
type arrivalOutcome struct {
	outcome string
	code    string // HTTP status and error code, empty when complete
}

// sender sends arrivals to the entries round-robin.
type sender struct {
	client  *http.Client
	clock   clockwork.Clock
	entries []string
	timeout time.Duration
}

func (s *sender) send(ctx context.Context, a plan.Arrival, n int) arrivalOutcome {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	entry := s.entries[n%len(s.entries)]
	var v arrivalOutcome
	var err error
	if a.Kind.Tasks > 0 {
		v, err = s.sendJob(ctx, entry, a)
	} else {
		v, err = s.sendRequest(ctx, entry, a)
	}
	if err != nil {
		return arrivalOutcome{outcome: outcomeLost, code: "noResponse"}
	}
	return v
}

func taskBody(a plan.Arrival, i int) ([]byte, error) {
	id := a.ID
	if a.Kind.Tasks > 0 {
		id += "/" + strconv.Itoa(i)
	}
	b, err := json.Marshal(fake.TaskBody{RunTime: nilIfZero(units.Duration(a.RunTimes[i])), AnswerBytes: a.Kind.AnswerBytes, Request: id})
	return b, trace.Wrap(err)
}

func taskLabels(k *plan.Kind) model.Labels { return k.Labels.With(model.LabelKind, k.Name) }

func requestHeader(a plan.Arrival) http.Header {
	h := http.Header{"Content-Type": {"application/json"}}
	all := taskLabels(a.Kind)
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

func (s *sender) sendRequest(ctx context.Context, entry string, a plan.Arrival) (arrivalOutcome, error) {
	body, err := taskBody(a, 0)
	if err != nil {
		return arrivalOutcome{}, err
	}
	resp, b, err := s.roundTrip(ctx, http.MethodPost, entry+"/v1/requests", requestHeader(a), body)
	if err != nil {
		return arrivalOutcome{}, err
	}
	v := classify(resp, b)
	if v.outcome == outcomeComplete && !isWholeAnswer(b, a) {
		v = arrivalOutcome{outcome: outcomeWrong}
	}
	return v, nil
}

// isWholeAnswer reports whether b is the complete answer to the request: it has
// the expected size and echoes the request's ID.
func isWholeAnswer(b []byte, a plan.Arrival) bool {
	var echo struct {
		Request string `json:"request"`
	}
	return len(b) >= a.Kind.AnswerBytes && json.Unmarshal(b, &echo) == nil && echo.Request == a.ID
}

func (s *sender) sendJob(ctx context.Context, entry string, a plan.Arrival) (arrivalOutcome, error) {
	type task struct {
		Body []byte `json:"body"`
		Type string `json:"type"`
	}
	var tasks []task
	for i := range a.RunTimes {
		b, err := taskBody(a, i)
		if err != nil {
			return arrivalOutcome{}, err
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
	}{a.ID, taskLabels(a.Kind), a.Kind.Selector, a.Kind.Urgency, nilIfZero(a.Kind.Deadline), tasks})
	if err != nil {
		return arrivalOutcome{}, trace.Wrap(err)
	}
	resp, b, err := s.roundTrip(ctx, http.MethodPost, entry+"/v1/jobs", http.Header{"Content-Type": {"application/json"}}, body)
	if err != nil {
		return arrivalOutcome{}, err
	}
	if resp.StatusCode/100 != 2 {
		return classify(resp, b), nil
	}
	return s.pollJob(ctx, entry+"/v1/jobs/"+url.PathEscape(a.ID)+"/answer")
}

// pollJob polls the URL of a job's answer until the job has an outcome.
func (s *sender) pollJob(ctx context.Context, answer string) (arrivalOutcome, error) {
	for {
		resp, b, err := s.roundTrip(ctx, http.MethodGet, answer, nil, nil)
		if err != nil {
			return arrivalOutcome{}, err
		}
		if resp.Header.Get("Relay-Outcome") != "" {
			return classify(resp, b), nil
		}
		select {
		case <-s.clock.After(jobPollInterval):
		case <-ctx.Done():
			return arrivalOutcome{}, trace.Wrap(ctx.Err())
		}
	}
}

// nilIfZero returns nil for 0, so that the JSON field is omitted.
func nilIfZero(d units.Duration) *units.Duration {
	if d == 0 {
		return nil
	}
	return &d
}

// classify returns the outcome by the response's header, or lost when the header
// has none or contradicts the status.
func classify(resp *http.Response, b []byte) arrivalOutcome {
	v := arrivalOutcome{outcome: resp.Header.Get("Relay-Outcome")}
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

func (s *sender) roundTrip(ctx context.Context, method, address string, h http.Header, body []byte) (*http.Response, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	// Without GetBody the transport does not retry a request on its own.
	req.GetBody = nil
	if h != nil {
		req.Header = h
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	return resp, b, trace.Wrap(err)
}
