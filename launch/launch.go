// Package launch starts a whole deployment on one host as processes: keepers,
// entries, agents and stand-in targets, with the distances between data
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
	operator  = "operator"
	certLife  = 30 * 24 * time.Hour
	fileMode  = 0o600
	readyStep = 50 * time.Millisecond
	stopLimit = 10 * time.Second

	changeTries = 10
	changeLimit = 2 * time.Second
)

// Options say what is started and where.
type Options struct {
	Spec layout.Spec
	// Folder takes all files. It must be empty.
	Folder string
	// Programs is the folder of the built relayd and stand.
	Programs string
	// Between is the time one way between data centres, Callers to callers.
	Between time.Duration
	Callers time.Duration
	// Adapt changes the settings of each process, nil for none.
	Adapt func(conf.Settings) conf.Settings
	// TargetArgs are more arguments of each target.
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
	procs    map[string]*proc
	names    []string // of the processes, in the order of their start
}

// Start starts the deployment and returns when every entry is ready. The caller
// stops it, also after an error when a Deployment is returned.
func Start(ctx context.Context, o Options) (*Deployment, error) {
	r := &Deployment{opts: o, procs: map[string]*proc{}}
	if err := r.prepare(); err != nil {
		return r, err
	}
	for _, s := range r.settings {
		file := filepath.Join(o.Folder, s.Node.Name+".json")
		if err := r.run(s.Node.Name, "relayd", "--settings", file); err != nil {
			return r, err
		}
	}
	for _, t := range r.targets {
		if err := r.run(t.Name, "stand", r.targetArgs(t)...); err != nil {
			return r, err
		}
	}
	return r, r.ready(ctx)
}

// prepare writes the settings and certificates and opens the relay.
func (r *Deployment) prepare() error {
	files, err := r.opts.Spec.Files()
	if err != nil {
		return trace.Wrap(err)
	}
	for _, f := range files {
		if f.Name == layout.TargetsFile {
			if err := json.Unmarshal(f.Body, &r.targets); err != nil {
				return trace.Wrap(err)
			}
			continue
		}
		s, err := conf.Parse(f.Body)
		if err != nil {
			return trace.Wrap(err)
		}
		if r.opts.Adapt != nil {
			s = r.opts.Adapt(s)
		}
		r.settings = append(r.settings, s)
	}
	if err := r.openRelay(); err != nil {
		return err
	}
	for _, s := range r.settings {
		b, err := r.relayed(s).Sparse()
		if err != nil {
			return trace.Wrap(err)
		}
		if err := os.WriteFile(filepath.Join(r.opts.Folder, s.Node.Name+".json"), b, fileMode); err != nil {
			return trace.ConvertSystemError(err)
		}
	}
	_, err = layout.Issue(r.opts.Folder, operator, r.opts.Clock.Now(), certLife)
	return trace.Wrap(err)
}

// openRelay puts a link before each node and before the callers of each entry.
func (r *Deployment) openRelay() error {
	var links []fault.Link
	far := fault.Rule{Delay: units.Duration(r.opts.Callers)}
	for _, s := range r.settings {
		links = append(links, fault.Link{Name: s.Node.Name, Network: "udp", Listen: "127.0.0.1:0", To: s.Node.Listen})
		if s.Node.Has(keys.Entry) {
			links = append(links, fault.Link{
				Name: callers(s.Node.Name), Network: "tcp", Listen: "127.0.0.1:0", To: s.Entry.Callers,
				Rules: fault.Rules{Forward: far, Back: far},
			})
		}
	}
	var err error
	if r.relay, err = fault.New(links, r.opts.Clock, r.opts.Seed); err != nil {
		return trace.Wrap(err)
	}
	return r.Heal()
}

func callers(name string) string { return name + "-callers" }

// Heal gives every link between nodes its distance back.
func (r *Deployment) Heal() error {
	for _, s := range r.settings {
		for _, from := range r.settings {
			if err := r.relay.SetSource(s.Node.Name, from.Node.Listen, r.distance(s, from)); err != nil {
				return trace.Wrap(err)
			}
		}
	}
	return nil
}

func (r *Deployment) distance(a, b conf.Settings) fault.Rules {
	if a.Node.DataCentre == b.Node.DataCentre {
		return fault.Rules{}
	}
	d := fault.Rule{Delay: units.Duration(r.opts.Between)}
	return fault.Rules{Forward: d, Back: d}
}

// Cut drops silently everything between the named node and all others.
func (r *Deployment) Cut(name string) error {
	i := slices.IndexFunc(r.settings, func(s conf.Settings) bool { return s.Node.Name == name })
	if i < 0 {
		return trace.NotFound("node %q is unknown", name)
	}
	cut := fault.Rules{Forward: fault.Rule{Cut: true}, Back: fault.Rule{Cut: true}}
	for _, s := range r.settings {
		for _, pair := range [][2]conf.Settings{{s, r.settings[i]}, {r.settings[i], s}} {
			if err := r.relay.SetSource(pair[0].Node.Name, pair[1].Node.Listen, cut); err != nil {
				return trace.Wrap(err)
			}
		}
	}
	return nil
}

// relayed returns s with the addresses of the links in place of the nodes' own.
func (r *Deployment) relayed(s conf.Settings) conf.Settings {
	front := map[string]string{}
	for _, o := range r.settings {
		front[o.Node.Listen] = r.relay.Addr(o.Node.Name).String()
	}
	s.Node.Advertise = front[s.Node.Listen]
	for _, t := range r.targets {
		if t.Platform == s.Agent.Platform {
			s.Agent.Platform = t.URL // the stand-in is both
		}
	}
	s.Join.Addresses = slices.Clone(s.Join.Addresses)
	for i, a := range s.Join.Addresses {
		s.Join.Addresses[i] = front[a]
	}
	s.Keeper.InitialMembers = slices.Clone(s.Keeper.InitialMembers)
	for i, m := range s.Keeper.InitialMembers {
		s.Keeper.InitialMembers[i].Address = front[m.Address]
	}
	return s
}

// ready waits until every entry takes requests and knows all targets.
func (r *Deployment) ready(ctx context.Context) error {
	operators := r.OperatorURLs()
	for i, u := range r.EntryURLs() {
		c, err := r.Client(operators[i])
		if err != nil {
			return err
		}
		for !get(ctx, u+"/v1/ready") || r.known(ctx, c) < len(r.targets) {
			if name := r.ended(); name != "" {
				return trace.ConnectionProblem(nil, "%s has ended: see %s", name, filepath.Join(r.opts.Folder, name+".log"))
			}
			select {
			case <-ctx.Done():
				return trace.ConnectionProblem(ctx.Err(), "%s is not ready", u)
			case <-r.opts.Clock.After(readyStep):
			}
		}
	}
	return nil
}

// known returns the number of targets that an entry knows.
func (r *Deployment) known(ctx context.Context, c *client.Client) int {
	var a admin.TargetsAnswer
	if err := c.Get(ctx, "/v1/targets", nil, &a); err != nil {
		return 0
	}
	return a.Known
}

// Client returns an operator's client of the entries with the URLs.
func (r *Deployment) Client(servers ...string) (*client.Client, error) {
	f := keys.Folder(filepath.Join(r.opts.Folder, "tls"))
	id, err := keys.Load(f.Cert("ca"), f.Cert(operator), f.Key(operator))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return client.New(client.Options{
		Servers: servers, Identity: id, Attempts: changeTries, AttemptTimeout: changeLimit, Clock: r.opts.Clock,
	})
}

func get(ctx context.Context, u string) bool {
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
