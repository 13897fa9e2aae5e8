package main

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"cyclamenrelay.example/conf"
	"cyclamenrelay.example/keys"
)

const (
	certValidity      = 24 * time.Hour
	targetLease       = 60 * time.Second // the maximum that the settings allow
	ticksPerSec       = 100              // unit of processor times in /proc/PID/stat
	readyTimeout      = 30 * time.Second
	pollInterval      = 100 * time.Millisecond
	readHeaderTimeout = 10 * time.Second
	host              = "127.0.0.1"
)

// deploymentSize is the number of keepers, entries, agents and log groups of a deployment.
type deploymentSize struct{ keepers, entries, agents, groups int }

// process is one relayd process and its addresses.
type process struct {
	name, listen, advertise, httpAddress, operatorAddress, metricsAddress string

	role   keys.Role
	relay  *relay // nil for an agent
	cmd    *exec.Cmd
	output bytes.Buffer
}

// deployment is a set of relayd processes and one HTTP server that simulates all
// their targets.
type deployment struct {
	dir           string
	relayd        string
	ca            *keys.CA
	clock         clockwork.Clock
	processes     []*process
	keepers       []*process
	entries       []*process
	agents        []*process
	targetServer  *http.Server
	targetURL     string // URL of the server that simulates the targets
	joinAddresses []string
}

// deploy starts a deployment and waits until its entries and agents are ready.
func deploy(ctx context.Context, relayd string, s deploymentSize) (d *deployment, err error) {
	d = &deployment{relayd: relayd, clock: clockwork.NewRealClock()}
	if d.dir, err = os.MkdirTemp("", "slope"); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer func() {
		if err != nil {
			d.stop()
		}
	}()
	folder := keys.Folder(filepath.Join(d.dir, "tls"))
	if d.ca, err = folder.NewCA("slope", d.clock.Now(), certValidity); err != nil {
		return d, err
	}
	d.keepers = d.addProcesses("keeper", keys.Keeper, s.keepers)
	d.entries = d.addProcesses("entry", keys.Entry, s.entries)
	d.agents = d.addProcesses("agent", keys.Agent, s.agents)
	if err := d.serveTargets(); err != nil {
		return d, err
	}
	for _, p := range d.processes {
		if err := d.start(folder, p, s.groups); err != nil {
			return d, err
		}
	}
	if err := d.announceTargets(ctx); err != nil {
		return d, err
	}
	return d, d.waitReady(ctx)
}

func (d *deployment) addProcesses(prefix string, r keys.Role, n int) []*process {
	var out []*process
	for i := range n {
		p := &process{name: prefix + "-" + strconv.Itoa(i+1), role: r, listen: freeAddress(), httpAddress: freeAddress(), operatorAddress: freeAddress(), metricsAddress: freeAddress()}
		p.advertise = p.listen
		if r != keys.Agent {
			p.advertise = freeAddress()
		}
		if r == keys.Keeper {
			d.joinAddresses = append(d.joinAddresses, p.advertise)
		}
		out = append(out, p)
	}
	d.processes = append(d.processes, out...)
	return out
}

// The range of ports to listen on, below the system's ephemeral ports.
const (
	firstPort = 12_000
	lastPort  = 32_000
)

var lastTriedPort = firstPort + rand.IntN(lastPort-firstPort)

// freeAddress returns a loopback address whose port is free for TCP and UDP.
func freeAddress() string {
	for {
		if lastTriedPort++; lastTriedPort > lastPort {
			lastTriedPort = firstPort
		}
		addr := host + ":" + strconv.Itoa(lastTriedPort)
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		_ = l.Close()
		u, err := net.ListenPacket("udp", addr)
		if err != nil {
			continue
		}
		_ = u.Close()
		return addr
	}
}

func (d *deployment) settings(folder keys.Folder, p *process, groups int) conf.Settings {
	s := conf.Default()
	s.Node = conf.Node{
		Name: p.name, DataCentre: "dc-0", Roles: []string{string(p.role)},
		DataFolder: filepath.Join(d.dir, p.name), Listen: p.listen, Advertise: p.advertise,
	}
	s.TLS = conf.TLS{CA: folder.Cert("ca"), Cert: folder.Cert(p.name), Key: folder.Key(p.name)}
	s.Join.Addresses = d.joinAddresses
	s.Keeper.Groups = groups
	s.Metrics.Listen = p.metricsAddress
	s.Log.Level = "warn"
	switch p.role {
	case keys.Keeper:
		for _, k := range d.keepers {
			s.Keeper.InitialMembers = append(s.Keeper.InitialMembers,
				conf.InitialMember{Name: k.name, Address: k.advertise, DataCentre: "dc-0"})
		}
	case keys.Entry:
		s.Entry.Callers, s.Entry.Operators = p.httpAddress, p.operatorAddress
	case keys.Agent:
		s.Agent.Targets, s.Agent.TargetLease = p.httpAddress, conf.Duration(targetLease)
	}
	return s
}

func (d *deployment) start(folder keys.Folder, p *process, groups int) error {
	if err := folder.Issue(d.ca, p.name, []keys.Role{p.role}, d.clock.Now(), certValidity, host); err != nil {
		return err
	}
	b, err := d.settings(folder, p, groups).Sparse()
	if err != nil {
		return err
	}
	file := filepath.Join(d.dir, p.name+".json")
	if err := os.WriteFile(file, b, 0o600); err != nil {
		return trace.ConvertSystemError(err)
	}
	if p.advertise != p.listen {
		if p.relay, err = newRelay(p.advertise, p.listen); err != nil {
			return err
		}
	}
	p.cmd = exec.Command(d.relayd, "--settings", file)
	p.cmd.Stdout, p.cmd.Stderr = &p.output, &p.output
	return trace.Wrap(p.cmd.Start())
}

// serveTargets starts the server that answers the tasks of all targets at once
// without any work.
func (d *deployment) serveTargets() error {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return trace.Wrap(err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/tasks/{id}", func(http.ResponseWriter, *http.Request) {})
	d.targetURL = "http://" + l.Addr().String()
	d.targetServer = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = d.targetServer.Serve(l) }()
	return nil
}

// announceTargets announces one simulated target to each agent.
func (d *deployment) announceTargets(ctx context.Context) error {
	for i, p := range d.agents {
		body := fmt.Sprintf(`{"name":"target-%d","url":%q,"dataCentre":"dc-0","labels":{"rack":"r%d","dataCentre":"dc-0","executor":"board"},`+
			`"slots":%d,"connections":64,"lease":%q}`, i, d.targetURL, i/3, slots, targetLease)
		err := d.waitUntil(ctx, func() bool {
			req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+p.httpAddress+"/v1/target", strings.NewReader(body))
			if err != nil {
				return false
			}
			return hasStatus(req, http.StatusNoContent)
		})
		if err != nil {
			return trace.Wrap(err, "%s: %s", p.name, p.output.String())
		}
	}
	return nil
}

func hasStatus(req *http.Request, status int) bool {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == status
}

// waitReady waits until each entry and agent reports that it is ready, so that
// its configuration is fresh.
func (d *deployment) waitReady(ctx context.Context) error {
	for _, p := range d.processes {
		if p.role == keys.Keeper {
			continue
		}
		err := d.waitUntil(ctx, func() bool {
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.metricsAddress+"/ready", nil)
			return err == nil && hasStatus(req, http.StatusOK)
		})
		if err != nil {
			return trace.Wrap(err, "%s is not ready: %s", p.name, d.outputs())
		}
	}
	return nil
}

// outputs returns the warnings and errors that the processes have logged.
func (d *deployment) outputs() string {
	var b strings.Builder
	for _, p := range d.processes {
		b.WriteString(p.output.String())
	}
	return b.String()
}

func (d *deployment) waitUntil(ctx context.Context, ok func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !ok() {
		if err := d.sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) sleep(ctx context.Context, t time.Duration) error {
	select {
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	case <-d.clock.After(t):
		return nil
	}
}

func (d *deployment) stop() {
	for _, p := range d.processes {
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Signal(syscall.SIGKILL)
			_ = p.cmd.Wait()
		}
		if p.relay != nil {
			p.relay.close()
		}
	}
	if d.targetServer != nil {
		_ = d.targetServer.Close()
	}
	_ = os.RemoveAll(d.dir)
}

// usage is the resource use of some processes: sums of processor time and
// allocations since their start, and the mean of their memory.
type usage struct {
	cpu    time.Duration
	allocs float64
	memory float64 // resident bytes
}

func usageOf(ps []*process) (u usage) {
	for _, p := range ps {
		u.cpu += p.cpu()
		u.memory += p.residentMemory() / float64(len(ps))
		u.allocs += p.metric("go_memstats_mallocs_total")
	}
	return u
}

func (p *process) cpu() time.Duration {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	_, rest, ok := strings.Cut(string(b), ") ")
	f := strings.Fields(rest)
	if err != nil || !ok || len(f) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(f[11])
	system, _ := strconv.Atoi(f[12])
	return time.Duration(user+system) * time.Second / ticksPerSec
}

func (p *process) residentMemory() float64 {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	if f := strings.Fields(string(b)); len(f) > 1 {
		pages, _ := strconv.Atoi(f[1])
		return float64(pages * os.Getpagesize())
	}
	return 0
}

// metric returns the value of a metric of the process, 0 when it is missing.
func (p *process) metric(name string) float64 {
	resp, err := http.Get("http://" + p.metricsAddress + "/metrics")
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	var b bytes.Buffer
	_, _ = b.ReadFrom(resp.Body)
	for line := range strings.Lines(b.String()) {
		if v, ok := strings.CutPrefix(line, name+" "); ok {
			f, _ := strconv.ParseFloat(strings.TrimSpace(v), 64)
			return f
		}
	}
	return 0
}

// trafficBetween returns the bytes and packets in both directions between two
// sets of processes; those in to have relays.
func trafficBetween(to, from []*process) (bytes, packets float64) {
	for _, t := range to {
		for _, f := range from {
			b, n := t.relay.trafficWith(f.listen)
			bytes += float64(b)
			packets += float64(n)
		}
	}
	return bytes, packets
}
