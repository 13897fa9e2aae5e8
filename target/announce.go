// Package target is the agent's HTTP interface to its target: it decodes the
// target's announcements and starts tasks on the target.
package target

import (
	"encoding/json"
	"io"
	"net/url"
	"time"

	"github.com/gravitational/trace"

	"cyclamenrelay.example/model"
)

// MaxAnnouncement bounds the body of an announcement, in bytes.
const MaxAnnouncement = 64 << 10

// Announcement registers a target at its agent for the duration of a lease.
type Announcement struct {
	Target model.Target
	// URL is the base URL that tasks are sent to.
	URL string
	// Lease is how long the announcement is valid.
	Lease time.Duration
}

// ReadAnnouncement decodes and checks an announcement. The error is a
// trace.BadParameter that names the invalid fields.
func ReadAnnouncement(r io.Reader) (Announcement, error) {
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
	if err := dec.Decode(&body); err != nil {
		return Announcement{}, trace.BadParameter("announcement: %v", err)
	}
	d, err := time.ParseDuration(body.Lease)
	if err != nil || d <= 0 {
		return Announcement{}, trace.BadParameter("lease: %q is not a positive duration", body.Lease)
	}
	t := model.Target{
		Name: body.Name, DataCentre: body.DataCentre, Labels: body.Labels, Slots: body.Slots, MaxConns: body.Connections,
	}
	a := Announcement{Target: t, URL: body.URL, Lease: d}
	return a, trace.NewAggregate(model.CheckTarget(t), checkURL(a.URL))
}

func checkURL(u string) error {
	if p, err := url.Parse(u); err != nil || p.Host == "" || (p.Scheme != "http" && p.Scheme != "https") {
		return trace.BadParameter("url: %q is not an http or https URL", u)
	}
	return nil
}
