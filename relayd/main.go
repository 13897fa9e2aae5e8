// Command relayd is the daemon. It runs the roles that its settings name: entry,
// keeper, agent, or several of them.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"cyclamenrelay.example/conf"
	"cyclamenrelay.example/guard"
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/logs"
	"cyclamenrelay.example/platform"
	"cyclamenrelay.example/spans"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

type options struct {
	Settings string `long:"settings" short:"s" description:"settings file (JSON); the platform's by default"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

func main() { os.Exit(run()) }

func run() int {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return 0
		}
		return exitSettings
	}
	if o.Settings == "" {
		o.Settings = platform.SettingsFile()
	}
	if o.Settings == "" {
		fmt.Fprintln(os.Stderr, "no settings file: use --settings FILE")
		return exitSettings
	}
	s, err := conf.Load(o.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, trace.UserMessage(err))
		return exitSettings
	}
	if o.Check {
		fmt.Println("settings are valid")
		return 0
	}
	if err := serve(o.Settings, s); err != nil {
		fmt.Fprintln(os.Stderr, trace.UserMessage(err))
		return exitFailed
	}
	return 0
}

func serve(path string, s conf.Settings) error {
	out := os.Stderr
	if s.Platform.Enabled {
		out = os.Stdout
	}
	w := logs.NewWriter(out)
	defer w.Close()
	log, err := logs.New(w, s.Log.Level)
	if err != nil {
		return err
	}
	log = log.With(zap.String("node", s.Node.Name))
	// SIGHUP stays registered until the process exits: unhandled, it ends the process, also
	// while it drains.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	flush, err := spans.Setup(ctx, s.Node.Name, s.Spans.Collector, s.Spans.Share)
	if err != nil {
		return err
	}
	defer func() { _ = flush(context.WithoutCancel(ctx)) }()
	id, err := identity(s)
	if err != nil {
		return err
	}
	if id.Self().Name != s.Node.Name {
		return trace.BadParameter("node.name %q is not the certificate's name %q", s.Node.Name, id.Self().Name)
	}
	plan, err := memoryPlan(s, log)
	if err != nil {
		return err
	}
	b := build(s, id, plan, log)
	go reload(ctx, hangups, path, b)
	log.Info("starting", zap.Strings("roles", s.Node.Roles), zap.String("dataCentre", s.Node.DataCentre))
	err = b.services.Run(ctx, time.Duration(s.Entry.DrainTimeout))
	if err != nil {
		log.Error("stopped", zap.Error(err))
		return err
	}
	log.Info("stopped")
	return nil
}

// memoryPlan returns the plan of what the clients of the process may occupy.
func memoryPlan(s conf.Settings, log *zap.Logger) (guard.Plan, error) {
	p := guard.Plan{Memory: int64(s.Limits.Memory) << 20, Descriptors: int(s.Limits.Descriptors), Clock: clockwork.NewRealClock()}
	return p.Apply(log)
}

// identity loads the node's certificate, or makes a self-signed one if the
// settings ask for that.
func identity(s conf.Settings) (*keys.Identity, error) {
	if !s.TLS.SelfSigned {
		return keys.Load(s.TLS.CA, s.TLS.Cert, s.TLS.Key)
	}
	var roles []keys.Role
	for _, r := range s.Node.Roles {
		roles = append(roles, keys.Role(r))
	}
	return keys.NewEphemeral(clockwork.NewRealClock(), s.Node.Name, roles)
}

// settingsInterval is the interval at which the settings file is checked for
// changes, which may come without a signal.
const settingsInterval = 2 * time.Second

// reload rereads the certificates and the settings at each hang-up signal, and the
// settings also when their file changes. Of the settings, only the join
// addresses take effect without a restart.
func reload(ctx context.Context, hangups <-chan os.Signal, path string, b *builder) {
	tick := b.clock.NewTicker(settingsInterval)
	defer tick.Stop()
	last := modTime(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			if err := b.id.Reload(); err != nil {
				b.log.Error("certificates not reloaded", zap.Error(err))
			} else {
				b.log.Info("certificates reloaded", zap.Time("notAfter", b.id.NotAfter()))
			}
			b.reloadJoinAddresses(path)
		case <-tick.Chan():
			if at := modTime(path); !at.Equal(last) {
				last = at
				b.reloadJoinAddresses(path)
			}
		}
	}
}

// modTime returns the file's modification time, or the zero time if the file
// cannot be read.
func modTime(path string) time.Time {
	i, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return i.ModTime()
}

// reloadJoinAddresses rereads the settings file and applies its join addresses.
func (b *builder) reloadJoinAddresses(path string) {
	s, err := conf.Load(path)
	if err != nil {
		b.log.Error("settings not reloaded, the previous ones remain in effect", zap.Error(err))
		return
	}
	b.finder.SetJoinAddresses(s.Join.Addresses)
	b.log.Info("settings reloaded", zap.Strings("join", s.Join.Addresses))
}
