package system_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cyclamenrelay.example/fake"
)

// claim sends a request that is not idempotent. The start log shows its key as the request.
func (d *deployment) claim(entry int, key, runTime string) answer {
	h := map[string]string{"Relay-Idempotent": "false", "Idempotency-Key": key, "Relay-Deadline": "10s"}
	return d.request(entry, "deposit", fmt.Sprintf(`{"runTime":%q,"request":%q}`, runTime, key), h)
}

// requestStarts returns how many times a request was started, by the start logs.
func (d *deployment) requestStarts(request string) int {
	n := 0
	for _, e := range d.startLog() {
		if e.Event == fake.EventStart && e.Request == request {
			n++
		}
	}
	return n
}

// waitStarted waits until a request has started and returns the number of its target.
func (d *deployment) waitStarted(request string) string {
	d.t.Helper()
	var target string
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		for _, e := range d.startLog() {
			if e.Event == fake.EventStart && e.Request == request {
				target = e.Target
				return poll.Success()
			}
		}
		return poll.Continue("%s has not started", request)
	}, poll.WithTimeout(effectLimit), poll.WithDelay(20*time.Millisecond))
	return strings.TrimPrefix(target, "target-")
}

// TestClaimAfterProcessKill kills the entry, the agent or the target that has a claim
// in progress, and resends the claim at the other entries at once and later at all.
// The claim must start once, and all answers must agree.
func TestClaimAfterProcessKill(t *testing.T) {
	d := deploy(t, threeEntrySpec())
	for _, role := range []string{"entry", "agent", "target", "none"} {
		key := "claim-" + role
		first := make(chan answer, 1)
		go func() { first <- d.claim(1, key, "1s") }()
		n := d.waitStarted(key)
		switch role {
		case "entry":
			d.kill("entry-1")
		case "agent", "target":
			d.kill(role + "-" + n)
		}
		answers := make([]answer, 2)
		var wg sync.WaitGroup
		for i := range answers {
			wg.Go(func() { answers[i] = d.claim(2+i, key, "1s") })
		}
		wg.Wait()
		switch role {
		case "entry":
			d.restart("entry-1")
		case "agent", "target":
			d.restart(role + "-" + n)
		}
		d.waitReady()
		a := <-first
		answers = append(answers, d.claim(1, key, "1s"), d.claim(3, key, "1s"))
		want := map[string]string{"entry": "failed", "agent": "failed", "target": "failed", "none": "complete"}[role]
		if role != "entry" {
			answers = append(answers, a)
		}
		for _, a := range answers {
			assert.NilError(t, a.err)
			assert.Equal(t, a.outcome, want, "%s: %s", role, a.body)
			assert.Assert(t, want == "complete" || strings.Contains(a.body, `"mayHaveRun":true`), "%s: %s", role, a.body)
			assert.Assert(t, want != "complete" || a.body == answers[0].body)
		}
		assert.Equal(t, d.requestStarts(key), 1, role)
	}
}
