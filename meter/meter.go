// Package meter defines metrics of the process, and serves its metrics and health
// endpoints.
package meter

import (
	"context"
	"fmt"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"cyclamenrelay.example/guard"
)

// ServiceName is the service name of the server.
const ServiceName = "meter"

const (
	headerTimeout = 5 * time.Second
	// metricsBytes is the memory for the text of the metrics, about twice its size.
	metricsBytes = 64 << 10
	// shutdownTimeout bounds how long Serve waits for responses in progress.
	shutdownTimeout = 2 * time.Second
)

// WastedMessages counts the messages that did not contribute to the one answer of a request,
// by cause: retry, hedge, bounced, stale or cancelled.
func WastedMessages(cause string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`relay_wasted_messages_total{cause="` + cause + `"}`)
}

// Answers counts the answers to callers by outcome: complete, failed or notRun.
func Answers(outcome string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`relay_answers_total{outcome="` + outcome + `"}`)
}

// Starts counts the starts sent to agents.
func Starts() *metrics.Counter { return metrics.GetOrCreateCounter("relay_starts_total") }

// RefusedStarts counts the tasks that an agent has refused or returned before their start, by
// reason: evacuation.
func RefusedStarts(reason string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`relay_starts_refused_total{reason="` + reason + `"}`)
}

// HandlerErrors counts the run-time errors in handlers of messages and in jobs. Each ended
// the exchange or job alone.
func HandlerErrors() *metrics.Counter {
	return metrics.GetOrCreateCounter("relay_handler_errors_total")
}

// ReturnedTasks counts the tasks that full targets returned, to be placed again.
func ReturnedTasks() *metrics.Counter {
	return metrics.GetOrCreateCounter("relay_tasks_returned_total")
}

// AbandonedJobs counts the jobs that were abandoned before a start because all of their
// callers had disconnected.
func AbandonedJobs() *metrics.Counter { return metrics.GetOrCreateCounter("relay_jobs_deserted_total") }

// Refusals counts the refused jobs of a queue by cause: late, deadline, target, unsupported or
// other.
func Refusals(queue, cause string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("relay_refusals_total{queue=%q,cause=%q}", queue, cause))
}

// LateJobs counts the jobs of a queue that were complete after their objective.
func LateJobs(queue string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("relay_jobs_late_total{queue=%q}", queue))
}

// QueueWork is the work of a queue in the last second or two, in seconds of a core or an
// accelerator: the demand, what was served, or the share that the queue is entitled to.
func QueueWork(queue, what string) *metrics.Gauge {
	return metrics.GetOrCreateGauge(fmt.Sprintf("relay_queue_work{queue=%q,what=%q}", queue, what), nil)
}

// IgnoredAnnouncements counts the announcements of targets that had no effect, by reason: late,
// contradicted or unconfirmed.
func IgnoredAnnouncements(reason string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`relay_announcements_ignored_total{reason="` + reason + `"}`)
}

// EarlyStops counts the runs that agents stopped so that their tasks could run on other
// targets, by reason: stuck, slow or overdue.
func EarlyStops(reason string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`relay_runs_stopped_early_total{reason="` + reason + `"}`)
}

// DiscardedWork sums the core-seconds of runs that were stopped before their end.
func DiscardedWork() *metrics.FloatCounter {
	return metrics.GetOrCreateFloatCounter("relay_discarded_core_seconds_total")
}

// TargetConnections counts the connections that an agent has opened to its target.
func TargetConnections() *metrics.Counter {
	return metrics.GetOrCreateCounter("relay_target_connections_total")
}

// Backfills counts the tasks that an agent started before others that were due earlier but did
// not fit into the free capacity.
func Backfills() *metrics.Counter { return metrics.GetOrCreateCounter("relay_backfills_total") }

// ConfigRefusals counts the requests refused by the configuration, by status and by what the
// entry knew of it: current, outdated or unconfirmed.
func ConfigRefusals(status int, view string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("relay_config_refusals_total{status=\"%d\",view=%q}", status, view))
}

// ObserveConfigStep records how long one step of a change of the configuration took: accept (at
// the keeper that acknowledges it), held (at the keeper that sent it to this process), poll
// (the exchange that brought it, with the wait for a change) or apply (until it is in force).
func ObserveConfigStep(step string, d time.Duration) {
	metrics.GetOrCreateHistogram(`relay_config_step_seconds{step="` + step + `"}`).Update(d.Seconds())
}

// ObserveConfigRefusalAge records the time since the last confirmation of the configuration by
// which a request was refused.
func ObserveConfigRefusalAge(d time.Duration) {
	metrics.GetOrCreateHistogram("relay_config_refusal_age_seconds").Update(d.Seconds())
}

// ObserveHeadDelay records the time from the first start of another task before a waiting one,
// by backfill, until the start of the waiting one.
func ObserveHeadDelay(d time.Duration) {
	metrics.GetOrCreateHistogram("relay_head_delay_seconds").Update(d.Seconds())
}

// UnusedCapacity is the capacity of the target that was free while tasks waited for it, in
// core-seconds.
func UnusedCapacity() *metrics.FloatCounter {
	return metrics.GetOrCreateFloatCounter("relay_capacity_unused_core_seconds_total")
}

// Gauge registers f as the value of the gauge with the name, unless the process has
// registered the name before.
func Gauge(name string, f func() float64) { metrics.GetOrCreateGauge(name, f) }

// ObserveSync records how long one write of the replicated state took to become durable.
func ObserveSync(d time.Duration) {
	metrics.GetOrCreateHistogram("relay_sync_seconds").Update(d.Seconds())
}

// ObserveResponse records how long a caller waited for an answer with the outcome.
func ObserveResponse(outcome string, d time.Duration) {
	metrics.GetOrCreateHistogram(`relay_response_seconds{outcome="` + outcome + `"}`).Update(d.Seconds())
}

// Server serves /metrics, /live and /ready.
type Server struct {
	// Listen is the IP address and TCP port to listen on, empty for no server.
	Listen string
	// Profiles adds /debug/pprof/.
	Profiles bool
	// Ready reports whether the process accepts new work.
	Ready func() bool
	// Plan is the memory plan of the process.
	Plan guard.Plan
	Log  *zap.Logger
}

// Name implements kernel.Service.
func (s *Server) Name() string { return ServiceName }

// Run implements kernel.Service.
func (s *Server) Run(ctx context.Context) error {
	if s.Listen == "" {
		<-ctx.Done()
		return nil
	}
	mux := http.NewServeMux()
	port := s.Plan.Port("metrics", guard.Side, s.Log)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, r *http.Request) {
		if !port.Reserve(r, metricsBytes) {
			guard.Busy(w)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		metrics.WritePrometheus(w, true)
	})
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if !s.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	if s.Profiles {
		mux.HandleFunc("/debug/pprof/", pprof.Index)
		mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	}
	return ServeGuarded(ctx, port, &http.Server{Addr: s.Listen, Handler: mux, ReadHeaderTimeout: headerTimeout})
}

// ServeGuarded is Serve with the limits of a port.
func ServeGuarded(ctx context.Context, port *guard.Port, srv *http.Server) error {
	port.Configure(srv)
	return serve(ctx, srv, func() error { return port.Serve(srv) })
}

// Serve runs an HTTP server until ctx ends, and then returns nil. Before it returns,
// responses in progress are completed, for at most shutdownTimeout.
func Serve(ctx context.Context, srv *http.Server) error { return serve(ctx, srv, srv.ListenAndServe) }

func serve(ctx context.Context, srv *http.Server, run func() error) error {
	ended := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(ended)
		sctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if srv.Shutdown(sctx) != nil {
			_ = srv.Close()
		}
	})
	err := run()
	if !stop() {
		<-ended
		return nil
	}
	return trace.Wrap(err)
}
