// Package entry serves callers by HTTP: requests and their answers, and jobs.
package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"cyclamenrelay.example/jobs"
	"cyclamenrelay.example/kernel"
	"cyclamenrelay.example/member"
	"cyclamenrelay.example/meter"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/route"
	"cyclamenrelay.example/spread"
)

// ServiceName is the name that other services find the entry by.
const ServiceName = "entry"

const headerTimeout = 5 * time.Second

// Options configure an Entry.
type Options struct {
	// Listen is the IP address and TCP port for callers.
	Listen string
	// MaxBody bounds the body of a request, in bytes.
	MaxBody int64
	// RequestTimeout is the time to live of a request that names no deadline.
	RequestTimeout time.Duration
	Clock          clockwork.Clock
	Log            *zap.Logger
	View           *spread.View
}

// Entry is the service that callers talk to.
type Entry struct {
	opts   Options
	router jobs.Router
	jobs   *jobs.Manager
	finder *member.Finder

	mu       sync.Mutex
	draining bool
	active   int
	idle     chan struct{} // closed when draining and no request is in progress
}

// New returns an entry that does not listen yet.
func New(opts Options) *Entry { return &Entry{opts: opts, idle: make(chan struct{})} }

// Name implements kernel.Service.
func (e *Entry) Name() string { return ServiceName }

// Start implements kernel.Starter.
func (e *Entry) Start(k *kernel.Kernel) (err error) {
	if e.finder, err = kernel.Find[*member.Finder](k, member.ServiceName); err != nil {
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
	srv := &http.Server{Addr: e.opts.Listen, Handler: e.Handler(), ReadHeaderTimeout: headerTimeout}
	return meter.Serve(ctx, srv)
}

// Handler returns the callers' HTTP interface.
func (e *Entry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/requests", e.request)
	mux.HandleFunc("POST /v1/jobs", e.submit)
	mux.HandleFunc("GET /v1/jobs/{key}", e.jobStatus)
	mux.HandleFunc("GET /v1/jobs/{key}/answer", e.jobAnswer)
	mux.HandleFunc("DELETE /v1/jobs/{key}", e.jobCancel)
	mux.HandleFunc("GET /v1/live", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /v1/ready", e.ready)
	return mux
}

// ready tells the platform's balancer whether to send new work here.
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

// enter counts a request in progress, or says why none is taken.
func (e *Entry) enter() *model.NotRun {
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

func (e *Entry) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active--
	if e.draining && e.active == 0 {
		e.closeIdle()
	}
}
