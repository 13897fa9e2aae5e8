package agent

import (
	"context"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"cyclamenrelay.example/guard"
	"cyclamenrelay.example/meter"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/target"
)

const (
	minLease    = 200 * time.Millisecond // shorter leases of targets are extended to minLease
	readTimeout = 5 * time.Second        // of an announcement
)

// lease is a target's announcement with the time at which it ends.
type lease struct {
	target model.Target
	url    string
	ends   time.Time
	client *target.Client
}

// serveTarget runs the HTTP server for the target's announcements until ctx ends.
func (a *Agent) serveTarget(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/target", a.putTarget)
	mux.HandleFunc("DELETE /v1/target", a.deleteTarget)
	srv := &http.Server{Addr: a.opts.Listen, Handler: mux, ReadTimeout: readTimeout}
	return meter.ServeGuarded(ctx, a.opts.Plan.Port("targets", guard.Main, a.opts.Log), srv)
}

// putTarget handles PUT /v1/target, a target's announcement. The announcement is refused
// while another target holds the lease.
func (a *Agent) putTarget(w http.ResponseWriter, r *http.Request) {
	announced, err := target.ReadAnnouncement(http.MaxBytesReader(w, r.Body, target.MaxAnnouncement))
	if err != nil {
		http.Error(w, trace.UserMessage(err), http.StatusBadRequest)
		return
	}
	t := announced.Target
	if t.DataCentre == "" {
		t.DataCentre = a.finder.Self().DataCentre
	}
	d := min(max(announced.Lease, minLease), a.opts.TargetLease)
	a.mu.Lock()
	defer a.mu.Unlock()
	now, old := a.opts.Clock.Now(), a.targetLease
	live := old != nil && now.Before(old.ends)
	if live && old.target.Name != t.Name {
		http.Error(w, "another target, "+old.target.Name+", holds this agent's lease", http.StatusConflict)
		return
	}
	l := &lease{target: t, url: announced.URL, ends: now.Add(d)}
	if old != nil && old.url == announced.URL && old.target.MaxConns == t.MaxConns {
		l.client = old.client
	} else {
		a.closeClient()
		l.client = target.NewClient(announced.URL, t.MaxConns)
		a.opts.Log.Info("target announced", zap.String("target", t.Name), zap.Int("slots", t.Slots), zap.String("url", announced.URL))
	}
	a.targetLease = l
	if !live || old.client != l.client {
		a.announceSoon()
	}
	w.WriteHeader(http.StatusNoContent)
}

// closeClient closes the idle connections to the target. It is called with mu held.
func (a *Agent) closeClient() {
	if a.targetLease != nil {
		a.targetLease.client.Close()
	}
}

// endLease ends the lease of a target that could not be reached, so that no task
// is sent to it until it announces itself again.
func (a *Agent) endLease(l *lease) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.opts.Clock.Now()
	if a.targetLease == nil || a.targetLease.client != l.client || !now.Before(a.targetLease.ends) {
		return
	}
	a.opts.Log.Warn("target cannot be reached, its lease ends", zap.String("target", l.target.Name))
	ended := *a.targetLease
	ended.ends = now
	a.targetLease = &ended
	a.announceSoon()
}

// deleteTarget handles DELETE /v1/target: the target ends its own lease.
func (a *Agent) deleteTarget(w http.ResponseWriter, _ *http.Request) {
	a.mu.Lock()
	if a.targetLease != nil {
		a.opts.Log.Info("target leaves", zap.String("target", a.targetLease.target.Name))
	}
	a.closeClient()
	a.targetLease = nil
	a.mu.Unlock()
	a.announceSoon()
	w.WriteHeader(http.StatusNoContent)
}
