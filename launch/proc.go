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

// proc is a started process.
type proc struct {
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
}

// run starts a program; its output goes to a file of its name.
func (r *Deployment) run(name, program string, args ...string) error {
	log, err := os.Create(filepath.Join(r.opts.Folder, name+".log"))
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	p := &proc{cmd: exec.Command(filepath.Join(r.opts.Programs, program), args...), log: log, done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// An interrupt at the terminal is for this process alone, which stops the processes.
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
	r.procs[name] = p
	r.names = append(r.names, name)
	return nil
}

func (r *Deployment) targetArgs(t layout.Target) []string {
	args := []string{
		"target", "--agent", t.Agent, "--listen", strings.TrimPrefix(t.URL, "http://"), "--name", t.Name,
		"--data-centre", t.DataCentre, "--slots", fmt.Sprint(t.Slots), "--connections", fmt.Sprint(t.Connections),
		"--lease", t.Lease, "--start-log", r.startLog(t.Name), "--seed", fmt.Sprint(r.opts.Seed),
	}
	for _, k := range slices.Sorted(maps.Keys(t.Labels)) {
		args = append(args, "--label", k+"="+t.Labels[k])
	}
	return append(args, r.opts.TargetArgs...)
}

func (r *Deployment) startLog(target string) string {
	return filepath.Join(r.opts.Folder, target+".starts")
}

// ended returns the name of a process that has ended, or nothing.
func (r *Deployment) ended() string {
	for _, name := range r.names {
		select {
		case <-r.procs[name].done:
			return name
		default:
		}
	}
	return ""
}

// Signal sends a signal to a process. The error is a trace.NotFound or from the system.
func (r *Deployment) Signal(name string, s syscall.Signal) error {
	p := r.procs[name]
	if p == nil {
		return trace.NotFound("process %q is unknown", name)
	}
	return trace.ConvertSystemError(p.cmd.Process.Signal(s))
}

// Processes returns the process IDs by the names of the processes.
func (r *Deployment) Processes() map[string]int {
	out := map[string]int{}
	for name, p := range r.procs {
		out[name] = p.cmd.Process.Pid
	}
	return out
}

// Stop ends all processes and the relay, and waits for them.
func (r *Deployment) Stop() {
	for _, p := range r.procs {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Signal(syscall.SIGTERM)
	}
	limit := r.opts.Clock.After(stopLimit)
	for _, p := range r.procs {
		select {
		case <-p.done:
			continue
		case <-limit:
			limit = r.opts.Clock.After(time.Millisecond)
		}
		_ = p.cmd.Process.Kill()
		<-p.done
	}
	if r.relay != nil {
		r.relay.Close()
	}
}

// Targets returns the targets in their order.
func (r *Deployment) Targets() []layout.Target { return r.targets }

// AgentOf returns the name of the agent beside a target.
func (r *Deployment) AgentOf(t layout.Target) string {
	for _, s := range r.settings {
		if "http://"+s.Agent.Targets == t.Agent {
			return s.Node.Name
		}
	}
	return ""
}

// EntryURLs returns the callers' URLs of the entries.
func (r *Deployment) EntryURLs() []string {
	var out []string
	for _, s := range r.settings {
		if s.Node.Has(keys.Entry) {
			out = append(out, "http://"+r.relay.Addr(callers(s.Node.Name)).String())
		}
	}
	return out
}

// OperatorURLs returns the operators' URLs of the entries.
func (r *Deployment) OperatorURLs() []string {
	var out []string
	for _, s := range r.settings {
		if s.Node.Has(keys.Entry) {
			out = append(out, "https://"+s.Entry.Operators)
		}
	}
	return out
}

// MetricsURLs returns the URLs of the metrics of the processes with a role.
func (r *Deployment) MetricsURLs(roles ...keys.Role) []string {
	var out []string
	for _, s := range r.settings {
		if slices.ContainsFunc(roles, s.Node.Has) {
			out = append(out, "http://"+s.Metrics.Listen+"/metrics")
		}
	}
	return out
}

// StartLogs returns the files of the targets' start logs.
func (r *Deployment) StartLogs() []string {
	var out []string
	for _, t := range r.targets {
		out = append(out, r.startLog(t.Name))
	}
	return out
}
