package agent

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"cyclamenrelay.example/meter"
	"cyclamenrelay.example/model"
)

const (
	maxAnnouncement = 64 << 10 // bytes
	maxSlots        = 4096
	minLease        = 200 * time.Millisecond
	headerTimeout   = 5 * time.Second
)

// lease is a target's announcement and when it ends.
type lease struct {
	target model.Target
	url    string
	ends   time.Time
	client *http.Client
}

// serveTarget serves the target's announcements until ctx ends.
func (a *Agent) serveTarget(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/target", a.putTarget)
	mux.HandleFunc("DELETE /v1/target", a.deleteTarget)
	srv := &http.Server{Addr: a.opts.Listen, Handler: mux, ReadHeaderTimeout: headerTimeout}
	return meter.Serve(ctx, srv)
}

func (a *Agent) putTarget(w http.ResponseWriter, r *http.Request) {
	t, u, d, err := readAnnouncement(http.MaxBytesReader(w, r.Body, maxAnnouncement))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if t.DataCentre == "" {
		t.DataCentre = a.finder.Self().DataCentre
	}
	d = min(max(d, minLease), a.opts.TargetLease)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.target != nil && a.target.target.Name != t.Name && a.opts.Clock.Now().Before(a.target.ends) {
		http.Error(w, "another target, "+a.target.target.Name+", holds this agent's lease", http.StatusConflict)
		return
	}
	fresh := a.target == nil || a.target.url != u || a.target.target.Conns != t.Conns
	l := &lease{target: t, url: u, ends: a.opts.Clock.Now().Add(d)}
	if fresh {
		l.client = &http.Client{Transport: &http.Transport{MaxConnsPerHost: t.Conns, MaxIdleConnsPerHost: t.Conns}}
		a.opts.Log.Info("target announced", zap.String("target", t.Name), zap.Int("slots", t.Slots), zap.String("url", u))
		a.announceSoon()
	} else {
		l.client = a.target.client
	}
	a.target = l
	w.WriteHeader(http.StatusNoContent)
}

func (a *Agent) deleteTarget(w http.ResponseWriter, _ *http.Request) {
	a.mu.Lock()
	if a.target != nil {
		a.opts.Log.Info("target leaves", zap.String("target", a.target.target.Name))
	}
	a.target = nil
	a.mu.Unlock()
	a.announceSoon()
	w.WriteHeader(http.StatusNoContent)
}

func readAnnouncement(r io.Reader) (t model.Target, u string, d time.Duration, err error) {
	var body struct {
		Name        string       `json:"name"`
		URL         string       `json:"url"`
		DataCentre  string       `json:"dataCentre"`
		Labels      model.Labels `json:"labels"`
		Slots       int          `json:"slots"`
		Connections int          `json:"connections"`
		Lease       string       `json:"lease"`
	}
	dec := json.NewDecoder(r)
	dec.DisallowUnknownFields()
	if err = dec.Decode(&body); err != nil {
		return t, "", 0, trace.BadParameter("announcement: %v", err)
	}
	if d, err = time.ParseDuration(body.Lease); err != nil || d <= 0 {
		return t, "", 0, trace.BadParameter("lease: %q is no positive duration", body.Lease)
	}
	t = model.Target{
		Name: body.Name, DataCentre: body.DataCentre, Labels: body.Labels, Slots: body.Slots, Conns: body.Connections,
	}
	return t, body.URL, d, checkAnnouncement(t, body.URL)
}

func checkAnnouncement(t model.Target, u string) error {
	var errs []error
	if t.Name == "" || len(t.Name) > model.MaxLabelLen {
		errs = append(errs, trace.BadParameter("name: 1 to %d bytes are allowed", model.MaxLabelLen))
	}
	if p, err := url.Parse(u); err != nil || p.Host == "" || (p.Scheme != "http" && p.Scheme != "https") {
		errs = append(errs, trace.BadParameter("url: %q is no http URL", u))
	}
	if t.Slots < 1 || t.Slots > maxSlots {
		errs = append(errs, trace.BadParameter("slots: %d is not within 1 to %d", t.Slots, maxSlots))
	}
	if t.Conns < t.Slots {
		errs = append(errs, trace.BadParameter("connections: %d is fewer than the slots", t.Conns))
	}
	if err := model.CheckLabels(t.Labels); err != nil {
		errs = append(errs, err)
	}
	return trace.NewAggregate(errs...)
}
