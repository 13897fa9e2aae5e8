package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel/attribute"
	"go.uber.org/zap"

	"cyclamenrelay.example/label"
	"cyclamenrelay.example/meter"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/spans"
)

// request handles POST /v1/requests: it runs one task and responds with its outcome.
func (e *Entry) request(w http.ResponseWriter, r *http.Request) {
	if refusal := e.beginRequest(); refusal != nil {
		writeOutcome(w, *refusal)
		return
	}
	defer e.endRequest()
	reserved := reservation{limit: e.bodyBudget}
	defer reserved.release()
	t, err := e.readTask(w, r, &reserved)
	e.setWriteDeadline(w)
	switch {
	case reserved.exhausted:
		writeOutcome(w, overBudget())
		return
	case err != nil:
		writeError(w, err)
		return
	}
	started := e.opts.Clock.Now()
	ctx, span := spans.Start(spans.Extract(r.Context(), r.Header.Get("Traceparent")), "entry", attribute.String("task", t.ID))
	defer span.End()
	o := e.run(ctx, t, r.Header.Get("Idempotency-Key"))
	span.SetAttributes(attribute.String("outcome", model.OutcomeName(o)))
	meter.ObserveResponse(model.OutcomeName(o), e.opts.Clock.Since(started))
	e.opts.Log.Debug("request answered", zap.String("task", t.ID), zap.String("kind", t.Kind()),
		zap.String("outcome", model.OutcomeName(o)), zap.Duration("took", e.opts.Clock.Since(started)))
	w.Header().Set("Relay-Task", t.ID)
	e.setWriteDeadline(w)
	writeOutcome(w, o)
}

// run routes an idempotent task at once, and any other task under a claim of its
// idempotency key.
func (e *Entry) run(ctx context.Context, t model.Task, key string) model.Outcome {
	if t.Idempotent {
		return e.router.RunTask(ctx, t, nil)
	}
	return e.claims.Do(ctx, key, t)
}

// readTask reads a task from the headers and body. The error names all invalid
// headers.
func (e *Entry) readTask(w http.ResponseWriter, r *http.Request, reserved *reservation) (t model.Task, err error) {
	p := headerParser{h: r.Header}
	t = model.Task{
		ID:         uuid.NewString(),
		Labels:     p.labels(),
		Selector:   p.selector(),
		Urgency:    int(p.number("Relay-Urgency", model.MaxUrgency)),
		TimeLeft:   p.duration("Relay-Deadline", e.opts.RequestTimeout, model.MaxTimeToLive),
		Size:       p.number("Relay-Size", 1<<50),
		RunTime:    p.duration("Relay-Run-Time", 0, model.MaxTimeToLive),
		Idempotent: p.boolean("Relay-Idempotent", true),
		Type:       r.Header.Get("Content-Type"),
	}
	if key := r.Header.Get("Idempotency-Key"); !t.Idempotent && (key == "" || len(key) > model.MaxKeyLen) {
		p.fail("Idempotency-Key", "a task that is not idempotent needs a key of 1 to %d bytes", model.MaxKeyLen)
	}
	if err := trace.NewAggregate(p.errs...); err != nil {
		return t, err
	}
	t.Body, err = io.ReadAll(reserved.reader(http.MaxBytesReader(w, r.Body, e.opts.MaxBody)))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return t, trace.LimitExceeded("body: more than %d bytes", large.Limit)
	}
	if err != nil {
		return t, trace.BadParameter("body: %v", err)
	}
	return t, nil
}

// headerParser parses headers and collects all errors, so that a caller sees them
// at once.
type headerParser struct {
	h    http.Header
	errs []error
}

func (p *headerParser) fail(name, format string, args ...any) {
	p.errs = append(p.errs, trace.BadParameter(name+": "+format, args...))
}

func (p *headerParser) labels() model.Labels {
	l := model.Labels{}
	for part := range strings.SplitSeq(p.h.Get("Relay-Labels"), ",") {
		if part = strings.TrimSpace(part); part == "" {
			continue
		}
		k, v, ok := strings.Cut(part, "=")
		if !ok {
			p.fail("Relay-Labels", "%q is not of the form name=value", part)
			continue
		}
		l[strings.TrimSpace(k)] = strings.TrimSpace(v)
	}
	if err := model.CheckLabels(l); err != nil {
		p.fail("Relay-Labels", "%v", err)
	}
	return l
}

func (p *headerParser) selector() string {
	s := p.h.Get("Relay-Selector")
	if _, err := label.Parse(s); err != nil {
		p.fail("Relay-Selector", "%v", err)
	}
	return s
}

func (p *headerParser) number(name string, limit int64) int64 {
	s := p.h.Get(name)
	if s == "" {
		return 0
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || n < 0 || n > limit {
		p.fail(name, "%q is not a whole number from 0 to %d", s, limit)
	}
	return n
}

func (p *headerParser) duration(name string, fallback, limit time.Duration) time.Duration {
	s := p.h.Get(name)
	if s == "" {
		return fallback
	}
	d, err := time.ParseDuration(s)
	if err != nil || d <= 0 || d > limit {
		p.fail(name, "%q is not a duration above 0 and up to %s, such as 800ms", s, limit)
	}
	return d
}

func (p *headerParser) boolean(name string, fallback bool) bool {
	switch s := p.h.Get(name); s {
	case "":
		return fallback
	case "true":
		return true
	case "false":
		return false
	default:
		p.fail(name, "%q is neither true nor false", s)
		return fallback
	}
}
