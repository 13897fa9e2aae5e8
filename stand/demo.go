package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"cyclamenrelay.example/admin"
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/launch"
	"cyclamenrelay.example/load"
	"cyclamenrelay.example/plan"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
)

func init() {
	register("demo", "Start Cascade's whole deployment, steer it with relctl, run a mixed workload and stop it", &demo{})
}

const (
	demoFirm     = "cascade"
	startTimeout = time.Minute
	pollInterval = 200 * time.Millisecond
)

// demoRules are relctl commands that set the weights of the kinds of work, the
// hedge quantile of quotes, and keep proof jobs off rack r4.
var demoRules = []string{
	"rules set quote --work kind=quote --weight 4 --hedge 0.99",
	"rules set deposit --work kind=deposit --weight 2",
	"rules set proof --work kind=proof --weight 2",
	"rules set proofJob --work kind=proofJob --weight 1 --targets rack!=r4",
}

type demo struct {
	Length   time.Duration `long:"length" default:"20s" description:"length of the load"`
	Load     float64       `long:"load" default:"0.5" description:"share of the targets' slots that the load keeps busy"`
	Hold     bool          `long:"hold" description:"send no load, but keep the deployment until SIGINT"`
	Folder   string        `long:"folder" description:"new folder for all files, by default a temporary one; removed at the end"`
	Programs string        `long:"programs" default:"bin" description:"folder of relayd, relctl and stand"`

	deployed *launch.Deployment
}

// Execute runs the demonstration and stops all started processes, also on
// SIGINT. After an error it keeps the folder with the logs.
func (c *demo) Execute([]string) error {
	ctx, stop := untilSignal()
	defer stop()
	if err := c.createFolder(); err != nil {
		return err
	}
	err := c.run(ctx)
	if err == nil || ctx.Err() != nil {
		_ = os.RemoveAll(c.Folder)
		return err
	}
	return trace.Wrap(err, "the logs are kept in %s", c.Folder)
}

func (c *demo) createFolder() (err error) {
	if c.Folder != "" {
		if err := os.MkdirAll(filepath.Dir(c.Folder), 0o755); err != nil {
			return trace.ConvertSystemError(err)
		}
		return trace.ConvertSystemError(os.Mkdir(c.Folder, 0o755))
	}
	c.Folder, err = os.MkdirTemp("", "cyclamenrelay-demo")
	return trace.ConvertSystemError(err)
}

func (c *demo) run(ctx context.Context) error {
	cmd := lab{Firm: demoFirm, Load: c.Load, Length: c.Length, Seed: 1}
	o, err := cmd.options()
	if err != nil {
		return err
	}
	c.printStep("starting %d keepers, %d entries, %d agents and as many targets in %s",
		len(o.Deploy.Spec.DataCentres), o.Deploy.Spec.Entries, o.Deploy.Spec.Workers, c.Folder)
	if err := c.start(ctx, o.Deploy); err != nil {
		return err
	}
	defer func() {
		c.printStep("stopping all processes")
		c.deployed.Stop()
		c.printStep("stopped")
	}()
	for _, rule := range demoRules {
		if err := c.runRelctl(ctx, strings.Fields(rule)...); err != nil {
			return err
		}
	}
	if err := c.waitForTargets(ctx); err != nil {
		return err
	}
	if err := c.runRelctl(ctx, "targets", "list"); err != nil {
		return err
	}
	if c.Hold {
		return c.holdUntilInterrupt(ctx)
	}
	c.printStep("sending load for %v", c.Length)
	if err := c.runLoad(ctx, o.Plan); err != nil {
		return err
	}
	if ctx.Err() != nil {
		return trace.Wrap(ctx.Err(), "interrupted")
	}
	return c.runRelctl(ctx, "status")
}

// holdUntilInterrupt writes env.sh, a shell file with the addresses, certificates
// and process IDs of the deployment, and waits for SIGINT.
func (c *demo) holdUntilInterrupt(ctx context.Context) error {
	folder, err := filepath.Abs(c.Folder)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	tls := keys.Folder(filepath.Join(folder, "tls"))
	env := fmt.Sprintf("export RELCTL_SERVER=%s\nexport RELCTL_CA=%s\nexport RELCTL_CERT=%s\nexport RELCTL_KEY=%s\nexport ENTRY=%s\n",
		strings.Join(c.deployed.OperatorURLs(), ","), tls.Cert("ca"), tls.Cert("operator"), tls.Key("operator"), c.deployed.EntryURLs()[0])
	pids := c.deployed.Processes()
	env += "pid() {\n  case $1 in\n"
	for _, name := range slices.Sorted(maps.Keys(pids)) {
		env += fmt.Sprintf("  %s) echo %d ;;\n", name, pids[name])
	}
	env += "  esac\n}\n"
	file := filepath.Join(folder, "env.sh")
	if err := os.WriteFile(file, []byte(env), 0o644); err != nil {
		return trace.ConvertSystemError(err)
	}
	c.printStep("ready; in another shell: source %s", file)
	<-ctx.Done()
	return nil
}

// start starts the deployment's processes; after an error it stops those that run.
func (c *demo) start(ctx context.Context, o launch.Options) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	o.Folder, o.Programs, o.Clock = c.Folder, c.Programs, clockwork.NewRealClock()
	deployment, err := launch.Start(ctx, o)
	if err != nil {
		deployment.Stop()
		return trace.Wrap(err)
	}
	c.deployed = deployment
	return nil
}

// waitForTargets waits until all targets are up and have received all rules.
func (c *demo) waitForTargets(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		var known admin.TargetsAnswer
		b, err := c.relctlCommand(ctx, "targets", "list", "--state", "up", "--json").Output()
		if err == nil {
			err = json.Unmarshal(b, &known)
		}
		lacksRules := func(t admin.TargetStatus) bool { return t.Version < uint64(len(demoRules)) }
		if err == nil && known.Matched == len(c.deployed.Targets()) && !slices.ContainsFunc(known.Targets, lacksRules) {
			return nil
		}
		select {
		case <-ctx.Done():
			return trace.LimitExceeded("%d of %d targets are up: %v", known.Matched, len(c.deployed.Targets()), err)
		case <-time.After(pollInterval):
		}
	}
}

// relctlCommand returns a relctl command with the operator's certificate and
// the servers of the deployment.
func (c *demo) relctlCommand(ctx context.Context, args ...string) *exec.Cmd {
	tls := keys.Folder(filepath.Join(c.Folder, "tls"))
	all := []string{"--ca", tls.Cert("ca"), "--cert", tls.Cert("operator"), "--key", tls.Key("operator")}
	for _, u := range c.deployed.OperatorURLs() {
		all = append(all, "--server", u)
	}
	return exec.CommandContext(ctx, filepath.Join(c.Programs, "relctl"), append(all, args...)...)
}

// runRelctl prints a relctl command line, runs it and prints its output.
func (c *demo) runRelctl(ctx context.Context, args ...string) error {
	c.printStep("relctl %s", strings.Join(args, " "))
	cmd := c.relctlCommand(ctx, args...)
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	return trace.Wrap(cmd.Run(), "relctl %s", args[0])
}

func (c *demo) runLoad(ctx context.Context, p plan.Plan) error {
	res, err := load.Run(ctx, p, load.Options{
		Run: "demo", Entries: c.deployed.EntryURLs(), Metrics: c.deployed.MetricsURLs(keys.Entry, keys.Agent), Clock: clockwork.NewRealClock(),
		StartLogs: func() ([]io.ReadCloser, error) { return openFiles(c.deployed.StartLogs()) },
	})
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "KIND\tSENT\tCOMPLETE\tFAILED\tNOTRUN\tRESPONSE/IDEAL P50\tP99")
	for _, k := range res.Kinds {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.2f\t%.2f\n", k.Name, k.Sent, k.Complete, k.Failed, k.NotRun, k.Ratio.P50, k.Ratio.P99)
	}
	_ = w.Flush()
	for _, k := range res.Kinds {
		if ctx.Err() == nil && k.Lost+k.Wrong > 0 {
			return trace.CompareFailed("%s: %d requests without a response, %d with a wrong response", k.Name, k.Lost, k.Wrong)
		}
	}
	if res.Truth != nil && res.Truth.Violated() {
		return trace.CompareFailed("a guarantee to callers was violated: %+v", *res.Truth)
	}
	return nil
}

func (c *demo) printStep(format string, args ...any) { fmt.Printf("== "+format+"\n", args...) }
