package launch

import (
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/layout"

	"github.com/gravitational/trace"
)

// process is a started process.
type process struct {
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
}

// startProcess starts a program; its output goes to the file name.log.
func (d *Deployment) startProcess(name, program string, args ...string) error {
	log, err := os.Create(filepath.Join(d.opts.Folder, name+".log"))
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	p := &process{cmd: exec.Command(filepath.Join(d.opts.Programs, program), args...), log: log, done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// With its own process group the child does not receive an interrupt at the
	// terminal; only this process does, and it stops its children in Stop.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := p.cmd.Start(); err != nil {
		_ = log.Close()
		return trace.Wrap(err)
	}
	go func() {
		_ = p.cmd.Wait()
		_ = log.Close()
		close(p.done)
	}()
	d.procs[name] = p
	d.names = append(d.names, name)
	return nil
}

func (d *Deployment) targetArgs(t layout.Target) []string {
	args := []string{
		"target", "--agent", t.Agent, "--listen", strings.TrimPrefix(t.URL, "http://"), "--name", t.Name,
		"--data-centre", t.DataCentre, "--slots", fmt.Sprint(t.Slots), "--connections", fmt.Sprint(t.Connections),
		"--lease", t.Lease, "--start-log", d.startLog(t.Name), "--seed", fmt.Sprint(d.opts.Seed),
	}
	for _, k := range slices.Sorted(maps.Keys(t.Labels)) {
		args = append(args, "--label", k+"="+t.Labels[k])
	}
	return append(args, d.opts.TargetArgs...)
}

func (d *Deployment) startLog(target string) string {
	return filepath.Join(d.opts.Folder, target+".starts")
}

// endedProcess returns the name of a process that has ended, or "".
func (d *Deployment) endedProcess() string {
	for _, name := range d.names {
		select {
		case <-d.procs[name].done:
			return name
		default:
		}
	}
	return ""
}

// Signal sends a signal to a process. The error is a trace.NotFound or from the system.
func (d *Deployment) Signal(name string, s syscall.Signal) error {
	p := d.procs[name]
	if p == nil {
		return trace.NotFound("process %q is unknown", name)
	}
	return trace.ConvertSystemError(p.cmd.Process.Signal(s))
}

// Processes returns the process IDs by the names of the processes.
func (d *Deployment) Processes() map[string]int {
	out := map[string]int{}
	for name, p := range d.procs {
		out[name] = p.cmd.Process.Pid
	}
	return out
}

// Stop terminates all processes, kills those still running after stopTimeout,
// waits for them and closes the relay.
func (d *Deployment) Stop() {
	for _, p := range d.procs {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Signal(syscall.SIGTERM)
	}
	limit := d.opts.Clock.After(stopTimeout)
	for _, p := range d.procs {
		select {
		case <-p.done:
			continue
		case <-limit:
			limit = d.opts.Clock.After(time.Millisecond)
		}
		_ = p.cmd.Process.Kill()
		<-p.done
	}
	if d.relay != nil {
		d.relay.Close()
	}
}

// Targets returns the targets in the order of the deployment's description.
func (d *Deployment) Targets() []layout.Target { return d.targets }

// AgentOf returns the name of the agent on the host of a target.
func (d *Deployment) AgentOf(t layout.Target) string {
	for _, s := range d.settings {
		if "http://"+s.Agent.Targets == t.Agent {
			return s.Node.Name
		}
	}
	return ""
}

// EntryURLs returns the URLs at which entries serve callers, through the relay.
func (d *Deployment) EntryURLs() []string {
	var out []string
	for _, s := range d.settings {
		if s.Node.Has(keys.Entry) {
			out = append(out, "http://"+d.relay.Addr(callersLinkName(s.Node.Name)).String())
		}
	}
	return out
}

// OperatorURLs returns the URLs at which entries serve operators.
func (d *Deployment) OperatorURLs() []string {
	var out []string
	for _, s := range d.settings {
		if s.Node.Has(keys.Entry) {
			out = append(out, "https://"+s.Entry.Operators)
		}
	}
	return out
}

// MetricsURLs returns the metrics URLs of the processes with any of the roles.
func (d *Deployment) MetricsURLs(roles ...keys.Role) []string {
	var out []string
	for _, s := range d.settings {
		if slices.ContainsFunc(roles, s.Node.Has) {
			out = append(out, "http://"+s.Metrics.Listen+"/metrics")
		}
	}
	return out
}

// StartLogs returns the paths of the targets' start logs.
func (d *Deployment) StartLogs() []string {
	var out []string
	for _, t := range d.targets {
		out = append(out, d.startLog(t.Name))
	}
	return out
}
