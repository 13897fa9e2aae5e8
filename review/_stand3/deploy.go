package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// The bounds of the small deployments, in SYSTEM.md.
const (
	contact       = 3 * time.Second
	cancelBound   = 3 * time.Second
	configuration = 2 * time.Second
)

const (
	service = "huvo11a"
	host    = "nony24.example"
	prefix  = "/lohu930/"
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// deployment is a set of processes on loopback addresses. All ports are the same on all
// machines.
type deployment struct {
	folder, temp string
	trouble      bool
	late         float64 // share of the orders that executors carry out late
	net          string  // the first three numbers of the machines' addresses
	began        time.Time
	out          *os.File

	mu        sync.Mutex
	processes map[string]*process // by machine and program
	events    []event             // of all executors
	closing   bool
}

// process is a running program.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

const (
	controlPort = 8166
	clientPort  = 8161
	readyPort   = 8167
	appPort     = 8165
	linkPort    = 7720
	metricsPort = 9464
)

// machine is the address of a machine by its number.
func (d *deployment) machine(n int) string { return fmt.Sprintf("%s.%d", d.net, n) }

func (d *deployment) at(n, port int) string { return fmt.Sprintf("%s:%d", d.machine(n), port) }

// The numbers of the machines.
func keeper(i int) int { return 10 + i }
func front(i int) int  { return 30 + i }
func side(i int) int   { return 50 + i }

func newDeployment(folder string) (*deployment, error) {
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		folder: folder, temp: temp, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), out: out,
		processes: map[string]*process{},
	}
	for range 50 {
		d.net = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		if d.isFree() {
			d.record("addresses %s.*, trouble %v", d.net, d.trouble)
			return d, nil
		}
	}
	return nil, fmt.Errorf("no free loopback addresses")
}

// isFree reports whether the ports of the first machines are free.
func (d *deployment) isFree() bool {
	for _, n := range []int{keeper(0), front(0), side(0)} {
		for _, p := range []int{controlPort, clientPort, readyPort, appPort, linkPort, metricsPort} {
			l, err := net.Listen("tcp", d.at(n, p))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// record writes a line with the time since the start of the case.
func (d *deployment) record(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, args...))
	d.mu.Lock()
	defer d.mu.Unlock()
	_, _ = d.out.WriteString(line)
}

// since returns a time as in the record.
func (d *deployment) since(t time.Time) float64 { return t.Sub(d.began).Seconds() }

// settings writes the settings file of a process, as the template renders it for a small
// deployment.
func (d *deployment) settings(role string, n int, zone string, bootstrap bool) (string, error) {
	ip := d.machine(n)
	seeds := []string{d.at(keeper(0), controlPort), d.at(keeper(1), controlPort), d.at(keeper(2), controlPort)}
	platform := map[string]any{
		"enabled": true, "callers": "", "ready": "", "control": "", "holdLimit": "1000ms", "resendAfter": "1300ms",
		"gracePeriod": "6s", "fairAdmission": true, "farFactor": "1.5", "dataCentres": zones,
	}
	limits := map[string]any{"memory": "284", "descriptors": "4100", "link": "1000.0"}
	size, data := "0.4", ""
	switch role {
	case "entry":
		platform["callers"], platform["ready"] = d.at(n, clientPort), d.at(n, readyPort)
	case "agent":
		platform["control"] = d.at(n, controlPort)
		limits["memory"], limits["descriptors"], size = "152", "4096", "0.24"
	case "keeper":
		platform["control"] = d.at(n, controlPort)
		limits["memory"], limits["descriptors"], size = "280", "4096", "0.8"
		data = filepath.Join(d.temp, fmt.Sprintf("data-%d", n))
		if err := os.MkdirAll(data, 0o755); err != nil {
			return "", err
		}
	}
	b, err := json.MarshalIndent(map[string]any{
		"node": map[string]any{
			"name": ip, "dataCentre": zone, "roles": []string{role}, "dataFolder": data,
			"listen": d.at(n, linkPort), "size": size,
		},
		"tls":  map[string]any{"selfSigned": true},
		"join": map[string]any{"seeds": seeds},
		"keeper": map[string]any{
			"groups": 1, "bootstrap": bootstrap, "autoMembers": true, "snapshotEntries": 100,
			"tolerance": 1, "catchUp": "4s", "toleratedDataCentres": 0,
		},
		"freshness": map[string]any{"lease": "1500ms", "heartbeat": "300ms", "inForce": "2000ms"},
		"spans":     map[string]any{"share": 0},
		"entry":     map[string]any{"drainTimeout": "6s"},
		"metrics":   map[string]any{"listen": d.at(n, metricsPort)},
		"limits":    limits,
		"platform":  platform,
	}, "", "  ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(d.temp, fmt.Sprintf("%s-%d.json", role, n))
	return path, os.WriteFile(path, b, 0o644)
}

// startNode starts a process of the system with the command of the deploy file.
func (d *deployment) startNode(role string, n, zone int, bootstrap bool) error {
	path, err := d.settings(role, n, zones[zone], bootstrap)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/relayd")
	cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CYCLAMENRELAY_NODE_FILE=" + path,
		"QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true",
	}
	log, err := os.OpenFile(filepath.Join(d.temp, fmt.Sprintf("%s-%d.log", role, n)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd.Stdout, cmd.Stderr = log, log
	return d.start(fmt.Sprintf("%s-%d", role, n), cmd, func() { _ = log.Close() })
}

// startExecutor starts an executor on a side machine. Its events are collected.
func (d *deployment) startExecutor(id string, i int, kind string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	n := side(i)
	cmd := exec.Command(self, "executor", "--id", id, "--service", service, "--zone", zones[i%len(zones)], "--kind", kind,
		"--rack", fmt.Sprintf("r1-%d", i/3+1), "--address", d.at(n, appPort), "--agent", d.at(n, controlPort), "--late", strconv.FormatFloat(d.late, 'f', -1, 64))
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	cmd.Stderr = os.Stderr
	name := fmt.Sprintf("executor-%d", n)
	read := make(chan struct{})
	if err := d.start(name, cmd, func() { <-read }); err != nil {
		return err
	}
	go func() {
		defer close(read)
		s := bufio.NewScanner(out)
		for s.Scan() {
			var e event
			if json.Unmarshal(s.Bytes(), &e) == nil {
				d.mu.Lock()
				d.events = append(d.events, e)
				d.mu.Unlock()
			}
		}
	}()
	return nil
}

// start starts a program under a name.
func (d *deployment) start(name string, cmd *exec.Cmd, ended func()) error {
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	d.mu.Lock()
	d.processes[name] = p
	d.mu.Unlock()
	go func() {
		ended()
		err := cmd.Wait()
		close(p.done)
		d.mu.Lock()
		own := d.processes[name] == p && !d.closing
		d.mu.Unlock()
		if own {
			d.record("%s ended without a signal from the case: %v", name, err)
		}
	}()
	return nil
}

// signal sends a signal to a process by its name. With SIGKILL it waits for its end.
func (d *deployment) signal(name string, s syscall.Signal) {
	d.mu.Lock()
	p := d.processes[name]
	if s == syscall.SIGKILL {
		delete(d.processes, name)
	}
	d.mu.Unlock()
	if p == nil {
		return
	}
	_ = p.cmd.Process.Signal(s)
	if s == syscall.SIGKILL {
		<-p.done
	}
}

// close ends all processes and removes their files.
func (d *deployment) close() {
	d.mu.Lock()
	d.closing = true
	var names []string
	for name := range d.processes {
		names = append(names, name)
	}
	d.mu.Unlock()
	for _, name := range names {
		d.signal(name, syscall.SIGKILL)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.temp)
	} else {
		d.record("logs in %s", d.temp)
	}
}

// startAll starts 3 keepers, the fronts and the side machines with their executors, and waits until jobs are
// done at all fronts.
func (d *deployment) startAll(fronts, sides int, kind func(i int) string) error {
	for i := range 3 {
		if err := d.startNode("keeper", keeper(i), i, true); err != nil {
			return err
		}
	}
	for i := range fronts {
		if err := d.startNode("entry", front(i), i%3, true); err != nil {
			return err
		}
	}
	for i := range sides {
		if err := d.startNode("agent", side(i), i%3, true); err != nil {
			return err
		}
		if err := d.startExecutor(fmt.Sprintf("i-%d-1", i), i, kind(i)); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(20 * time.Second)
	for !d.put(7) {
		if time.Now().After(deadline) {
			return fmt.Errorf("the configuration was not acknowledged")
		}
		time.Sleep(200 * time.Millisecond)
	}
	d.record("configuration 7 acknowledged")
	time.Sleep(configuration)
	for i := range fronts {
		for {
			status, _ := d.submit(front(i), newID(), job{steps: []step{{count: 1, length: 10 * time.Millisecond}}}, 2*time.Second)
			if status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("front %d does not serve", i)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	// All agents have to be known at all fronts.
	time.Sleep(2 * time.Second)
	d.record("all fronts serve")
	return nil
}

// put sends a configuration to each keeper until one acknowledges it.
func (d *deployment) put(version int) bool {
	body := fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-3hwrr6x","host":%q,"path_prefix":%q,"kind":"non_idempotent","timeout_ms":1500,`+
		`"target_completion_ms":60,"priority":0,"service":%q,"max_attempts":4,"stretch":1.6}],"services":[{"name":%q,"health_path":"/health",`+
		`"connection_limit":64,"protocol":"h1","tls":false,"admission_check":true,"standby":false}],"limits":{"max_header_bytes":16384,`+
		`"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, version, host, prefix, service, service)
	for i := range 3 {
		c := http.Client{Timeout: time.Second}
		a, err := c.Post("http://"+d.at(keeper(i), controlPort)+"/api/configuration/put", "application/json", bytes.NewReader([]byte(body)))
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, a.Body)
		_ = a.Body.Close()
		if a.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}
