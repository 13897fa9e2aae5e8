package main

import (
	"context"
	"io"
	"net/http"
	"os"
	"strings"

	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/launch"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
)

// saveProfiles fetches CPU profiles of 8 s from the first entry and the first
// agent in the background and writes them to files.
func (c *lab) saveProfiles(ctx context.Context, d *launch.Deployment) {
	for _, role := range []keys.Role{keys.Entry, keys.Agent} {
		u := strings.TrimSuffix(d.MetricsURLs(role)[0], "/metrics") + "/debug/pprof/profile?seconds=8"
		go func() {
			if err := download(ctx, u, c.Profile+"-"+string(role)+".pprof"); err != nil {
				newLogger().Warn("CPU profile not saved", zap.Error(err))
			}
		}()
	}
}

func download(ctx context.Context, u, file string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	f, err := os.Create(file)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	_, err = io.Copy(f, resp.Body)
	_ = f.Close()
	return trace.Wrap(err)
}
