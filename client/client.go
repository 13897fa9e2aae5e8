// Package client is the client of the operators' HTTP API (package admin). It
// retries at the next entry when one is down, and resends a change whose answer
// was lost with the same change ID.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"cyclamenrelay.example/admin"
	"cyclamenrelay.example/keys"
)

const (
	maxAnswerBytes = 64 << 20 // bytes
	minBackoff     = 100 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// Client sends requests to the operators' listeners of a deployment's entries.
type Client struct {
	servers  []string
	attempts int
	http     *http.Client
	clock    clockwork.Clock
	onRetry  func(server string, err error)
}

// Options configure a Client.
type Options struct {
	// Servers are the HTTPS URLs of entries, in the order in which they are tried.
	Servers  []string
	Identity *keys.Identity
	// Attempts is the maximum number of attempts at one operation, over all servers.
	Attempts int
	// AttemptTimeout is the time-out of one attempt, so that a server that does not
	// answer leaves time for the next.
	AttemptTimeout time.Duration
	Clock          clockwork.Clock
	// OnRetry is called after each failed attempt that is followed by another; it
	// may be nil.
	OnRetry func(server string, err error)
}

// New returns a client. The error is a trace.BadParameter.
func New(o Options) (*Client, error) {
	if len(o.Servers) == 0 {
		return nil, trace.BadParameter("no server given")
	}
	c := &Client{attempts: o.Attempts, clock: o.Clock, onRetry: o.OnRetry}
	for _, s := range o.Servers {
		u, err := url.Parse(s)
		if err != nil || u.Scheme != "https" || u.Host == "" {
			return nil, trace.BadParameter("server %q is not an https URL", s)
		}
		c.servers = append(c.servers, strings.TrimRight(s, "/"))
	}
	c.http = &http.Client{
		Timeout:   o.AttemptTimeout,
		Transport: &http.Transport{TLSClientConfig: o.Identity.OperatorClientConfig(), ForceAttemptHTTP2: true},
	}
	return c, nil
}

// Get reads path with the query into out. It returns the same kinds of errors as Change.
func (c *Client) Get(ctx context.Context, path string, query url.Values, out any) error {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	return c.doWithRetries(ctx, http.MethodGet, path, nil, out)
}

// Change sends a change and retries it until it has an answer. A conflict is an
// answer with Accepted false, not an error. Errors are a trace.BadParameter,
// AccessDenied, NotFound or NotImplemented when the server says so, a LimitExceeded
// when the change was certainly not made, and a ConnectionProblem when it may have
// been made.
func (c *Client) Change(ctx context.Context, r admin.ChangeRequest) (a admin.ChangeAnswer, err error) {
	err = c.doWithRetries(ctx, http.MethodPost, "/v1/changes", r, &a)
	return a, err
}

// ChangeMember sends a membership change. Retries, answers and errors are as for Change.
func (c *Client) ChangeMember(ctx context.Context, m admin.MemberChange) (a admin.ChangeAnswer, err error) {
	err = c.doWithRetries(ctx, http.MethodPost, "/v1/members", m, &a)
	return a, err
}

// CancelJob cancels the job with the submission key. Retries and errors are as for Change.
func (c *Client) CancelJob(ctx context.Context, key string) (j admin.JobStatus, err error) {
	err = c.doWithRetries(ctx, http.MethodDelete, "/v1/jobs/"+url.PathEscape(key), nil, &j)
	return j, err
}

// doWithRetries tries the servers in turn, with exponential back-off after each round. It
// retries only failures that may not recur at another server; every operation is
// idempotent.
func (c *Client) doWithRetries(ctx context.Context, method, path string, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return trace.Wrap(err)
		}
	}
	mayHaveTakenEffect := false
	backoff := minBackoff
	for attempt := 1; ; attempt++ {
		server := c.servers[(attempt-1)%len(c.servers)]
		err := c.doOnce(ctx, method, server+path, body, out)
		if !trace.IsLimitExceeded(err) && !trace.IsConnectionProblem(err) {
			return err
		}
		mayHaveTakenEffect = mayHaveTakenEffect || trace.IsConnectionProblem(err)
		if attempt >= c.attempts || ctx.Err() != nil {
			return combinedError(err, mayHaveTakenEffect)
		}
		if c.onRetry != nil {
			c.onRetry(server, err)
		}
		if attempt%len(c.servers) > 0 {
			continue
		}
		select {
		case <-c.clock.After(backoff):
		case <-ctx.Done():
			return combinedError(err, mayHaveTakenEffect)
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// combinedError returns the error for all attempts together: once one attempt may have taken
// effect, the outcome is unknown, whatever the later ones returned.
func combinedError(err error, mayHaveTakenEffect bool) error {
	if mayHaveTakenEffect && !trace.IsConnectionProblem(err) {
		return trace.ConnectionProblem(nil, "an earlier attempt may have taken effect; the last one failed: %v", trace.Unwrap(err))
	}
	return err
}

func (c *Client) doOnce(ctx context.Context, method, fullURL string, body []byte, out any) error {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, method, fullURL, bytes.NewReader(body))
	if err != nil {
		return trace.BadParameter("%v", err)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return connectError(err, connected.Load())
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return trace.ConnectionProblem(err, "the answer was cut off: %v", err)
	}
	if resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusConflict {
		return readAnswer(resp.StatusCode, b, out)
	}
	return statusError(resp.StatusCode, errorText(b))
}

// connectError distinguishes a request that was never sent from one whose answer was
// lost. A server refuses a client certificate only after the client has begun to
// send, but then it reads nothing, so the request is certainly not done.
func connectError(err error, connected bool) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "remote error" && strings.Contains(op.Err.Error(), "certificate") {
		return trace.AccessDenied("the server refused the certificate: %v", op.Err)
	}
	if !connected {
		return trace.LimitExceeded("not sent: %v", err)
	}
	return trace.ConnectionProblem(err, "the answer was lost: %v", err)
}

func readAnswer(status int, b []byte, out any) error {
	if _, isChange := out.(*admin.ChangeAnswer); status == http.StatusConflict && !isChange {
		return trace.CompareFailed("%s", errorText(b))
	}
	if err := json.Unmarshal(b, out); err != nil {
		return trace.ConnectionProblem(err, "the answer cannot be decoded: %v", err)
	}
	return nil
}

func errorText(b []byte) string {
	var a admin.ErrorAnswer
	if json.Unmarshal(b, &a) != nil || a.Error == "" {
		return "no reason given"
	}
	if a.Field != "" {
		return a.Field + ": " + a.Error
	}
	return a.Error
}

func statusError(status int, text string) error {
	switch status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return trace.BadParameter("%s", text)
	case http.StatusUnauthorized, http.StatusForbidden:
		return trace.AccessDenied("%s", text)
	case http.StatusNotFound, http.StatusMethodNotAllowed:
		return trace.NotFound("%s", text)
	case http.StatusNotImplemented:
		return trace.NotImplemented("%s", text)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return trace.LimitExceeded("%s", text)
	}
	return trace.ConnectionProblem(nil, "status %d: %s", status, text)
}
