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

// profile takes CPU profiles of the first entry and agent while the load runs.
func (c *lab) profile(ctx context.Context, r *launch.Deployment) {
	for _, role := range []keys.Role{keys.Entry, keys.Agent} {
		u := strings.TrimSuffix(r.MetricsURLs(role)[0], "/metrics") + "/debug/pprof/profile?seconds=8"
		go func() {
			if err := fetch(ctx, u, c.Profile+"-"+string(role)+".pprof"); err != nil {
				newLogger().Warn("no profile", zap.Error(err))
			}
		}()
	}
}

func fetch(ctx context.Context, u, file string) error {
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
