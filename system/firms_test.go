package system_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cyclamenrelay.example/launch"
	"cyclamenrelay.example/layout"
)

// startFirm starts the deployment of a firm, as the folder deploy/NAME describes it, on
// free ports.
func startFirm(t *testing.T, name string, between time.Duration) *launch.Deployment {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("..", "deploy", name, layout.SpecFile))
	assert.NilError(t, err)
	spec, err := layout.ParseSpec(b)
	assert.NilError(t, err)
	spec.Port, err = launch.FreePorts(len(spec.DataCentres) + spec.Entries + spec.Workers)
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), startLimit)
	defer cancel()
	r, err := launch.Start(ctx, launch.Options{
		Spec: spec, Folder: t.TempDir(), Programs: programDir, DataCentreDelay: between, CallerDelay: 3 * time.Millisecond,
		Clock: clockwork.NewRealClock(),
	})
	t.Cleanup(r.Stop)
	assert.NilError(t, err)
	return r
}

// waitComplete sends a request repeatedly until its outcome is complete.
func waitComplete(t *testing.T, method, url, body string, headers map[string]string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
		if err != nil {
			return poll.Error(err)
		}
		for k, v := range headers {
			req.Header.Set(k, v)
		}
		if a := sendRequest(req); a.outcome != "complete" {
			return poll.Continue("%s answers %d %s: %s", url, a.status, a.outcome, a.body)
		}
		return poll.Success()
	}, poll.WithTimeout(startLimit), poll.WithDelay(100*time.Millisecond))
}

// TestFirms checks that in the deployment of each firm, every entry completes a
// request, a claim and a job.
func TestFirms(t *testing.T) {
	for name, between := range map[string]time.Duration{"tengri": 1500 * time.Microsecond, "cascade": 500 * time.Microsecond} {
		t.Run(name, func(t *testing.T) {
			r := startFirm(t, name, between)
			assert.Equal(t, len(r.Targets()), 11)
			entries := r.EntryURLs()
			assert.Equal(t, len(entries), 3)
			for i, u := range entries {
				key := fmt.Sprintf("%s-%d", name, i)
				waitComplete(t, "POST", u+"/v1/requests", `{"runTime":"10ms"}`, nil)
				waitComplete(t, "POST", u+"/v1/requests", `{"runTime":"10ms"}`,
					map[string]string{"Relay-Idempotent": "false", "Idempotency-Key": key})
				submitted, err := http.NewRequest("POST", u+"/v1/jobs", strings.NewReader(jobBody(key, 30, "10ms")))
				assert.NilError(t, err)
				a := sendRequest(submitted)
				assert.Equal(t, a.status/100, 2, a.body)
				other := entries[(i+1)%len(entries)]
				waitComplete(t, "GET", other+"/v1/jobs/"+key+"/answer", "", nil)
			}
		})
	}
}
