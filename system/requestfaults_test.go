package system_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cyclamenrelay.example/fake"
	"cyclamenrelay.example/fault"
)

func oneKeeperSpec() deploymentSpec {
	return deploymentSpec{dataCentres: almaty, keepers: 1, entries: 2, targets: 3, slots: 8}
}

// TestKilledTargets kills a target, then an agent, while requests run there: idempotent
// requests must complete by retries, others must start at most once.
func TestKilledTargets(t *testing.T) {
	d := deploy(t, oneKeeperSpec())
	f := d.flow("kill", 16, 1)
	sleep(t, time.Second)
	d.kill("target-1")
	sleep(t, 2*time.Second)
	d.restart("target-1")
	sleep(t, time.Second)
	d.kill("agent-2")
	sleep(t, 3*time.Second)
	d.restart("agent-2")
	sleep(t, time.Second)
	f.end()
	count, incomplete := f.checkAnswers()
	assert.Equal(t, incomplete, 0, "idempotent requests did not complete although two targets were up")
	assert.Assert(t, count["complete"] > 100, "%v", count)
	assert.Equal(t, count["none"], 0)
}

// TestRestartOfHalfTheAgents restarts two of four agents twice under load, one by
// SIGKILL and one by SIGTERM.
func TestRestartOfHalfTheAgents(t *testing.T) {
	d := deploy(t, deploymentSpec{dataCentres: almaty, keepers: 1, entries: 2, targets: 4, slots: 8})
	f := d.flow("restart", 16, 2)
	for range 2 {
		sleep(t, time.Second)
		d.kill("agent-1")
		d.signal("agent-2", syscall.SIGTERM)
		<-d.proc("agent-2").done
		d.restart("agent-1")
		d.restart("agent-2")
	}
	sleep(t, time.Second)
	f.end()
	count, incomplete := f.checkAnswers()
	assert.Equal(t, incomplete, 0, "idempotent requests did not complete although half of the targets were up")
	assert.Assert(t, count["complete"] > 100, "%v", count)
}

// TestKilledEntry kills an entry while its requests run: the targets must stop them, and
// the freed slots must serve the other entry.
func TestKilledEntry(t *testing.T) {
	const n = 12
	d := deploy(t, oneKeeperSpec())
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { d.request(1, "match", fmt.Sprintf(`{"runTime":"25s","request":"long-%d"}`, i), nil) })
	}
	d.waitStartLog("all tasks run", func(log []fake.LogRecord) bool { return countRecords(log, "long-", fake.EventStart, "") == n })
	d.kill("entry-1")
	wg.Wait()
	d.waitStartLog("all tasks are stopped", func(log []fake.LogRecord) bool { return countRecords(log, "long-", fake.EventEnd, "stopped") == n })
	for range 24 {
		a := d.request(2, "match", `{"runTime":"20ms"}`, nil)
		assert.Equal(t, a.outcome, "complete", a.body)
	}
}

// countRecords counts the records of the event and outcome (any if empty) whose request
// has the prefix.
func countRecords(log []fake.LogRecord, prefix, event, outcome string) int {
	n := 0
	for _, r := range log {
		if strings.HasPrefix(r.Request, prefix) && r.Event == event && (outcome == "" || r.Outcome == outcome) {
			n++
		}
	}
	return n
}

// TestCallersGoAway cancels many queued requests and all running ones: the queued ones
// must never start, the running ones must be stopped through the platform.
func TestCallersGoAway(t *testing.T) {
	const waiting, running, kinds = 2100, 8, 3
	d := deploy(t, deploymentSpec{dataCentres: almaty, keepers: 1, entries: 1, targets: 1, slots: running})
	runningCtx, cancelRunning := context.WithCancel(t.Context())
	waitingCtx, cancelWaiting := context.WithCancel(t.Context())
	defer cancelRunning()
	defer cancelWaiting()
	var wg sync.WaitGroup
	send := func(ctx context.Context, kind int, id string) {
		body := strings.NewReader(fmt.Sprintf(`{"runTime":"20s","request":%q}`, id))
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.callersAddr(1)+"/v1/requests", body)
		assert.NilError(t, err)
		req.Header.Set("Relay-Deadline", "5m")
		req.Header.Set("Relay-Labels", fmt.Sprintf("kind=wave-%d", kind))
		wg.Go(func() { sendRequest(req) })
	}
	for i := range running {
		send(runningCtx, 0, fmt.Sprint("run-", i))
	}
	d.waitStartLog("the first tasks run", func(log []fake.LogRecord) bool { return countRecords(log, "run-", fake.EventStart, "") == running })
	for i := range waiting {
		send(waitingCtx, i%kinds, fmt.Sprint("wait-", i))
	}
	d.waitGauge("entry-1", "relay_tasks_queued", func(n int) bool { return n == waiting })
	// The running requests are cancelled last, so that no queued one gets their slots.
	cancelWaiting()
	d.waitGauge("entry-1", "relay_tasks_queued", func(n int) bool { return n == 0 })
	d.waitGauge("entry-1", "relay_tasks_pending", func(n int) bool { return n == running })
	cancelRunning()
	d.waitGauge("entry-1", "relay_tasks_pending", func(n int) bool { return n == 0 })
	wg.Wait()
	d.waitStartLog("the running tasks are stopped", func(log []fake.LogRecord) bool {
		return countRecords(log, "run-", fake.EventEnd, "stopped") == running
	})
	for i := range 3 * running {
		a := d.request(1, "match", fmt.Sprintf(`{"runTime":"10ms","request":"after-%d"}`, i), nil)
		assert.Equal(t, a.outcome, "complete", a.body)
	}
	log := d.startLog()
	assert.Equal(t, countRecords(log, "after-", fake.EventStart, ""), 3*running)
	assert.Equal(t, countRecords(log, "wait-", fake.EventStart, ""), 0, "queued work started after its callers had cancelled it")
}

// TestLeavingTargetGetsNothingNew checks that a target gets no new work after it has
// withdrawn its announcement, nor after its lease has expired without renewal.
func TestLeavingTargetGetsNothingNew(t *testing.T) {
	s := oneKeeperSpec()
	d := deploy(t, s)
	f := d.flow("leave", 12, 3)
	sleep(t, time.Second)
	// A target frozen by SIGSTOP cannot withdraw its announcement; the test does so for it.
	d.signal("target-1", syscall.SIGSTOP)
	agentHTTP := d.setting("agent-1", "agent", "targets")
	req, err := http.NewRequest(http.MethodDelete, "http://"+agentHTTP+"/v1/target", nil)
	assert.NilError(t, err)
	assert.Equal(t, sendRequest(req).status, http.StatusNoContent)
	// target-2 cannot renew its lease of 3 s.
	d.signal("target-2", syscall.SIGSTOP)
	sleep(t, 5*time.Second)
	f.end()
	after := d.flow("after", 12, 4)
	sleep(t, 2*time.Second)
	after.end()
	d.signal("target-1", syscall.SIGCONT)
	d.signal("target-2", syscall.SIGCONT)
	count, incomplete := after.checkAnswers()
	assert.Equal(t, incomplete, 0)
	assert.Assert(t, count["complete"] > 0 && count["failed"] == 0, "%v", count)
	for id, a := range after.answers {
		if a.outcome == "complete" {
			assert.Equal(t, a.header.Get("Relay-Target"), "target-3", id)
		}
	}
	f.checkAnswers()
}

// TestAgentCutOff drops all packets between an agent and the entry, in both directions,
// while the agent runs tasks: every request must be answered in bounded time.
func TestAgentCutOff(t *testing.T) {
	s := oneKeeperSpec()
	s.entries = 1
	var relay *fault.Relay
	s.editSettings = func(role string, settings map[string]any) {
		if role != "entry" {
			return
		}
		node := settings["node"].(map[string]any)
		var err error
		relay, err = fault.New([]fault.Link{{Name: "entry", Network: "udp", Listen: "127.0.0.1:0", To: node["listen"].(string)}},
			clockwork.NewRealClock(), 1)
		assert.NilError(t, err)
		t.Cleanup(relay.Close)
		node["advertise"] = relay.Addr("entry").String()
	}
	d := deploy(t, s)
	f := d.flow("cut", 16, 5)
	sleep(t, time.Second)
	source := d.setting("agent-1", "node", "listen")
	cut := fault.Rules{Forward: fault.Rule{Cut: true}, Backward: fault.Rule{Cut: true}}
	assert.NilError(t, relay.SetSourceRules("entry", source, cut))
	sleep(t, 5*time.Second)
	assert.NilError(t, relay.ClearSourceRules("entry", source))
	sleep(t, 2*time.Second)
	f.end()
	count, incomplete := f.checkAnswers()
	assert.Equal(t, incomplete, 0, "idempotent requests did not complete although two targets were reachable")
	assert.Assert(t, count["complete"] > 100, "%v", count)
}
