package target

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strings"
	"time"

	"cyclamenrelay.example/model"
	"cyclamenrelay.example/spans"
)

const (
	idleTimeout        = 90 * time.Second // of a connection to the target
	maxResponseHeaders = 64 << 10         // bytes
)

// Client starts tasks on one target.
type Client struct {
	url  string
	http *http.Client
}

// NewClient returns a client of the target at the base URL u that opens at most
// conns connections.
func NewClient(u string, conns int) *Client {
	return &Client{url: u, http: &http.Client{
		Transport: &http.Transport{
			MaxConnsPerHost: conns, MaxIdleConnsPerHost: conns, IdleConnTimeout: idleTimeout,
			MaxResponseHeaderBytes: maxResponseHeaders,
			// Response bodies are passed on unmodified.
			DisableCompression: true,
		},
		// A redirect would start the task a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Start runs the task under a lease on the target and returns the task's outcome, which
// states name as the name of the target. The outcome is NotRun only when the task was not sent on any connection
// or the target refused it.
func (c *Client) Start(ctx context.Context, name string, t model.Task, lease time.Duration) model.Outcome {
	sent := false
	tctx := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent = true }})
	req, err := http.NewRequestWithContext(tctx, http.MethodPost, c.url+"/v1/tasks/"+url.PathEscape(t.ID), bytes.NewReader(t.Body))
	if err != nil {
		return model.NotRun{Code: model.CodeInvalid, Reason: err.Error()}
	}
	// net/http must not send the task a second time on a broken connection.
	req.GetBody = nil
	setHeaders(req.Header, t, lease, spans.Inject(ctx))
	resp, err := c.http.Do(req)
	if err != nil {
		return errorOutcome(ctx, name, sent, err)
	}
	defer func() { _ = resp.Body.Close() }()
	return responseOutcome(resp, name)
}

// responseOutcome reads the response to its end and returns the outcome that it
// states.
func responseOutcome(resp *http.Response, name string) model.Outcome {
	body, err := io.ReadAll(io.LimitReader(resp.Body, model.MaxBody+1))
	failed := model.Failed{Status: resp.StatusCode, Target: name}
	switch {
	case err != nil:
		return model.Failed{Reason: "the answer could not be read to its end: " + err.Error(), MayHaveRun: true, Target: name}
	case resp.StatusCode == http.StatusTooManyRequests && resp.Header.Get("Relay-Outcome") == "notRun":
		return model.NotRun{Code: model.CodeBusy, Reason: "the target refused the task"}
	case resp.StatusCode < 200 || resp.StatusCode > 299:
		failed.Reason = "the target answered " + resp.Status
		return failed
	case len(body) > model.MaxBody:
		failed.Reason = "the answer is larger than the limit"
		return failed
	case !framed(resp):
		failed.Reason = "the answer has neither a length nor a last chunk and may be truncated"
		return failed
	}
	return model.Complete{Status: resp.StatusCode, Body: body, Target: name, Type: resp.Header.Get("Content-Type")}
}

// framed reports whether the end of the response is marked: by a length, by a last
// chunk, or by HTTP/2. Otherwise a truncated response cannot be told from a whole
// one.
func framed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || resp.ProtoMajor > 1 || slices.Contains(resp.TransferEncoding, "chunked")
}

// errorOutcome returns the outcome of a request that failed with err: NotRun when
// the task was never sent, Failed when it may have run.
func errorOutcome(ctx context.Context, name string, sent bool, err error) model.Outcome {
	switch {
	case sent && ctx.Err() != nil:
		return model.Failed{Reason: "stopped: " + context.Cause(ctx).Error(), MayHaveRun: true, Target: name}
	case sent:
		return model.Failed{Reason: "no answer: " + err.Error(), MayHaveRun: true, Target: name}
	case ctx.Err() == context.DeadlineExceeded:
		return model.NotRun{Code: model.CodeDeadline, Reason: "the deadline passed before the target was reached"}
	case ctx.Err() != nil:
		return model.NotRun{Code: model.CodeCancelled, Reason: "cancelled before the target was reached"}
	}
	return model.NotRun{Code: model.CodeNoTarget, Reason: "the target cannot be reached"}
}

func setHeaders(h http.Header, t model.Task, lease time.Duration, parent string) {
	if t.Type != "" {
		h.Set("Content-Type", t.Type)
	}
	if parent != "" {
		h.Set("Traceparent", parent)
	}
	if t.TimeLeft > 0 {
		h.Set("Relay-Deadline", t.TimeLeft.String())
	}
	if t.Job != "" {
		h.Set("Relay-Job", t.Job)
	}
	h.Set("Relay-Lease", lease.String())
	pairs := make([]string, 0, len(t.Labels))
	for k, v := range t.Labels {
		pairs = append(pairs, k+"="+v)
	}
	slices.Sort(pairs)
	h.Set("Relay-Labels", strings.Join(pairs, ","))
}
