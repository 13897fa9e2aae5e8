package system_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// get sends a GET request to the metrics address of the process with the name.
func (d *deployment) get(name, path string) answer {
	req, err := http.NewRequest(http.MethodGet, "http://"+d.metricsAddr(name)+path, nil)
	assert.NilError(d.t, err)
	return sendRequest(req)
}

// TestReadyNeedsAFreshConfiguration checks that every role is ready while its
// configuration is fresh, and alive but not ready without a majority of keepers.
func TestReadyNeedsAFreshConfiguration(t *testing.T) {
	d := deploy(t, smallSpec())
	roles := []string{"keeper-1", "entry-1", "agent-1"}
	waitReady := func(want int) {
		for _, r := range roles {
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if a := d.get(r, "/ready"); a.status != want {
					return poll.Continue("/ready of %s has status %d, want %d", r, a.status, want)
				}
				return poll.Success()
			}, poll.WithTimeout(startLimit), poll.WithDelay(100*time.Millisecond))
			assert.Equal(t, d.get(r, "/live").status, 200, r)
		}
	}
	waitReady(200)
	for r, metric := range map[string]string{
		"keeper-1": "relay_groups_led", "entry-1": "relay_tasks_queued", "agent-1": "relay_slots_offered 8",
	} {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if !strings.Contains(d.get(r, "/metrics").body, metric) {
				return poll.Continue("%s has no metric %s", r, metric)
			}
			return poll.Success()
		}, poll.WithTimeout(startLimit), poll.WithDelay(100*time.Millisecond))
	}
	d.kill("keeper-2")
	d.kill("keeper-3")
	waitReady(503)
}
