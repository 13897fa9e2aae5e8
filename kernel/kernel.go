// Package kernel starts, runs, drains and stops the services of a process. Services
// find each other by name.
package kernel

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/oklog/run"
	"go.uber.org/zap"
)

// Service is one part of a process.
type Service interface {
	// Name returns the name that Find looks the service up by.
	Name() string
	// Run serves until the context ends or the service fails.
	Run(ctx context.Context) error
}

// Starter is a Service that needs to look up other services, or to open files and
// sockets, before any service runs. Start is called in the order of Add.
type Starter interface {
	Start(k *Kernel) error
}

// Drainer is a Service that must refuse new work and finish its work in progress
// before the process stops. Drain is called in the reverse order of Add.
type Drainer interface {
	Drain(ctx context.Context)
}

// Kernel holds the services of a process.
type Kernel struct {
	log      *zap.Logger
	mu       sync.Mutex
	services []Service
	byName   map[string]Service
}

// New returns a Kernel without services.
func New(log *zap.Logger) *Kernel { return &Kernel{log: log, byName: map[string]Service{}} }

// Add adds a service. It panics when the kernel has one of the same name.
func (k *Kernel) Add(s Service) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.byName[s.Name()]; ok {
		panic("kernel: two services are named " + s.Name())
	}
	k.byName[s.Name()] = s
	k.services = append(k.services, s)
}

// Find returns the named service as a T. The error is a trace.NotFound when there is
// none, or a trace.BadParameter when the service is not a T.
func Find[T any](k *Kernel, name string) (T, error) {
	var zero T
	k.mu.Lock()
	defer k.mu.Unlock()
	s, ok := k.byName[name]
	if !ok {
		return zero, trace.NotFound("service %s is not part of this process", name)
	}
	t, ok := s.(T)
	if !ok {
		return zero, trace.BadParameter("service %s has another type", name)
	}
	return t, nil
}

// Run starts all services and runs them until one returns or ctx ends. When ctx ends,
// it drains the services, for at most the time drain, before it stops them.
func (k *Kernel) Run(ctx context.Context, drainTimeout time.Duration) error {
	for _, s := range k.services {
		if st, ok := s.(Starter); ok {
			if err := st.Start(k); err != nil {
				return trace.Wrap(err, "starting service %s", s.Name())
			}
		}
	}
	var g run.Group
	for _, s := range k.services {
		sctx, stop := context.WithCancel(context.Background())
		g.Add(func() error { return trace.Wrap(s.Run(sctx), "service %s", s.Name()) }, func(error) { stop() })
	}
	waitCtx, cancelWait := context.WithCancel(ctx)
	g.Add(func() error {
		<-waitCtx.Done()
		if ctx.Err() != nil {
			k.drain(drainTimeout)
		}
		return nil
	}, func(error) { cancelWait() })
	return trace.Wrap(g.Run())
}

// drain calls the Drainers one after the other, with one limit for all.
func (k *Kernel) drain(limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	for i := len(k.services) - 1; i >= 0; i-- {
		s := k.services[i]
		if d, ok := s.(Drainer); ok {
			k.log.Info("draining", zap.String("service", s.Name()))
			d.Drain(ctx)
		}
	}
}
