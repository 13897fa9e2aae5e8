package system_test

import (
	"fmt"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cyclamenrelay.example/model"
	"cyclamenrelay.example/otlp"
)

func TestLargeAnswers(t *testing.T) {
	d := deploy(t, deploymentSpec{dataCentres: almaty, keepers: 1, entries: 1, targets: 1, slots: 8})
	fits := d.request(1, "match", fmt.Sprintf(`{"runTime":"1ms","answerBytes":%d}`, model.MaxBody), nil)
	assert.Equal(t, fits.outcome, "complete")
	assert.Equal(t, len(fits.body), model.MaxBody)
	over := d.request(1, "match", fmt.Sprintf(`{"runTime":"1ms","answerBytes":%d}`, model.MaxBody+1), nil)
	assert.Equal(t, over.outcome, "failed")
	assert.Assert(t, strings.Contains(over.body, "larger than the limit"), over.body)
	large := d.request(1, "match", strings.Repeat("x", model.MaxBody+1), nil)
	assert.Equal(t, large.status, 413)
	assert.Equal(t, large.outcome, "notRun")
}

func TestBadRequestsNameTheField(t *testing.T) {
	d := deploy(t, deploymentSpec{dataCentres: almaty, keepers: 1, entries: 1, targets: 1, slots: 8})
	for header, value := range map[string]string{
		"Relay-Labels":     "kind",
		"Relay-Selector":   "kind in",
		"Relay-Urgency":    "10",
		"Relay-Deadline":   "soon",
		"Relay-Size":       "-1",
		"Relay-Run-Time":   "1h",
		"Relay-Idempotent": "maybe",
	} {
		a := d.request(1, "match", "{}", map[string]string{header: value})
		assert.Equal(t, a.status, 400, header)
		assert.Equal(t, a.outcome, "notRun", header)
		assert.Assert(t, strings.Contains(a.body, header), a.body)
	}
	a := d.request(1, "match", "{}", map[string]string{"Relay-Idempotent": "false"})
	assert.Assert(t, a.status == 400 && strings.Contains(a.body, "Idempotency-Key"), a.body)
	both := d.request(1, "match", "{}", map[string]string{"Relay-Urgency": "-1", "Relay-Deadline": "0"})
	assert.Assert(t, strings.Contains(both.body, "Relay-Urgency") && strings.Contains(both.body, "Relay-Deadline"), both.body)
	for field, body := range map[string]string{
		"kee":      `{"kee":"x"}`,
		"key":      `{"tasks":[{}]}`,
		"tasks":    `{"key":"a"}`,
		"selector": `{"key":"a","selector":"x in","tasks":[{}]}`,
		"deadline": `{"key":"a","deadline":"1","tasks":[{}]}`,
	} {
		a, _ := d.job(1, "POST", "", body)
		assert.Equal(t, a.status, 400, a.body)
		assert.Assert(t, strings.Contains(a.body, field), a.body)
	}
}

func TestWorkWithoutTargetIsRefused(t *testing.T) {
	d := deploy(t, deploymentSpec{dataCentres: almaty, keepers: 1, entries: 1, targets: 1, slots: 8})
	a := d.request(1, "match", "{}", map[string]string{"Relay-Selector": "accelerator=none-has-it"})
	assert.Equal(t, a.status, 503)
	assert.Equal(t, a.outcome, "notRun")
	assert.Assert(t, strings.Contains(a.body, "noTarget"), a.body)
}

func TestOneTraceHasEveryHop(t *testing.T) {
	var c otlp.Collector
	srv := httptest.NewServer(c.Handler())
	defer srv.Close()
	s := smallSpec()
	s.editSettings = func(_ string, settings map[string]any) {
		settings["spans"] = map[string]any{"collector": srv.URL + "/v1/traces", "share": 0}
	}
	d := deploy(t, s)
	const trace = "0af7651916cd43dd8448eb211c80319c"
	a := d.request(1, "deposit", `{"runTime":"5ms"}`, map[string]string{
		"Relay-Idempotent": "false", "Idempotency-Key": "traced", "Traceparent": "00-" + trace + "-b7ad6b7169203331-01",
	})
	assert.Equal(t, a.outcome, "complete", a.body)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		var names []string
		for _, s := range c.Spans(trace) {
			names = append(names, s.Name)
		}
		for _, hop := range []string{"entry", "keeper", "agent", "target"} {
			if !slices.Contains(names, hop) {
				return poll.Continue("spans so far: %v", names)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(startLimit), poll.WithDelay(200*time.Millisecond))
}
