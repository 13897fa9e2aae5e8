package system_test

import (
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

func TestMetricsIncludeStarts(t *testing.T) {
	d := deploy(t, deploymentSpec{dataCentres: almaty, keepers: 1, entries: 1, targets: 1, slots: 8})
	req, err := http.NewRequest(http.MethodGet, "http://"+d.metricsAddr("entry-1")+"/metrics", nil)
	assert.NilError(t, err)
	a := sendRequest(req)
	assert.Assert(t, strings.Contains(a.body, "relay_starts_total"), a.body)
}

func TestRelctlReportsAnUnreachableServer(t *testing.T) {
	d := deploy(t, deploymentSpec{dataCentres: almaty, keepers: 1, entries: 1, targets: 1, slots: 8})
	d.kill("entry-1")
	out, code := d.relctl(1, "status")
	assert.Assert(t, code != 0, out)
}

func TestClaimSurvivesKilledKeepers(t *testing.T) {
	d := deploy(t, smallSpec())
	h := map[string]string{"Relay-Idempotent": "false", "Idempotency-Key": "deposit-9"}
	first := d.request(1, "deposit", `{"runTime":"20ms"}`, h)
	assert.Equal(t, first.outcome, "complete", first.body)
	for _, k := range []string{"keeper-1", "keeper-2", "keeper-3"} {
		d.kill(k)
	}
	for _, k := range []string{"keeper-1", "keeper-2", "keeper-3"} {
		d.restart(k)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		a := d.request(2, "deposit", `{"runTime":"20ms"}`, h)
		if a.outcome == "complete" {
			assert.Equal(t, a.body, first.body)
			return poll.Success()
		}
		assert.Equal(t, a.outcome, "notRun", a.body)
		return poll.Continue("%s", a.body)
	}, poll.WithTimeout(startLimit), poll.WithDelay(200*time.Millisecond))
}

func TestShutdownCompletesRequests(t *testing.T) {
	d := deploy(t, smallSpec())
	var wg sync.WaitGroup
	answers := make([]answer, 20)
	for i := range answers {
		wg.Go(func() { answers[i] = d.request(1, "match", `{"runTime":"1s"}`, nil) })
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(d.startLog()) >= len(answers) {
			return poll.Success()
		}
		return poll.Continue("not all requests have started")
	}, poll.WithTimeout(startLimit), poll.WithDelay(10*time.Millisecond))
	d.signal("entry-1", syscall.SIGTERM)
	d.signal("agent-1", syscall.SIGTERM)
	wg.Wait()
	for _, a := range answers {
		assert.NilError(t, a.err)
		assert.Equal(t, a.outcome, "complete", a.body)
	}
}
