// Package entry is the HTTP server for callers, who send single requests and submit
// jobs.
package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"cyclamenrelay.example/claims"
	"cyclamenrelay.example/guard"
	"cyclamenrelay.example/jobs"
	"cyclamenrelay.example/kernel"
	"cyclamenrelay.example/member"
	"cyclamenrelay.example/meter"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/route"
	"cyclamenrelay.example/watch"
)

// ServiceName is the service name of the entry.
const ServiceName = "entry"

// Limits for the connection of a caller.
const (
	headerTimeout = 5 * time.Second                   // to read the header
	bodyTimeout   = 30 * time.Second                  // to read the whole request
	answerTimeout = 30 * time.Second                  // to write the response
	waitTimeout   = model.MaxTimeToLive + time.Minute // from the header to the end of the response
	maxHeaders    = 64 << 10                          // bytes
)

// Options configure an Entry.
type Options struct {
	// Listen is the IP address and TCP port for callers.
	Listen string
	// MaxBody bounds the body of a request, in bytes.
	MaxBody int64
	// MaxBytes bounds the bodies of all requests in progress, in bytes.
	MaxBytes int64
	// RequestTimeout is the time to live of a request that names no deadline.
	RequestTimeout time.Duration
	Clock          clockwork.Clock
	Log            *zap.Logger
	View           *watch.View
	// Plan is the memory plan of the process.
	Plan guard.Plan
}

// Entry is the service that accepts the callers' requests and jobs.
type Entry struct {
	opts       Options
	router     jobs.Router
	jobs       *jobs.Manager
	claims     *claims.Manager
	finder     *member.Finder
	bodyBudget *budget

	mu       sync.Mutex
	draining bool
	active   int           // requests in progress
	idle     chan struct{} // closed when draining and no request is in progress
}

// New returns an entry that does not listen yet.
func New(opts Options) *Entry {
	return &Entry{opts: opts, bodyBudget: &budget{available: opts.MaxBytes}, idle: make(chan struct{})}
}

// Name implements kernel.Service.
func (e *Entry) Name() string { return ServiceName }

// Start implements kernel.Starter.
func (e *Entry) Start(k *kernel.Kernel) (err error) {
	if e.finder, err = kernel.Find[*member.Finder](k, member.ServiceName); err != nil {
		return err
	}
	if e.claims, err = kernel.Find[*claims.Manager](k, claims.ServiceName); err != nil {
		return err
	}
	if e.jobs, err = kernel.Find[*jobs.Manager](k, jobs.ServiceName); err != nil {
		return err
	}
	e.router, err = kernel.Find[jobs.Router](k, route.ServiceName)
	return err
}

// Run implements kernel.Service.
func (e *Entry) Run(ctx context.Context) error {
	srv := &http.Server{
		Addr: e.opts.Listen, Handler: e.Handler(), MaxHeaderBytes: maxHeaders,
		ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, WriteTimeout: waitTimeout, IdleTimeout: bodyTimeout,
	}
	port := e.opts.Plan.Port("callers", guard.Main, e.opts.Log)
	port.SetMaxHead(maxHeaders)
	return meter.ServeGuarded(ctx, port, srv)
}

// Handler returns the callers' HTTP interface.
func (e *Entry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/requests", e.request)
	mux.HandleFunc("POST /v1/jobs", e.submitJob)
	mux.HandleFunc("GET /v1/jobs/{key}", e.jobStatus)
	mux.HandleFunc("GET /v1/jobs/{key}/answer", e.jobAnswer)
	mux.HandleFunc("DELETE /v1/jobs/{key}", e.jobCancel)
	mux.HandleFunc("GET /v1/live", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /v1/ready", e.ready)
	return mux
}

// ready tells the load balancer whether to send new requests to this entry.
func (e *Entry) ready(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	draining := e.draining
	e.mu.Unlock()
	if draining || !e.opts.View.Usable() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Drain implements kernel.Drainer: it refuses new work and returns when the
// requests in progress are answered.
func (e *Entry) Drain(ctx context.Context) {
	e.finder.Leave()
	e.mu.Lock()
	e.draining = true
	if e.active == 0 {
		e.closeIdle()
	}
	e.mu.Unlock()
	select {
	case <-e.idle:
	case <-ctx.Done():
	}
}

func (e *Entry) closeIdle() {
	select {
	case <-e.idle:
	default:
		close(e.idle)
	}
}

// beginRequest counts a request in progress until endRequest, or returns the
// refusal of it.
func (e *Entry) beginRequest() *model.NotRun {
	if !e.opts.View.Usable() {
		return &model.NotRun{Code: model.CodeStale, Reason: "the entry has no fresh configuration", RetryAfter: time.Second}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining {
		return &model.NotRun{Code: model.CodeLeaving, Reason: "the entry is shutting down", RetryAfter: time.Second}
	}
	e.active++
	return nil
}

// setWriteDeadline sets the deadline for writing the response, so that a caller
// that reads it slowly does not hold the connection.
func (e *Entry) setWriteDeadline(w http.ResponseWriter) {
	// The error is ignored: a writer without deadlines, as in tests, has no connection.
	_ = http.NewResponseController(w).SetWriteDeadline(e.opts.Clock.Now().Add(answerTimeout))
}

// overBudget returns the refusal of a request whose body exceeds the entry's budget.
func overBudget() model.NotRun {
	return model.NotRun{
		Code: model.CodeQueueFull, Reason: "the bodies of the requests in progress exceed the entry's limit", RetryAfter: time.Second,
	}
}

func (e *Entry) endRequest() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active--
	if e.draining && e.active == 0 {
		e.closeIdle()
	}
}
