package system_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jonboulle/clockwork"

	"cyclamenrelay.example/fault"
	"cyclamenrelay.example/keys"
)

const (
	startLimit   = 30 * time.Second
	stopLimit    = 20 * time.Second
	certValidity = 24 * time.Hour
	// spareKeepers is how many keepers may be added to a deployment later; their fault
	// relay links are opened at the start.
	spareKeepers = 2
	memoryDir    = "/dev/shm"
)

var programDir string

func TestMain(m *testing.M) { os.Exit(runMain(m)) }

func runMain(m *testing.M) int {
	dir, err := os.MkdirTemp("", "relay")
	if err != nil {
		fmt.Println(err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	programDir = dir
	for _, p := range []string{"relayd", "relctl", "stand"} {
		out, err := exec.Command("go", "build", "-o", filepath.Join(dir, p), "../"+p).CombinedOutput()
		if err != nil {
			fmt.Println(string(out), err)
			return 1
		}
	}
	return m.Run()
}

// deploymentSpec is the size of a deployment, with its options.
type deploymentSpec struct {
	dataCentres  []string
	keepers      int
	entries      int
	targets      int
	slots        int
	targetLabel  func(i int) string
	editSettings func(role string, settings map[string]any)
	targetArgs   func(i int) []string // additional arguments of target i
	// inMemory keeps the data folders in memory where the machine has a file system for
	// that, for tests in which a sync of seconds would be one more loss.
	inMemory bool
}

// deployment is a running system of real processes on this machine.
type deployment struct {
	t              *testing.T
	dir            string
	spec           deploymentSpec
	ca             *keys.CA
	join           []string
	initialMembers []map[string]any
	// relay is the fault relay that carries the traffic of all links. linkAddrs holds the
	// link addresses that the nodes listen on behind it, by node name.
	relay     *fault.Relay
	linkAddrs map[string]string

	mu        sync.Mutex
	processes map[string]*process
	settings  map[string]map[string]any
}

type process struct {
	name string
	args []string
	cmd  *exec.Cmd
	out  *lockedBuffer
	done chan struct{}
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// Deployments use ports below the range of ephemeral ports, so that no client
// connection takes a port between its choice and the start of its process. Test
// processes that run beside each other need a RELAY_FIRST_PORT each: the port of a
// process that is down looks free to the others.
const portCount = 2000

var firstPort = envInt("RELAY_FIRST_PORT", 12_000)

var nextPort atomic.Int32

// freePorts returns n addresses on 127.0.0.1 with ports that were free for both TCP and UDP.
func freePorts(t *testing.T, n int) []string {
	t.Helper()
	var out []string
	for range portCount {
		if len(out) == n {
			return out
		}
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+int(nextPort.Add(1))%portCount)
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
	t.Fatal("too few free ports")
	return nil
}

func deploy(t *testing.T, s deploymentSpec) *deployment {
	t.Helper()
	d := &deployment{t: t, dir: t.TempDir(), spec: s, processes: map[string]*process{}, settings: map[string]map[string]any{}, linkAddrs: map[string]string{}}
	if info, err := os.Stat(memoryDir); s.inMemory && err == nil && info.IsDir() {
		d.dir, err = os.MkdirTemp(memoryDir, "relay")
		assert.NilError(t, err)
		t.Cleanup(func() { _ = os.RemoveAll(d.dir) })
	}
	var err error
	d.ca, err = keys.NewCA("test", time.Now(), certValidity)
	assert.NilError(t, err)
	assert.NilError(t, d.ca.Write(d.path("ca.pem"), d.path("ca-key.pem")))
	d.issueCert("operator", keys.Operator)
	t.Cleanup(d.stopAll)
	p := freePorts(t, 2*s.keepers+spareKeepers+4*s.entries+4*s.targets)
	nextAddr := func() string { a := p[0]; p = p[1:]; return a }
	d.openRelay(nextAddr)
	for i := range s.keepers {
		addr := d.relay.Addr(nodeName("keeper", i)).String()
		d.join = append(d.join, addr)
		d.initialMembers = append(d.initialMembers, map[string]any{"name": nodeName("keeper", i), "address": addr, "dataCentre": s.dataCentre(i)})
	}
	for i := range s.keepers {
		d.startRelayd(nodeName("keeper", i), "keeper", s.dataCentre(i), nextAddr(), map[string]any{
			"keeper": map[string]any{"initialMembers": d.initialMembers},
		})
	}
	for i := range s.entries {
		d.startRelayd(nodeName("entry", i), "entry", s.dataCentre(i), nextAddr(), map[string]any{
			"entry": map[string]any{"callers": nextAddr(), "operators": nextAddr()},
		})
	}
	for i := range s.targets {
		agentHTTP, listen := nextAddr(), nextAddr()
		d.startRelayd(nodeName("agent", i), "agent", s.dataCentre(i), nextAddr(), map[string]any{
			"agent": map[string]any{"targets": agentHTTP, "platform": "http://" + listen},
		})
		d.startTarget(i, agentHTTP, listen)
	}
	d.waitReady()
	return d
}

func nodeName(role string, i int) string { return fmt.Sprintf("%s-%d", role, i+1) }

// openRelay starts the fault relay with one link in front of each node.
func (d *deployment) openRelay(nextAddr func() string) {
	var links []fault.Link
	for role, n := range map[string]int{"keeper": d.spec.keepers + spareKeepers, "entry": d.spec.entries, "agent": d.spec.targets} {
		for i := range n {
			name := nodeName(role, i)
			d.linkAddrs[name] = nextAddr()
			links = append(links, fault.Link{Name: name, Network: "udp", Listen: "127.0.0.1:0", To: d.linkAddrs[name]})
		}
	}
	var err error
	d.relay, err = fault.New(links, clockwork.NewRealClock(), 1)
	assert.NilError(d.t, err)
	d.t.Cleanup(d.relay.Close)
}

// cut partitions two nodes: all packets between them are dropped silently.
func (d *deployment) cut(a, b string) {
	cut := fault.Rules{Forward: fault.Rule{Cut: true}, Backward: fault.Rule{Cut: true}}
	assert.NilError(d.t, d.relay.SetSourceRules(a, d.linkAddrs[b], cut))
	assert.NilError(d.t, d.relay.SetSourceRules(b, d.linkAddrs[a], cut))
}

func (d *deployment) heal(a, b string) {
	assert.NilError(d.t, d.relay.ClearSourceRules(a, d.linkAddrs[b]))
	assert.NilError(d.t, d.relay.ClearSourceRules(b, d.linkAddrs[a]))
}

// forOtherNodes calls f with the named node and each other node whose name has the prefix.
func (d *deployment) forOtherNodes(name, prefix string, f func(a, b string)) {
	for other := range d.linkAddrs {
		if other != name && strings.HasPrefix(other, prefix) {
			f(name, other)
		}
	}
}

// isolate cuts a node off from the nodes whose names have the prefix; rejoin ends that.
func (d *deployment) isolate(name, prefix string) { d.forOtherNodes(name, prefix, d.cut) }
func (d *deployment) rejoin(name, prefix string)  { d.forOtherNodes(name, prefix, d.heal) }

func (s deploymentSpec) dataCentre(i int) string { return s.dataCentres[i%len(s.dataCentres)] }

func (d *deployment) path(name string) string { return filepath.Join(d.dir, name) }

func (d *deployment) issueCert(name string, role keys.Role) {
	p, err := d.ca.Issue(name, []keys.Role{role}, time.Now(), certValidity, "127.0.0.1")
	assert.NilError(d.t, err)
	assert.NilError(d.t, p.Write(d.path(name+".pem"), d.path(name+"-key.pem")))
}

func (d *deployment) startRelayd(name, role, centre, metrics string, extraSections map[string]any) {
	d.issueCert(name, keys.Role(role))
	settings := map[string]any{
		"node": map[string]any{
			"name": name, "dataCentre": centre, "roles": []string{role},
			"listen": d.linkAddrs[name], "advertise": d.relay.Addr(name).String(), "dataFolder": d.path(name),
		},
		"tls":     map[string]any{"ca": d.path("ca.pem"), "cert": d.path(name + ".pem"), "key": d.path(name + "-key.pem")},
		"join":    map[string]any{"addresses": d.join},
		"log":     map[string]any{"level": "debug"},
		"metrics": map[string]any{"listen": metrics},
	}
	for k, v := range extraSections {
		settings[k] = v
	}
	if d.spec.editSettings != nil {
		d.spec.editSettings(role, settings)
	}
	b, err := json.MarshalIndent(settings, "", "  ")
	assert.NilError(d.t, err)
	assert.NilError(d.t, os.WriteFile(d.path(name+".json"), b, 0o600))
	d.mu.Lock()
	d.settings[name] = settings
	d.mu.Unlock()
	d.start(name, "relayd", "--settings", d.path(name+".json"))
}

func (d *deployment) startTarget(i int, agentHTTP, listen string) {
	name := fmt.Sprintf("target-%d", i+1)
	args := []string{
		"target", "--agent", "http://" + agentHTTP, "--listen", listen, "--name", name, "--data-centre", d.spec.dataCentre(i),
		"--slots", fmt.Sprint(d.spec.slots), "--connections", "64", "--start-log", d.path(name + ".starts"),
		"--label", "rack=r" + fmt.Sprint(i/3),
	}
	if d.spec.targetLabel != nil {
		args = append(args, "--label", d.spec.targetLabel(i))
	}
	if d.spec.targetArgs != nil {
		args = append(args, d.spec.targetArgs(i)...)
	}
	d.start(name, "stand", args...)
}

func (d *deployment) start(name, program string, args ...string) {
	p := &process{name: name, args: append([]string{program}, args...)}
	d.startProcess(p)
}

func (d *deployment) startProcess(p *process) {
	if p.out == nil {
		p.out = &lockedBuffer{}
	}
	p.cmd = exec.Command(filepath.Join(programDir, p.args[0]), p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = p.out, p.out
	assert.NilError(d.t, p.cmd.Start(), p.name)
	p.done = make(chan struct{})
	cmd, done := p.cmd, p.done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	d.mu.Lock()
	d.processes[p.name] = p
	d.mu.Unlock()
}

// kill ends a process by SIGKILL and waits for its exit.
func (d *deployment) kill(name string) {
	p := d.proc(name)
	_ = p.cmd.Process.Kill()
	<-p.done
}

// signal sends a signal to a process.
func (d *deployment) signal(name string, s syscall.Signal) {
	assert.NilError(d.t, d.proc(name).cmd.Process.Signal(s))
}

// restart starts a process that has ended again, with the same arguments.
func (d *deployment) restart(name string) { d.startProcess(d.proc(name)) }

func (d *deployment) proc(name string) *process {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.processes[name]
}

func (d *deployment) stopAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.processes {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
	}
	for _, p := range d.processes {
		<-p.done
		if dir := os.Getenv("RELAY_LOGS"); dir != "" && d.t.Failed() {
			_ = os.WriteFile(filepath.Join(dir, p.name+".log"), []byte(p.out.String()), 0o600)
		}
		if d.t.Failed() {
			d.t.Logf("output of %s:\n%s", p.name, lastLines(p.out.String(), 40))
		}
	}
}

func lastLines(s string, n int) string {
	l := strings.Split(s, "\n")
	return strings.Join(l[max(0, len(l)-n):], "\n")
}

// setting returns a text from a section of a node's settings. Nodes may be started
// meanwhile.
func (d *deployment) setting(node, section, key string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.settings[node][section].(map[string]any)[key].(string)
}

func (d *deployment) callersAddr(i int) string {
	return d.setting(fmt.Sprintf("entry-%d", i), "entry", "callers")
}

func (d *deployment) operatorsAddr(i int) string {
	return d.setting(fmt.Sprintf("entry-%d", i), "entry", "operators")
}

func (d *deployment) metricsAddr(name string) string {
	return d.setting(name, "metrics", "listen")
}

// waitReady waits until a request at each entry completes.
func (d *deployment) waitReady() {
	d.t.Helper()
	for i := 1; i <= d.spec.entries; i++ {
		poll.WaitOn(d.t, func(poll.LogT) poll.Result {
			a := d.request(i, "warm", `{"runTime":"1ms"}`, nil)
			if a.outcome == "complete" {
				return poll.Success()
			}
			return poll.Continue("entry-%d answers %s: %s", i, a.outcome, a.body)
		}, poll.WithTimeout(startLimit), poll.WithDelay(100*time.Millisecond))
	}
}

// answer is the response to a caller's request, or the error of the call.
type answer struct {
	status  int
	outcome string
	body    string
	header  http.Header
	err     error
}

func (d *deployment) request(entry int, kind, body string, headers map[string]string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.callersAddr(entry)+"/v1/requests", strings.NewReader(body))
	assert.NilError(d.t, err)
	req.Header.Set("Relay-Labels", "kind="+kind)
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	return sendRequest(req)
}

func sendRequest(req *http.Request) answer {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	var b bytes.Buffer
	_, err = b.ReadFrom(resp.Body)
	return answer{resp.StatusCode, resp.Header.Get("Relay-Outcome"), b.String(), resp.Header, err}
}

// relctl runs relctl against an entry with the certificate of the operator.
func (d *deployment) relctl(entry int, args ...string) (string, int) {
	return d.relctlAs("operator", entry, args...)
}
