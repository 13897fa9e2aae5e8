package crowd_test

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// port is a listener that a crowd calls.
type port struct {
	name, role, addr string
	// get and post are the request lines and hosts of a request without and with a body.
	get, post string
	// maxBody is the largest body that the port allows, in bytes; bodies is how many of
	// them a crowd sends, and expansions how many whose decoded form is large.
	maxBody, bodies, expansions int
	// body returns a legal body of n bytes; expanding returns one whose decoded form is as
	// large as possible.
	body      func(n int) string
	expanding func() string
	// ordinary sends an ordinary request.
	ordinary func() answer
}

func (d *deployment) ports() []port {
	callers, control, agent := d.addrs["entry.callers"], d.addrs["keeper.control"], d.addrs["agent.control"]
	simple := func(name, role, addr, path string) port {
		return port{
			name: name, role: role, addr: addr, maxBody: maxBody, bodies: 400, expansions: 60,
			get:       "GET " + path + " HTTP/1.1\r\nHost: " + queueHost + "\r\n",
			post:      "POST " + path + " HTTP/1.1\r\nHost: " + queueHost + "\r\n",
			body:      func(n int) string { return strings.Repeat("b", n) },
			expanding: func() string { return "[" + strings.Repeat("{},", maxBody/3-1) + "{}]" },
			ordinary: func() answer {
				a := ask(http.MethodGet, "http://"+addr+path, "", "")
				a.body = "" // a metric's value
				return a
			},
		}
	}
	pad := func(head, tail string) func(int) string {
		return func(n int) string { return head + strings.Repeat("x", max(0, n-len(head)-len(tail))) + tail }
	}
	p := []port{
		simple("callers", "entry", callers, queuePrefix+ordinaryJobID),
		simple("readiness", "entry", d.addrs["entry.ready"], "/api/readiness"),
		simple("operators", "keeper", control, "/api/configuration/put"),
		simple("announcements", "agent", agent, "/api/instances/i/heartbeat"),
		simple("metrics", "agent", d.addrs["agent.metrics"], "/metrics"),
	}
	p[0].get = "GET " + queuePrefix + " HTTP/1.1\r\nHost: " + queueHost + "\r\n"
	p[0].body = pad(`{"task_spec":"`, `","best_effort":true,"steps":[{"count":1,"cpu":1000,"estimated_ms":10}]}`)
	p[0].expanding = largestJob
	p[0].ordinary = func() answer {
		if a := ask(http.MethodGet, "http://"+callers+queuePrefix, queueHost, ""); a.status != http.StatusOK {
			return a
		}
		return ask(http.MethodPost, "http://"+callers+queuePrefix+ordinaryJobID, queueHost, ordinaryJob)
	}
	p[2].get = "GET /api/configuration/get HTTP/1.1\r\nHost: k\r\n"
	// One document took about 130 MB on the code without limits, so that the crowd is small.
	p[2].maxBody, p[2].bodies, p[2].expansions = maxDocument, 200, 8
	p[2].body = pad(`{"version":0,"pad":"`, `"}`)
	p[2].expanding = func() string { return `{"version":2,"routes":[` + strings.Repeat("{},", maxDocument/3-20) + "{}]}" }
	p[2].ordinary = func() answer { return ask(http.MethodGet, "http://"+control+"/api/configuration/get", "", "") }
	p[3].maxBody = maxHeartbeat
	p[3].body = pad(strings.TrimSuffix(ordinaryBeat, "}")+`,"labels":["`, `"]}`)
	p[3].expanding = func() string {
		head := strings.TrimSuffix(ordinaryBeat, "}") + `,"labels":[`
		return head + strings.Repeat(`"",`, (maxHeartbeat-len(head)-4)/3) + `""]}`
	}
	p[3].ordinary = func() answer {
		return ask(http.MethodPost, "http://"+agent+"/api/instances/i/heartbeat", "", ordinaryBeat)
	}
	return p
}

// largestJob returns a legal job with the most steps that are allowed, and as many references
// from steps to earlier ones as fit.
func largestJob() string {
	const steps = 10_000
	var b strings.Builder
	b.WriteString(`{"best_effort":true,"steps":[{"count":1}`)
	rest := maxBody - steps*len(`,{"count":1}`) - 64
	each := rest / steps / 2 * 2
	for range steps - 1 {
		b.WriteString(`,{"count":1`)
		if n := (each - len(`,"after":[]`)) / 2; n > 0 {
			b.WriteString(`,"after":[` + strings.Repeat("0,", n) + `0]`)
		}
		b.WriteString(`}`)
	}
	b.WriteString(`]}`)
	return b.String()
}

// eachPort runs a crowd at each port, one after the other, each with a new process, and
// checks the process: the failures that all of these tests guard against are that it exits,
// passes its bounds, or no longer answers.
func eachPort(t *testing.T, crowd func(t *testing.T, p port, c *clients)) {
	d := deploy(t)
	for i, p := range d.ports() {
		t.Run(p.name, func(t *testing.T) {
			d.t = t
			proc := d.start(p.role)
			p = d.ports()[i]
			calm := d.waitOrdinary(p)
			c := &clients{t: t, addr: p.addr}
			m := d.watchProcess(proc)
			crowd(t, p, c)
			d.check(m, p, calm)
			c.close()
		})
	}
	d.t = t
}

// waitOrdinary returns the answer to an ordinary request once the new process gives the one
// that it gives in calm.
func (d *deployment) waitOrdinary(p port) answer {
	d.t.Helper()
	var a answer
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		a = p.ordinary()
		want := []int{http.StatusOK}
		switch p.name {
		case "callers":
			want = []int{http.StatusTooManyRequests, http.StatusServiceUnavailable}
		case "announcements":
			want = []int{http.StatusServiceUnavailable}
		}
		for _, w := range want {
			if a.status == w && !strings.Contains(a.body, "no configuration yet") {
				return poll.Success()
			}
		}
		return poll.Continue("the %s port answers %d %.200s", p.name, a.status, a.body)
	}, poll.WithTimeout(startLimit), poll.WithDelay(20*time.Millisecond))
	return a
}

// monitor records the largest number of open descriptors of a process.
type monitor struct {
	p    *process
	stop chan struct{}
	wg   sync.WaitGroup
	fds  int
}

func (d *deployment) watchProcess(p *process) *monitor {
	m := &monitor{p: p, stop: make(chan struct{})}
	m.wg.Go(func() {
		for {
			m.fds = max(m.fds, p.descriptors())
			select {
			case <-m.stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	})
	return m
}

// check checks the process after a crowd, whose connections may still be open.
func (d *deployment) check(m *monitor, p port, calm answer) {
	d.t.Helper()
	var a answer
	for end := time.Now().Add(answerLimit); m.p.alive() && time.Now().Before(end); {
		if a = p.ordinary(); a == calm {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	// What the crowd has sent last may still be in the socket's buffers.
	time.Sleep(settleTime)
	close(m.stop)
	m.wg.Wait()
	now, peak := m.p.memory()
	d.t.Logf("%s: alive %v, memory %d MB, peak %d MB of %d, descriptors %d of %d, answer %d", p.name, m.p.alive(), now>>20, peak>>20,
		maxResident>>20, m.fds, machineDescriptors, a.status)
	if f := os.Getenv("CROWD_FIGURES"); f != "" {
		d.record(f, fmt.Sprintf("%s alive=%v rss=%d peak=%d fds=%d answer=%d calm=%d\n", d.t.Name(), m.p.alive(), now>>20, peak>>20, m.fds, a.status, calm.status))
	}
	assert.Check(d.t, m.p.alive(), "the process has ended")
	assert.Check(d.t, peak < maxResident, "%d bytes of memory, the bound is %d", peak, maxResident)
	assert.Check(d.t, m.fds < machineDescriptors, "%d descriptors, the bound is %d", m.fds, machineDescriptors)
	assert.Check(d.t, a == calm, "an ordinary request was answered %d %.200s, in calm %d %.200s", a.status, a.body, calm.status, calm.body)
}

func (d *deployment) record(file, line string) {
	f, err := os.OpenFile(file, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	assert.NilError(d.t, err)
	_, err = f.WriteString(line)
	assert.NilError(d.t, err)
	assert.NilError(d.t, f.Close())
}
