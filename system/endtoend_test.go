package system_test

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cyclamenrelay.example/fake"
)

var almaty = []string{"almaty-1", "almaty-2", "almaty-3"}

func smallSpec() deploymentSpec {
	return deploymentSpec{dataCentres: almaty, keepers: 3, entries: 2, targets: 3, slots: 8}
}

func TestRequestEndToEnd(t *testing.T) {
	d := deploy(t, smallSpec())
	a := d.request(1, "match", `{"runTime":"10ms","answerBytes":1000}`, nil)
	assert.Equal(t, a.status, 200, a.body)
	assert.Equal(t, a.outcome, "complete")
	assert.Equal(t, len(a.body) >= 1000, true)
}

func TestClaimRunsOnce(t *testing.T) {
	d := deploy(t, smallSpec())
	h := map[string]string{"Relay-Idempotent": "false", "Idempotency-Key": "deposit-1"}
	first := d.request(1, "deposit", `{"runTime":"20ms"}`, h)
	assert.Equal(t, first.outcome, "complete", first.body)
	again := d.request(2, "deposit", `{"runTime":"20ms"}`, h)
	assert.Equal(t, again.outcome, "complete", again.body)
	assert.Equal(t, again.body, first.body)
	other := d.request(2, "deposit", `{"runTime":"21ms"}`, h)
	assert.Equal(t, other.status, http.StatusConflict, other.body)
}

// jobBody returns the body of a job submission with n tasks of the given run time.
func jobBody(key string, n int, runTime string) string {
	var tasks []string
	for range n {
		b := base64.StdEncoding.EncodeToString(fmt.Appendf(nil, `{"runTime":%q}`, runTime))
		tasks = append(tasks, fmt.Sprintf(`{"body":%q,"type":"application/json"}`, b))
	}
	return fmt.Sprintf(`{"key":%q,"labels":{"kind":"proof"},"deadline":"60s","tasks":[%s]}`, key, strings.Join(tasks, ","))
}

type jobState struct {
	State  string `json:"state"`
	Ended  int    `json:"ended"`
	Reason string `json:"reason"`
	Owner  string `json:"owner"`
	Answer []struct {
		Outcome string `json:"outcome"`
	} `json:"answer"`
}

func (d *deployment) job(entry int, method, path, body string) (answer, jobState) {
	req, err := http.NewRequest(method, "http://"+d.callersAddr(entry)+"/v1/jobs"+path, strings.NewReader(body))
	assert.NilError(d.t, err)
	a := sendRequest(req)
	var s jobState
	_ = json.Unmarshal([]byte(a.body), &s)
	return a, s
}

// waitJobEnd waits until a job is complete or failed and returns its state.
func (d *deployment) waitJobEnd(entry int, key string) jobState {
	d.t.Helper()
	var s jobState
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		var a answer
		a, s = d.job(entry, "GET", "/"+key+"/answer", "")
		if s.State == "complete" || s.State == "failed" {
			return poll.Success()
		}
		return poll.Continue("job is %q: %s", s.State, a.body)
	}, poll.WithTimeout(time.Minute), poll.WithDelay(50*time.Millisecond))
	return s
}

func TestJobEndToEnd(t *testing.T) {
	d := deploy(t, smallSpec())
	a, _ := d.job(1, "POST", "", jobBody("proofs-1", 40, "20ms"))
	assert.Equal(t, a.err, nil)
	assert.Assert(t, a.status == 200 || a.status == 202, a.body)
	a, _ = d.job(2, "POST", "", jobBody("proofs-1", 40, "20ms"))
	assert.Assert(t, a.status == 200 || a.status == 202, a.body)
	s := d.waitJobEnd(2, "proofs-1")
	assert.Equal(t, s.State, "complete", s.Reason)
	assert.Equal(t, len(s.Answer), 40)
	d.tasksStartedOnce("proofs-1/")
}

// tasksStartedOnce checks by the start logs that no task whose ID has the prefix started
// twice, and returns how many tasks have started.
func (d *deployment) tasksStartedOnce(prefix string) int {
	d.t.Helper()
	seen := map[string]int{}
	for _, e := range d.startLog() {
		if e.Event == fake.EventStart && strings.HasPrefix(e.Task, prefix) {
			seen[e.Task]++
		}
	}
	for id, n := range seen {
		assert.Equal(d.t, n, 1, "task %s started %d times", id, n)
	}
	return len(seen)
}

// startLog returns the start log records of all targets.
func (d *deployment) startLog() []fake.LogRecord {
	d.t.Helper()
	var out []fake.LogRecord
	for i := range d.spec.targets {
		f, err := os.Open(d.path(fmt.Sprintf("target-%d.starts", i+1)))
		assert.NilError(d.t, err)
		r, err := fake.ReadStartLog(f)
		assert.NilError(d.t, err)
		_ = f.Close()
		out = append(out, r...)
	}
	return out
}
