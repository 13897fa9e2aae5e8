// Command relayd is the daemon: an entry, a keeper, an agent, or several of
// them, by its settings.
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
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/logs"
	"cyclamenrelay.example/platform"
	"cyclamenrelay.example/spans"
)

// The exit codes.
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
	b := build(s, id, log)
	go reload(ctx, path, b)
	log.Info("starting", zap.Strings("roles", s.Node.Roles), zap.String("dataCentre", s.Node.DataCentre))
	err = b.k.Run(ctx, time.Duration(s.Entry.DrainTimeout))
	if err != nil {
		log.Error("stopped", zap.Error(err))
		return err
	}
	log.Info("stopped")
	return nil
}

// identity returns the process's identity, as the settings say.
func identity(s conf.Settings) (*keys.Identity, error) {
	if !s.TLS.SelfSigned {
		return keys.Load(s.TLS.CA, s.TLS.Cert, s.TLS.Key)
	}
	var roles []keys.Role
	for _, r := range s.Node.Roles {
		roles = append(roles, keys.Role(r))
	}
	return keys.Ephemeral(clockwork.NewRealClock(), s.Node.Name, roles)
}

// settingsInterval is the time between looks at the settings file, which may
// change without a signal.
const settingsInterval = 2 * time.Second

// reload reads the certificates and the settings again at each SIGHUP, and the
// settings when their file changes. Only the addresses to join by take hold.
func reload(ctx context.Context, path string, b *builder) {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	defer signal.Stop(c)
	tick := b.clock.NewTicker(settingsInterval)
	defer tick.Stop()
	last := modified(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-c:
			if err := b.id.Reload(); err != nil {
				b.log.Error("keys not reloaded", zap.Error(err))
			} else {
				b.log.Info("keys reloaded", zap.Time("notAfter", b.id.NotAfter()))
			}
			b.rejoin(path)
		case <-tick.Chan():
			if at := modified(path); !at.Equal(last) {
				last = at
				b.rejoin(path)
			}
		}
	}
}

// modified returns when the file was last written, the zero time while it is not there.
func modified(path string) time.Time {
	i, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return i.ModTime()
}

// rejoin takes the addresses to join by from the settings file.
func (b *builder) rejoin(path string) {
	s, err := conf.Load(path)
	if err != nil {
		b.log.Error("settings not reloaded, the old ones stay", zap.Error(err))
		return
	}
	b.finder.SetJoin(s.Join.Addresses)
	b.log.Info("settings reloaded", zap.Strings("join", s.Join.Addresses))
}
