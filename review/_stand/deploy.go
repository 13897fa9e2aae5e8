package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the listeners. Every machine has a loopback address of its own, so that all
// machines use the same ports, as on the platform.
const (
	portFrontend = 8161
	portReady    = 8167
	portControl  = 8166
	portApp      = 8165
	portInternal = 7720
)

const (
	template    = "deploy/settings.json.tmpl"
	program     = "target/relayd"
	settingsVar = "CYCLAMENRELAY_NODE_FILE"
	quicVar     = "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true"
	gracePeriod = 6 * time.Second
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// machine is one machine of the deployment with its process of relayd.
type machine struct {
	d     *deployment
	name  string
	role  string
	class string
	zone  string
	ip    string
	dir   string
	// bootstrap is true only at the first start of the whole system.
	bootstrap bool

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{} // closed when cmd has ended
	// stopping is set while an end of the process is expected.
	stopping bool
}

// deployment is a small deployment: three core and three frontend machines in three
// zones, and some side machines with an executor each.
type deployment struct {
	dir     string
	seeds   []string
	cores   []*machine
	fronts  []*machine
	sides   []*machine
	execs   []*executor
	service string
	rec     *recorder
}

// newDeployment lays out the machines on a free loopback network.
func newDeployment(dir string, sides int, rec *recorder) (*deployment, error) {
	d := &deployment{dir: dir, service: "svc1", rec: rec}
	prefix, err := freeNetwork()
	if err != nil {
		return nil, err
	}
	next := 0
	add := func(class, role string, i int) *machine {
		next++
		zone := zones[i%len(zones)]
		m := &machine{
			d: d, name: fmt.Sprintf("%s-%s-%d", class, zone, i/len(zones)+1), role: role, class: class, zone: zone,
			ip: fmt.Sprintf("%s.%d", prefix, 10+next), bootstrap: true,
		}
		m.dir = filepath.Join(dir, m.name)
		return m
	}
	for i := range 3 {
		d.cores = append(d.cores, add("core", "keeper", i))
		d.seeds = append(d.seeds, fmt.Sprintf("%s:%d", d.cores[i].ip, portControl))
	}
	for i := range 3 {
		d.fronts = append(d.fronts, add("frontend", "entry", i))
	}
	for i := range sides {
		d.sides = append(d.sides, add("side", "agent", i))
	}
	return d, nil
}

// freeNetwork returns the first three numbers of a loopback network on whose addresses
// the ports are free.
func freeNetwork() (string, error) {
	for try := range 200 {
		n := os.Getpid() + try
		prefix := fmt.Sprintf("127.%d.%d", 64+n%128, 1+n/128%250)
		free := true
		for host := 11; host < 40 && free; host++ {
			for _, port := range []int{portFrontend, portReady, portControl, portApp, 9464} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", prefix, host, port))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			return prefix, nil
		}
	}
	return "", errors.New("no loopback network with free ports")
}

// fields returns what the platform fills the template with.
func (m *machine) fields() map[string]any {
	f := map[string]any{
		"node_name": m.name, "role": m.role, "machine_class": m.class, "ip_address": m.ip, "zone": m.zone, "region": "region-1",
		"internal_port_range.0": portInternal, "seed_nodes": m.d.seeds, "bootstrap": m.bootstrap,
		"bounds.grace_period_s": 6, "bounds.hold_limit_ms": 1000, "bounds.retransmit_ms": 1300,
	}
	switch m.class {
	case "core":
		f["data_directory"] = filepath.Join(m.dir, "data")
		f["listen_addresses.control_plane"] = fmt.Sprintf("%s:%d", m.ip, portControl)
	case "side":
		f["listen_addresses.control_plane"] = fmt.Sprintf("%s:%d", m.ip, portControl)
	case "frontend":
		f["listen_addresses.frontend"] = fmt.Sprintf("%s:%d", m.ip, portFrontend)
		f["listen_addresses.ready"] = fmt.Sprintf("%s:%d", m.ip, portReady)
	}
	return f
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)

// writeSettings fills the deploy file's template, as the platform does at every start.
func (m *machine) writeSettings() (string, error) {
	b, err := os.ReadFile(template)
	if err != nil {
		return "", err
	}
	fields := m.fields()
	text := placeholder.ReplaceAllStringFunc(string(b), func(p string) string {
		s := placeholder.FindStringSubmatch(p)
		v, ok := fields[s[1]]
		if s[2] == "" {
			if !ok {
				return ""
			}
			return fmt.Sprint(v)
		}
		j, _ := json.Marshal(v)
		return string(j)
	})
	if strings.Contains(text, "{{") {
		return "", errors.New("the template has placeholders that the stand-in does not know")
	}
	path := filepath.Join(m.dir, "boot.conf")
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// start starts the machine's process.
func (m *machine) start() error {
	if err := os.MkdirAll(filepath.Join(m.dir, "data"), 0o700); err != nil {
		return err
	}
	settings, err := m.writeSettings()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), settingsVar + "=" + settings, quicVar}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	done := make(chan struct{})
	m.cmd, m.done, m.stopping = cmd, done, false
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		m.mu.Lock()
		expected := m.stopping
		m.mu.Unlock()
		if !expected {
			m.d.rec.event("process of %s ended by itself: %v", m.name, err)
			m.d.rec.selfEnded()
		}
		close(done)
	}()
	return nil
}

// signal sends a signal to the machine's process. ends says that the process ends by it.
func (m *machine) signal(s syscall.Signal, ends bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopping = m.stopping || ends
	if m.cmd != nil {
		_ = m.cmd.Process.Signal(s)
	}
	m.d.rec.event("%v to %s", s, m.name)
}

// kill kills the process and waits for its end.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL, true)
	<-m.done
}

// restart starts the process again after its end, with the settings in effect now.
func (m *machine) restart() error {
	m.bootstrap = false
	m.d.rec.event("start of %s", m.name)
	return m.start()
}

// terminate stops the process as the platform does: SIGTERM, and SIGKILL after the grace
// period.
func (m *machine) terminate() {
	m.signal(syscall.SIGTERM, true)
	select {
	case <-m.done:
		m.d.rec.event("%s has ended", m.name)
	case <-time.After(gracePeriod):
		m.signal(syscall.SIGKILL, true)
		<-m.done
	}
}

func (d *deployment) machines() []*machine {
	var all []*machine
	all = append(all, d.cores...)
	all = append(all, d.fronts...)
	return append(all, d.sides...)
}

// start starts all machines and their executors.
func (d *deployment) start(capacity resources, labels func(i int) []string) error {
	for _, m := range d.machines() {
		if err := m.start(); err != nil {
			return err
		}
	}
	for i, m := range d.sides {
		x, err := newExecutor(d, m, i, capacity, labels(i))
		if err != nil {
			return err
		}
		d.execs = append(d.execs, x)
	}
	return nil
}

// stop ends all processes.
func (d *deployment) stop() {
	for _, x := range d.execs {
		x.close()
	}
	for _, m := range d.machines() {
		m.mu.Lock()
		m.stopping = true
		if m.cmd != nil {
			_ = m.cmd.Process.Signal(syscall.SIGCONT)
			_ = m.cmd.Process.Kill()
		}
		done := m.done
		m.mu.Unlock()
		if done != nil {
			<-done
		}
	}
}
