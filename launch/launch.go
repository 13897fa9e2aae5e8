// Package launch starts a whole deployment on one host as processes: keepers,
// entries, agents and simulated targets, with the network delays between data
// centres and to callers added by a fault relay.
package launch

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"time"

	"cyclamenrelay.example/admin"
	"cyclamenrelay.example/client"
	"cyclamenrelay.example/conf"
	"cyclamenrelay.example/fault"
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/layout"
	"cyclamenrelay.example/units"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
)

const (
	operator          = "operator"
	certValidity      = 30 * 24 * time.Hour
	fileMode          = 0o600
	readyPollInterval = 50 * time.Millisecond
	stopTimeout       = 10 * time.Second

	operatorAttempts       = 10
	operatorAttemptTimeout = 2 * time.Second
)

// Options describe the deployment to start.
type Options struct {
	Spec layout.Spec
	// Folder receives all files. It must be empty.
	Folder string
	// Programs is the folder of the built relayd and stand.
	Programs string
	// DataCentreDelay is the one-way network delay between data centres, CallerDelay that
	// between entries and callers.
	DataCentreDelay time.Duration
	CallerDelay     time.Duration
	// ChangeSettings returns the changed settings of a process, nil for no changes.
	ChangeSettings func(conf.Settings) conf.Settings
	// TargetArgs are additional arguments of each target.
	TargetArgs []string
	Seed       uint64
	Clock      clockwork.Clock
}

// Deployment is a running deployment.
type Deployment struct {
	opts     Options
	relay    *fault.Relay
	settings []conf.Settings
	targets  []layout.Target
	procs    map[string]*process
	names    []string // of the processes, in the order of their start
}

// Start starts the deployment and returns when every entry is ready. The caller
// must Stop the returned Deployment, also after an error.
func Start(ctx context.Context, o Options) (*Deployment, error) {
	d := &Deployment{opts: o, procs: map[string]*process{}}
	if err := d.writeFilesAndOpenRelay(); err != nil {
		return d, err
	}
	for _, s := range d.settings {
		file := filepath.Join(o.Folder, s.Node.Name+".json")
		if err := d.startProcess(s.Node.Name, "relayd", "--settings", file); err != nil {
			return d, err
		}
	}
	for _, t := range d.targets {
		if err := d.startProcess(t.Name, "stand", d.targetArgs(t)...); err != nil {
			return d, err
		}
	}
	return d, d.waitReady(ctx)
}

// writeFilesAndOpenRelay writes the settings and certificates and opens the relay.
func (d *Deployment) writeFilesAndOpenRelay() error {
	files, err := d.opts.Spec.Files()
	if err != nil {
		return trace.Wrap(err)
	}
	for _, f := range files {
		if f.Name == layout.TargetsFile {
			if err := json.Unmarshal(f.Body, &d.targets); err != nil {
				return trace.Wrap(err)
			}
			continue
		}
		s, err := conf.Parse(f.Body)
		if err != nil {
			return trace.Wrap(err)
		}
		if d.opts.ChangeSettings != nil {
			s = d.opts.ChangeSettings(s)
		}
		d.settings = append(d.settings, s)
	}
	if err := d.openRelay(); err != nil {
		return err
	}
	for _, s := range d.settings {
		b, err := d.withRelayAddresses(s).Sparse()
		if err != nil {
			return trace.Wrap(err)
		}
		if err := os.WriteFile(filepath.Join(d.opts.Folder, s.Node.Name+".json"), b, fileMode); err != nil {
			return trace.ConvertSystemError(err)
		}
	}
	_, err = layout.IssueCertificates(d.opts.Folder, operator, d.opts.Clock.Now(), certValidity)
	return trace.Wrap(err)
}

// openRelay opens a relay link in front of each node's UDP address and of each
// entry's caller address.
func (d *Deployment) openRelay() error {
	var links []fault.Link
	callerDelay := fault.Rule{Delay: units.Duration(d.opts.CallerDelay)}
	for _, s := range d.settings {
		links = append(links, fault.Link{Name: s.Node.Name, Network: "udp", Listen: "127.0.0.1:0", To: s.Node.Listen})
		if s.Node.Has(keys.Entry) {
			links = append(links, fault.Link{
				Name: callersLinkName(s.Node.Name), Network: "tcp", Listen: "127.0.0.1:0", To: s.Entry.Callers,
				Rules: fault.Rules{Forward: callerDelay, Backward: callerDelay},
			})
		}
	}
	var err error
	if d.relay, err = fault.New(links, d.opts.Clock, d.opts.Seed); err != nil {
		return trace.Wrap(err)
	}
	return d.RestoreLinks()
}

func callersLinkName(name string) string { return name + "-callers" }

// RestoreLinks restores the delay of every link between nodes and so ends all cuts.
func (d *Deployment) RestoreLinks() error {
	for _, s := range d.settings {
		for _, from := range d.settings {
			if err := d.relay.SetSourceRules(s.Node.Name, from.Node.Listen, d.delayRules(s, from)); err != nil {
				return trace.Wrap(err)
			}
		}
	}
	return nil
}

func (d *Deployment) delayRules(a, b conf.Settings) fault.Rules {
	if a.Node.DataCentre == b.Node.DataCentre {
		return fault.Rules{}
	}
	delay := fault.Rule{Delay: units.Duration(d.opts.DataCentreDelay)}
	return fault.Rules{Forward: delay, Backward: delay}
}

// Isolate silently drops all packets between the named node and all others.
func (d *Deployment) Isolate(name string) error {
	i := slices.IndexFunc(d.settings, func(s conf.Settings) bool { return s.Node.Name == name })
	if i < 0 {
		return trace.NotFound("node %q is unknown", name)
	}
	cut := fault.Rules{Forward: fault.Rule{Cut: true}, Backward: fault.Rule{Cut: true}}
	for _, s := range d.settings {
		for _, pair := range [][2]conf.Settings{{s, d.settings[i]}, {d.settings[i], s}} {
			if err := d.relay.SetSourceRules(pair[0].Node.Name, pair[1].Node.Listen, cut); err != nil {
				return trace.Wrap(err)
			}
		}
	}
	return nil
}

// withRelayAddresses returns s with the nodes' addresses replaced by those of
// the relay links in front of them.
func (d *Deployment) withRelayAddresses(s conf.Settings) conf.Settings {
	linkAddress := map[string]string{}
	for _, o := range d.settings {
		linkAddress[o.Node.Listen] = d.relay.Addr(o.Node.Name).String()
	}
	s.Node.Advertise = linkAddress[s.Node.Listen]
	for _, t := range d.targets {
		if t.Platform == s.Agent.Platform {
			s.Agent.Platform = t.URL // the simulated target also serves as the platform
		}
	}
	s.Join.Addresses = slices.Clone(s.Join.Addresses)
	for i, a := range s.Join.Addresses {
		s.Join.Addresses[i] = linkAddress[a]
	}
	s.Keeper.InitialMembers = slices.Clone(s.Keeper.InitialMembers)
	for i, m := range s.Keeper.InitialMembers {
		s.Keeper.InitialMembers[i].Address = linkAddress[m.Address]
	}
	return s
}

// waitReady waits until every entry accepts requests and knows all targets. It
// fails as soon as a process has ended.
func (d *Deployment) waitReady(ctx context.Context) error {
	operators := d.OperatorURLs()
	for i, u := range d.EntryURLs() {
		c, err := d.Client(operators[i])
		if err != nil {
			return err
		}
		for !answersOK(ctx, u+"/v1/ready") || d.knownTargets(ctx, c) < len(d.targets) {
			if name := d.endedProcess(); name != "" {
				return trace.ConnectionProblem(nil, "%s has ended: see %s", name, filepath.Join(d.opts.Folder, name+".log"))
			}
			select {
			case <-ctx.Done():
				return trace.ConnectionProblem(ctx.Err(), "%s is not ready", u)
			case <-d.opts.Clock.After(readyPollInterval):
			}
		}
	}
	return nil
}

// knownTargets returns the number of targets that an entry knows.
func (d *Deployment) knownTargets(ctx context.Context, c *client.Client) int {
	var a admin.TargetsAnswer
	if err := c.Get(ctx, "/v1/targets", nil, &a); err != nil {
		return 0
	}
	return a.Known
}

// Client returns a client with the operator's certificate for the entries at the URLs.
func (d *Deployment) Client(servers ...string) (*client.Client, error) {
	f := keys.Folder(filepath.Join(d.opts.Folder, "tls"))
	id, err := keys.Load(f.Cert("ca"), f.Cert(operator), f.Key(operator))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return client.New(client.Options{
		Servers: servers, Identity: id, Attempts: operatorAttempts, AttemptTimeout: operatorAttemptTimeout, Clock: d.opts.Clock,
	})
}

func answersOK(ctx context.Context, u string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
