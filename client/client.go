// Package client speaks the operators' HTTP interface: it tries the next entry
// when one is down, and resends a change whose answer was lost under the same
// change ID.
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
	maxAnswer  = 64 << 20 // bytes
	firstPause = 100 * time.Millisecond
	maxPause   = 2 * time.Second
)

// Client speaks to the operators' listeners of a deployment's entries.
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
	// Attempts bounds the tries of one operation over all servers.
	Attempts int
	// AttemptTimeout bounds one try, so that a server that is cut off silently
	// leaves time for the next.
	AttemptTimeout time.Duration
	Clock          clockwork.Clock
	// OnRetry is told of each failed try that another follows; it may be nil.
	OnRetry func(server string, err error)
}

// New returns a client. The error is a trace.BadParameter.
func New(o Options) (*Client, error) {
	if len(o.Servers) == 0 {
		return nil, trace.BadParameter("no server is given")
	}
	c := &Client{attempts: o.Attempts, clock: o.Clock, onRetry: o.OnRetry}
	for _, s := range o.Servers {
		u, err := url.Parse(s)
		if err != nil || u.Scheme != "https" || u.Host == "" {
			return nil, trace.BadParameter("server %q is no https URL", s)
		}
		c.servers = append(c.servers, strings.TrimRight(s, "/"))
	}
	c.http = &http.Client{
		Timeout:   o.AttemptTimeout,
		Transport: &http.Transport{TLSClientConfig: o.Identity.OperatorClientConfig(), ForceAttemptHTTP2: true},
	}
	return c, nil
}

// Get reads path with the query into out. Errors are of the kinds that Change returns.
func (c *Client) Get(ctx context.Context, path string, query url.Values, out any) error {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	return c.do(ctx, http.MethodGet, path, nil, out)
}

// Change sends a change until it has an answer. A conflict is an answer that
// is not accepted. Errors are a trace.BadParameter, AccessDenied, NotFound or
// NotImplemented by the server's word, a LimitExceeded when the change was
// certainly not made, and a ConnectionProblem when it may have been made.
func (c *Client) Change(ctx context.Context, r admin.ChangeRequest) (a admin.ChangeAnswer, err error) {
	err = c.do(ctx, http.MethodPost, "/v1/changes", r, &a)
	return a, err
}

// ChangeMember sends a change of the membership by the rules of Change.
func (c *Client) ChangeMember(ctx context.Context, m admin.MemberChange) (a admin.ChangeAnswer, err error) {
	err = c.do(ctx, http.MethodPost, "/v1/members", m, &a)
	return a, err
}

// CancelJob cancels the job with the submission key by the rules of Change.
func (c *Client) CancelJob(ctx context.Context, key string) (j admin.JobStatus, err error) {
	err = c.do(ctx, http.MethodDelete, "/v1/jobs/"+url.PathEscape(key), nil, &j)
	return j, err
}

// do tries the servers in turn. Only failures after which another server may
// do better are retried; every operation is idempotent.
func (c *Client) do(ctx context.Context, method, path string, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return trace.Wrap(err)
		}
	}
	mayBeDone := false
	pause := firstPause
	for try := 1; ; try++ {
		server := c.servers[(try-1)%len(c.servers)]
		err := c.try(ctx, method, server+path, body, out)
		if !trace.IsLimitExceeded(err) && !trace.IsConnectionProblem(err) {
			return err
		}
		mayBeDone = mayBeDone || trace.IsConnectionProblem(err)
		if try >= c.attempts || ctx.Err() != nil {
			return final(err, mayBeDone)
		}
		if c.onRetry != nil {
			c.onRetry(server, err)
		}
		if try%len(c.servers) > 0 {
			continue
		}
		select {
		case <-c.clock.After(pause):
		case <-ctx.Done():
			return final(err, mayBeDone)
		}
		pause = min(2*pause, maxPause)
	}
}

// final keeps the truth of all tries: once one may have been done, the outcome
// is unknown whatever the later ones said.
func final(err error, mayBeDone bool) error {
	if mayBeDone && !trace.IsConnectionProblem(err) {
		return trace.ConnectionProblem(nil, "an earlier try may have been done, the last one: %v", trace.Unwrap(err))
	}
	return err
}

func (c *Client) try(ctx context.Context, method, target string, body []byte, out any) error {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
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
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return trace.ConnectionProblem(err, "the answer was cut off: %v", err)
	}
	if resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusConflict {
		return readAnswer(resp.StatusCode, b, out)
	}
	return statusError(resp.StatusCode, errorText(b))
}

// connectError tells a request that was never sent from one whose answer was
// lost. A server refuses a client's certificate only after the client has
// begun to send, but then it reads nothing.
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
	if _, change := out.(*admin.ChangeAnswer); status == http.StatusConflict && !change {
		return trace.CompareFailed("%s", errorText(b))
	}
	if err := json.Unmarshal(b, out); err != nil {
		return trace.ConnectionProblem(err, "the answer cannot be read: %v", err)
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
