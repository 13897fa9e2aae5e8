package agent

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"cyclamenrelay.example/worker"
)

const (
	// taskLease is the length of a task's lease at its start and at each renewal.
	taskLease     = 10 * time.Second
	renewInterval = taskLease / 3
	usageInterval = 2 * time.Second
)

// renewLease renews the task's lease at the platform until ctx ends or the returned
// function is called, which waits for a renewal in progress.
func (a *Agent) renewLease(ctx context.Context, id string) (done func()) {
	stop := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			case <-ctx.Done():
				return
			case <-a.opts.Clock.After(renewInterval):
				if err := a.opts.Platform.Renew(ctx, id, taskLease); err != nil {
					a.opts.Log.Warn("task lease not renewed", zap.String("task", id), zap.Error(err))
				}
			}
		}
	}()
	return func() {
		close(stop)
		<-stopped
	}
}

// stopTask tells the platform to stop a task that may still be running.
func (a *Agent) stopTask(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), worker.Timeout)
	defer cancel()
	if err := a.opts.Platform.Stop(ctx, id); err != nil {
		a.opts.Log.Debug("task not stopped", zap.String("task", id), zap.Error(err))
	}
}

// watchUsage polls the platform's usage reports and publishes the newest as metrics.
func (a *Agent) watchUsage(ctx context.Context) {
	lag := metrics.GetOrCreateFloatCounter("relay_usage_lag_seconds")
	memory := metrics.GetOrCreateFloatCounter("relay_usage_memory_bytes")
	for ctx.Err() == nil {
		if u, err := a.opts.Platform.Usage(ctx); err == nil && !u.At.IsZero() {
			var sum int64
			for _, t := range u.Tasks {
				sum += t.MemoryBytes
			}
			lag.Set(a.opts.Clock.Since(u.At).Seconds())
			memory.Set(float64(sum))
		}
		select {
		case <-ctx.Done():
		case <-a.opts.Clock.After(usageInterval):
		}
	}
}
