// Package opsvc is the back end of the operators' HTTP API in an entry: it proposes
// configuration and membership changes to the keepers, and reports the state of
// targets, queued work, jobs and keepers.
package opsvc

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"cyclamenrelay.example/admin"
	"cyclamenrelay.example/guard"
	"cyclamenrelay.example/jobs"
	"cyclamenrelay.example/kernel"
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/member"
	"cyclamenrelay.example/route"
	"cyclamenrelay.example/watch"
)

// ServiceName is the name under which the service is registered in the kernel.
const ServiceName = "opsvc"

// ReplicatedLog sends commands and queries to the replicated logs of the keepers;
// leader.Client implements it.
type ReplicatedLog interface {
	Propose(ctx context.Context, group uint32, command []byte) ([]byte, error)
	Query(ctx context.Context, group uint32, query []byte) ([]byte, error)
}

// Options configure a Service.
type Options struct {
	// Listen is the IP address and TCP port of the operators' HTTPS listener.
	Listen   string
	Identity *keys.Identity
	Keepers  ReplicatedLog
	Clock    clockwork.Clock
	Log      *zap.Logger
	View     *watch.View
	// Plan is the memory plan of the process.
	Plan guard.Plan
}

// Service serves operators in an entry. It implements admin.Backend.
type Service struct {
	opts    Options
	started time.Time
	node    *link.Node
	finder  *member.Finder
	router  *route.Router
	jobs    *jobs.Manager

	mu          sync.Mutex
	entriesSeen map[string]time.Time // when the finder last listed each entry
	refusals    samples
}

var _ admin.Backend = (*Service)(nil)

// New returns a service that does not listen yet.
func New(opts Options) *Service {
	return &Service{opts: opts, started: opts.Clock.Now(), entriesSeen: map[string]time.Time{}}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Start implements kernel.Starter.
func (s *Service) Start(k *kernel.Kernel) (err error) {
	if s.node, err = kernel.Find[*link.Node](k, link.ServiceName); err != nil {
		return err
	}
	if s.finder, err = kernel.Find[*member.Finder](k, member.ServiceName); err != nil {
		return err
	}
	if s.router, err = kernel.Find[*route.Router](k, route.ServiceName); err != nil {
		return err
	}
	if s.jobs, err = kernel.Find[*jobs.Manager](k, jobs.ServiceName); err != nil {
		return err
	}
	link.Handle(s.node.Mux(), s.listJobs, keys.Entry)
	return nil
}

// Run implements kernel.Service. It serves the HTTP API until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	srv := admin.NewServer(s, s.opts.Identity, s.opts.Clock, s.opts.Log)
	srv.Addr = s.opts.Listen
	port := s.opts.Plan.Port("operators", guard.Side, s.opts.Log)
	port.Configure(srv)
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wg.Go(func() { s.sampleRegularly(ctx) })
	l, err := port.Listen(s.opts.Listen)
	if err != nil {
		return err
	}
	err = srv.ServeTLS(l, "", "")
	if ctx.Err() != nil {
		return nil
	}
	return trace.Wrap(err)
}
