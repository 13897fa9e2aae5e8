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

	"cyclamenrelay.example/dummy"
	"cyclamenrelay.example/fault"
)

func pathShape() shape { return shape{centres: almaty, keepers: 1, entries: 2, targets: 3, slots: 8} }

// TestKilledTargets kills a target, then an agent, in the middle of requests:
// idempotent ones are complete, others start at most once.
func TestKilledTargets(t *testing.T) {
	d := deploy(t, pathShape())
	f := d.flow("kill", 16, 1)
	pause(t, time.Second)
	d.kill("target-1")
	pause(t, 2*time.Second)
	d.restart("target-1")
	pause(t, time.Second)
	d.kill("agent-2")
	pause(t, 3*time.Second)
	d.restart("agent-2")
	pause(t, time.Second)
	f.end()
	count, lost := f.judge()
	assert.Equal(t, lost, 0, "idempotent requests are not complete while two targets were there")
	assert.Assert(t, count["complete"] > 100, "%v", count)
	assert.Equal(t, count["none"], 0)
}

// TestRestartOfHalfTheAgents restarts agents gracefully and by force under load.
func TestRestartOfHalfTheAgents(t *testing.T) {
	d := deploy(t, shape{centres: almaty, keepers: 1, entries: 2, targets: 4, slots: 8})
	f := d.flow("restart", 16, 2)
	for range 2 {
		pause(t, time.Second)
		d.kill("agent-1")
		d.signal("agent-2", syscall.SIGTERM)
		<-d.proc("agent-2").done
		d.restart("agent-1")
		d.restart("agent-2")
	}
	pause(t, time.Second)
	f.end()
	count, lost := f.judge()
	assert.Equal(t, lost, 0, "idempotent requests are not complete while half of the targets were there")
	assert.Assert(t, count["complete"] > 100, "%v", count)
}

// TestKilledEntry kills an entry whose requests run: they are stopped, and
// their slots serve the other entry.
func TestKilledEntry(t *testing.T) {
	const n = 12
	d := deploy(t, pathShape())
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { d.request(1, "match", fmt.Sprintf(`{"runTime":"25s","request":"long-%d"}`, i), nil) })
	}
	d.await("all tasks run", func(log []dummy.Record) bool { return ofRequest(log, "long-", dummy.EventStart, "") == n })
	d.kill("entry-1")
	wg.Wait()
	d.await("all tasks are stopped", func(log []dummy.Record) bool { return ofRequest(log, "long-", dummy.EventEnd, "stopped") == n })
	for range 24 {
		a := d.request(2, "match", `{"runTime":"20ms"}`, nil)
		assert.Equal(t, a.outcome, "complete", a.body)
	}
}

// ofRequest counts the records of an event whose request has the prefix.
func ofRequest(log []dummy.Record, prefix, event, outcome string) int {
	n := 0
	for _, r := range log {
		if strings.HasPrefix(r.Request, prefix) && r.Event == event && (outcome == "" || r.Outcome == outcome) {
			n++
		}
	}
	return n
}

// TestCallersGoAway cancels a wave of queued requests and those that run: the
// queued ones never start, the running ones are stopped through the platform.
func TestCallersGoAway(t *testing.T) {
	const waiting, running = 1500, 8
	d := deploy(t, shape{centres: almaty, keepers: 1, entries: 1, targets: 1, slots: running})
	runs, cancelRunning := context.WithCancel(t.Context())
	waits, cancelWaiting := context.WithCancel(t.Context())
	defer cancelRunning()
	defer cancelWaiting()
	var wg sync.WaitGroup
	send := func(ctx context.Context, id string) {
		body := strings.NewReader(fmt.Sprintf(`{"runTime":"20s","request":%q}`, id))
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.callers(1)+"/v1/requests", body)
		assert.NilError(t, err)
		req.Header.Set("Relay-Deadline", "5m")
		wg.Go(func() { do(req) })
	}
	for i := range running {
		send(runs, fmt.Sprint("run-", i))
	}
	d.await("the first tasks run", func(log []dummy.Record) bool { return ofRequest(log, "run-", dummy.EventStart, "") == running })
	for i := range waiting {
		send(waits, fmt.Sprint("wait-", i))
	}
	pause(t, time.Second)
	// The running ones go last, so that their slots are no use to the waiting ones.
	cancelWaiting()
	pause(t, time.Second)
	cancelRunning()
	wg.Wait()
	d.await("the running tasks are stopped", func(log []dummy.Record) bool {
		return ofRequest(log, "run-", dummy.EventEnd, "stopped") == running
	})
	for i := range 3 * running {
		a := d.request(1, "match", fmt.Sprintf(`{"runTime":"10ms","request":"after-%d"}`, i), nil)
		assert.Equal(t, a.outcome, "complete", a.body)
	}
	log := d.startLog()
	assert.Equal(t, ofRequest(log, "after-", dummy.EventStart, ""), 3*running)
	assert.Equal(t, ofRequest(log, "wait-", dummy.EventStart, ""), 0, "queued work started after its callers had gone")
}

// TestLeavingTargetGetsNothingNew checks that a target that withdraws its
// announcement gets nothing new, and that one that misses its lease is forgotten.
func TestLeavingTargetGetsNothingNew(t *testing.T) {
	s := pathShape()
	d := deploy(t, s)
	f := d.flow("leave", 12, 3)
	pause(t, time.Second)
	// A stopped target can withdraw nothing; the test does it in its place.
	d.signal("target-1", syscall.SIGSTOP)
	agentHTTP := d.conf["agent-1"]["agent"].(map[string]any)["targets"].(string)
	req, err := http.NewRequest(http.MethodDelete, "http://"+agentHTTP+"/v1/target", nil)
	assert.NilError(t, err)
	assert.Equal(t, do(req).status, http.StatusNoContent)
	// This one misses its lease of 3 s.
	d.signal("target-2", syscall.SIGSTOP)
	pause(t, 5*time.Second)
	f.end()
	after := d.flow("after", 12, 4)
	pause(t, 2*time.Second)
	after.end()
	d.signal("target-1", syscall.SIGCONT)
	d.signal("target-2", syscall.SIGCONT)
	count, lost := after.judge()
	assert.Equal(t, lost, 0)
	assert.Assert(t, count["complete"] > 0 && count["failed"] == 0, "%v", count)
	for id, a := range after.answers {
		if a.outcome == "complete" {
			assert.Equal(t, a.header.Get("Relay-Target"), "target-3", id)
		}
	}
	f.judge()
}

// TestAgentCutOff cuts an agent off both ways without a sign while it runs
// tasks: every request is answered in bounded time.
func TestAgentCutOff(t *testing.T) {
	s := pathShape()
	s.entries = 1
	var relay *fault.Relay
	s.extra = func(role string, settings map[string]any) {
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
	pause(t, time.Second)
	source := d.conf["agent-1"]["node"].(map[string]any)["listen"].(string)
	cut := fault.Rules{Forward: fault.Rule{Cut: true}, Back: fault.Rule{Cut: true}}
	assert.NilError(t, relay.SetSource("entry", source, cut))
	pause(t, 5*time.Second)
	assert.NilError(t, relay.ClearSource("entry", source))
	pause(t, 2*time.Second)
	f.end()
	count, lost := f.judge()
	assert.Equal(t, lost, 0, "idempotent requests are not complete while two targets were in touch")
	assert.Assert(t, count["complete"] > 100, "%v", count)
}
