package crowd_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// The machine in the settings of the tests. Its memory is that of the smallest entries of
// docs/design/PLAN.md, and its descriptors are fewer than the connections of a crowd.
const (
	machineMemory      = 144 // MB
	machineDescriptors = 512
	// maxResident is the bound of a process's resident memory, half of the machine's.
	maxResident = machineMemory << 20 / 2
)

const (
	startLimit  = 20 * time.Second
	answerLimit = 20 * time.Second // until an ordinary request is answered after a crowd

	settleTime = 200 * time.Millisecond

	queueHost     = "jobs.example"
	queuePrefix   = "/jobs/"
	maxBody       = 262_144   // of a job, in the configuration
	maxDocument   = 900 << 10 // of an operator
	maxHeartbeat  = 64 << 10  // of a target
	documentBytes = 256 << 10 // of the configuration in force
	ordinaryJob   = `{"task_spec":"x","best_effort":true,"steps":[{"count":1,"cpu":1000,"task_memory_mb":10,"estimated_ms":10}]}`
	ordinaryBeat  = `{"service":"s","address":"127.0.0.1:9","zone":"a","state":"ready","sequence":1,"born":1,"clock_ms":1,"capacity":{"cpu":1000,"task_memory_mb":100}}`
	ordinaryJobID = "00000000000000aa"
)

var program string

func TestMain(m *testing.M) { os.Exit(runMain(m)) }

func runMain(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		fmt.Println(err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program = filepath.Join(dir, "relayd")
	if out, err := exec.Command("go", "build", "-o", program, "../relayd").CombinedOutput(); err != nil {
		fmt.Println(string(out), err)
		return 1
	}
	return m.Run()
}

// deployment is a keeper, an entry and an agent on loopback, which speak the platform's
// protocol. It has a configuration in force and no targets.
type deployment struct {
	t         *testing.T
	dir       string
	addrs     map[string]string // by listener, such as "entry.callers"
	processes map[string]*process
}

type process struct {
	role string
	cmd  *exec.Cmd
	out  *lockedBuffer
	done chan struct{}
}

// freePorts returns n addresses on 127.0.0.1 with ports that were free for TCP and UDP, below
// the range of ephemeral ports, so that no client takes one.
func freePorts(t *testing.T, n int) []string {
	t.Helper()
	var out []string
	for port := 21_000 + os.Getpid()%500*16; len(out) < n && port < 32_000; port++ {
		addr := "127.0.0.1:" + strconv.Itoa(port)
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp", addr)
		_ = l.Close()
		if err != nil {
			continue
		}
		_ = u.Close()
		out = append(out, addr)
	}
	assert.Equal(t, len(out), n, "too few free ports")
	return out
}

func deploy(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{t: t, dir: t.TempDir(), addrs: map[string]string{}, processes: map[string]*process{}}
	names := []string{
		"keeper.link", "keeper.metrics", "keeper.control", "entry.link", "entry.metrics", "entry.callers", "entry.ready",
		"agent.link", "agent.metrics", "agent.control",
	}
	for i, a := range freePorts(t, len(names)) {
		d.addrs[names[i]] = a
	}
	t.Cleanup(d.stop)
	d.start("keeper")
	document := fmt.Sprintf(`{"version":1,"pad":%q,"routes":[{"name":"q","host":%q,"path_prefix":%q,"service":"s","timeout_ms":1000,`+
		`"target_completion_ms":60,"stretch":1.6,"max_attempts":3}],"services":[{"name":"s"}],"limits":{"max_header_bytes":16384,`+
		`"max_body_bytes":%d,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`,
		strings.Repeat("p", documentBytes), queueHost, queuePrefix, maxBody)
	d.waitFor("keeper", func() int {
		return ask(http.MethodPost, "http://"+d.addrs["keeper.control"]+"/api/configuration/put", "", document).status
	})
	return d
}

// waitFor waits until the role's process answers 200 to a request.
func (d *deployment) waitFor(role string, request func() int) {
	d.t.Helper()
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		if s := request(); s != http.StatusOK {
			return poll.Continue("%s answers %d\n%s", role, s, lastLines(d.processes[role].out.String(), 5))
		}
		return poll.Success()
	}, poll.WithTimeout(startLimit), poll.WithDelay(30*time.Millisecond))
}

// start starts the process of a role, after ending an earlier one.
func (d *deployment) start(role string) *process {
	d.t.Helper()
	d.end(role)
	path := filepath.Join(d.dir, role+".json")
	settings := map[string]any{
		"node": map[string]any{
			"name": role, "dataCentre": "a", "roles": []string{role}, "dataFolder": filepath.Join(d.dir, role), "listen": d.addrs[role+".link"],
		},
		"tls":       map[string]any{"selfSigned": true},
		"join":      map[string]any{"addresses": []string{d.addrs["keeper.link"]}},
		"freshness": map[string]any{"lease": "1500ms", "heartbeat": "300ms"},
		"spans":     map[string]any{"share": 0},
		"keeper":    map[string]any{"groups": 1, "snapshotEntries": 100},
		"metrics":   map[string]any{"listen": d.addrs[role+".metrics"]},
		"limits":    map[string]any{"memory": machineMemory, "descriptors": machineDescriptors},
		"platform": map[string]any{
			"enabled": true, "callers": d.addrs["entry.callers"], "ready": d.addrs["entry.ready"], "control": d.addrs[role+".control"],
		},
	}
	if role == "keeper" {
		settings["keeper"].(map[string]any)["initialMembers"] = []map[string]any{{"name": role, "address": d.addrs["keeper.link"], "dataCentre": "a"}}
	}
	b, err := json.Marshal(settings)
	assert.NilError(d.t, err)
	assert.NilError(d.t, os.WriteFile(path, b, 0o600))
	p := &process{role: role, cmd: exec.Command(program, "--settings", path), out: &lockedBuffer{}, done: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true")
	p.cmd.Stdout, p.cmd.Stderr = p.out, p.out
	assert.NilError(d.t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	d.processes[role] = p
	return p
}

// lockedBuffer holds the first MB of a process's output.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.b.Len() < 1<<20 {
		l.b.Write(p)
	}
	return len(p), nil
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func (d *deployment) end(role string) {
	if p := d.processes[role]; p != nil {
		_ = p.cmd.Process.Kill()
		<-p.done
		if d.t.Failed() {
			d.t.Logf("output of the %s:\n%s", role, lastLines(p.out.String(), 20))
		}
		delete(d.processes, role)
	}
}

func (d *deployment) stop() {
	for _, role := range []string{"agent", "entry", "keeper"} {
		d.end(role)
	}
}

func lastLines(s string, n int) string {
	l := strings.Split(s, "\n")
	return strings.Join(l[max(0, len(l)-n):], "\n")
}

// alive reports whether the process has not ended.
func (p *process) alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// memory returns the process's resident memory in bytes, now and at its peak, or zero when
// the process has ended.
func (p *process) memory() (now, peak int) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, 0
	}
	for l := range strings.Lines(string(b)) {
		var kb int
		if n, _ := fmt.Sscanf(l, "VmHWM: %d kB", &kb); n == 1 {
			peak = kb << 10
		}
		if n, _ := fmt.Sscanf(l, "VmRSS: %d kB", &kb); n == 1 {
			now = kb << 10
		}
	}
	return now, peak
}

// descriptors returns the number of the process's open descriptors.
func (p *process) descriptors() int {
	l, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(l)
}

// answer is the response to a request; status is 0 when there was none.
type answer struct {
	status int
	body   string
}

func ask(method, url, host, body string) answer { return askWith(method, url, host, body, nil) }

func askWith(method, url, host, body string, head http.Header) answer {
	c := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = host
	if head != nil {
		req.Header = head
	}
	resp, err := c.Do(req)
	if err != nil {
		return answer{body: err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{body: err.Error()}
	}
	return answer{resp.StatusCode, string(b)}
}
