// Package fault relays UDP and TCP between loopback ports and injects network
// faults: delay, loss, duplication, reordering, silent partitions (cuts) and
// freezes.
package fault

import (
	"encoding/json"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"cyclamenrelay.example/units"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
)

// Rule lists the faults of one direction of a link. Loss, duplication
// and reordering act on UDP only, since TCP hides them.
type Rule struct {
	// Each packet is delayed by Delay plus a uniform random part of Jitter.
	Delay  units.Duration `json:"delay,omitempty"`
	Jitter units.Duration `json:"jitter,omitempty"`
	// Loss, Duplicate and Reorder are probabilities for each packet.
	Loss      float64 `json:"loss,omitempty"`
	Duplicate float64 `json:"duplicate,omitempty"`
	Reorder   float64 `json:"reorder,omitempty"`
	// Cut silently drops all UDP packets, and holds back TCP data without
	// closing the connection.
	Cut bool `json:"cut,omitempty"`
	// Freeze holds back all traffic and delivers it once it is unset.
	Freeze bool `json:"freeze,omitempty"`
}

// Check returns a trace.BadParameter that names the first invalid field.
func (r Rule) Check() error {
	for _, p := range []struct {
		name  string
		value float64
	}{{"loss", r.Loss}, {"duplicate", r.Duplicate}, {"reorder", r.Reorder}} {
		if p.value < 0 || p.value > 1 {
			return trace.BadParameter("%s %v is not within 0 to 1", p.name, p.value)
		}
	}
	return nil
}

// Rules are the rules of a link's two directions.
type Rules struct {
	// Forward applies to traffic towards the address To, Backward to traffic from it.
	Forward  Rule `json:"forward"`
	Backward Rule `json:"back"`
}

// Link relays traffic that arrives at the address Listen to the address To.
type Link struct {
	Name string `json:"name"`
	// Network is udp or tcp.
	Network string `json:"network"`
	// Listen and To are IP addresses with ports.
	Listen string `json:"listen"`
	To     string `json:"to"`
	Rules
}

// ReadLinks reads a JSON file of the form {"links":[...]}. The error is a
// trace.BadParameter.
func ReadLinks(r io.Reader) ([]Link, error) {
	var file struct {
		Links []Link `json:"links"`
	}
	dec := json.NewDecoder(r)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&file); err != nil {
		return nil, trace.BadParameter("links: %v", err)
	}
	return file.Links, nil
}

// Relay is a set of running links.
type Relay struct {
	links map[string]*link
}

// New opens the links. The error is a trace.BadParameter or from the network.
func New(links []Link, c clockwork.Clock, seed uint64) (*Relay, error) {
	r := &Relay{links: map[string]*link{}}
	for i, cfg := range links {
		l, err := r.openLink(cfg, c, rand.New(rand.NewPCG(seed, uint64(i))))
		if err != nil {
			r.Close()
			return nil, trace.Wrap(err, "link %q", cfg.Name)
		}
		r.links[cfg.Name] = l
	}
	return r, nil
}

func (r *Relay) openLink(cfg Link, c clockwork.Clock, rnd *rand.Rand) (*link, error) {
	if _, ok := r.links[cfg.Name]; ok || cfg.Name == "" {
		return nil, trace.BadParameter("name is empty or taken")
	}
	l := &link{
		cfg: cfg, clock: c, rand: rnd,
		sourceRules: map[string]Rules{}, changed: make(chan struct{}), closed: make(chan struct{}), closers: map[io.Closer]bool{},
	}
	if err := l.setRules(cfg.Rules); err != nil {
		return nil, err
	}
	switch cfg.Network {
	case "tcp":
		return l, l.listenTCP()
	case "udp":
		return l, l.listenUDP()
	}
	return nil, trace.BadParameter("network %q is neither udp nor tcp", cfg.Network)
}

// SetRules changes the rules of a link. The error is a trace.NotFound or a
// trace.BadParameter.
func (r *Relay) SetRules(name string, rules Rules) error {
	l, ok := r.links[name]
	if !ok {
		return trace.NotFound("link %q is unknown", name)
	}
	return l.setRules(rules)
}

// SetSourceRules sets the rules of one link for the traffic from and to a client
// address; they replace the link's own rules until ClearSourceRules.
// The error is a trace.NotFound or a trace.BadParameter.
func (r *Relay) SetSourceRules(name, source string, rules Rules) error {
	l, ok := r.links[name]
	if !ok {
		return trace.NotFound("link %q is unknown", name)
	}
	return l.setSourceRules(source, &rules)
}

// ClearSourceRules removes the rules of a client address. The error is a trace.NotFound.
func (r *Relay) ClearSourceRules(name, source string) error {
	l, ok := r.links[name]
	if !ok {
		return trace.NotFound("link %q is unknown", name)
	}
	return l.setSourceRules(source, nil)
}

// Addr returns the address that a link listens on, nil for an unknown link.
func (r *Relay) Addr(name string) net.Addr {
	if l, ok := r.links[name]; ok {
		return l.addr
	}
	return nil
}

// Close closes all links and their connections.
func (r *Relay) Close() {
	for _, l := range r.links {
		l.close()
	}
	for _, l := range r.links {
		l.wg.Wait()
	}
}

// Handler serves GET /v1/links and PUT /v1/links/{name} with Rules as JSON.
func (r *Relay) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/links", func(w http.ResponseWriter, _ *http.Request) {
		out := []Link{}
		for _, name := range slices.Sorted(maps.Keys(r.links)) {
			l := r.links[name]
			cfg := l.cfg
			cfg.Listen, cfg.Rules = l.addr.String(), l.currentRules()
			out = append(out, cfg)
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(out)
	})
	mux.HandleFunc("PUT /v1/links/{name}", func(w http.ResponseWriter, req *http.Request) {
		var rules Rules
		dec := json.NewDecoder(http.MaxBytesReader(w, req.Body, 1<<16))
		dec.DisallowUnknownFields()
		err := dec.Decode(&rules)
		if err != nil {
			err = trace.BadParameter("rules: %v", err)
		} else {
			err = r.SetRules(req.PathValue("name"), rules)
		}
		if err != nil {
			http.Error(w, trace.UserMessage(err), trace.ErrorToCode(err))
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

// link is one running link.
type link struct {
	cfg   Link
	clock clockwork.Clock
	addr  net.Addr
	wg    sync.WaitGroup

	mu          sync.Mutex
	rand        *rand.Rand
	rules       Rules
	sourceRules map[string]Rules // by the client's address; they replace rules
	changed     chan struct{}    // closed when the rules change
	closed      chan struct{}
	closeCalled bool
	closers     map[io.Closer]bool
}

func (r Rules) check() error {
	if err := r.Forward.Check(); err != nil {
		return err
	}
	return r.Backward.Check()
}

func (l *link) setRules(r Rules) error {
	if err := r.check(); err != nil {
		return err
	}
	l.updateRules(func() { l.rules = r })
	return nil
}

func (l *link) setSourceRules(source string, r *Rules) error {
	if r == nil {
		l.updateRules(func() { delete(l.sourceRules, source) })
		return nil
	}
	if err := r.check(); err != nil {
		return err
	}
	l.updateRules(func() { l.sourceRules[source] = *r })
	return nil
}

func (l *link) updateRules(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *link) currentRules() Rules {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rules
}

// rule returns the rule in force for one direction of a client's traffic, and a
// channel that is closed at the next change of the rules.
func (l *link) rule(source string, back bool) (Rule, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rules, ok := l.sourceRules[source]
	if !ok {
		rules = l.rules
	}
	if back {
		return rules.Backward, l.changed
	}
	return rules.Forward, l.changed
}

// withProbability returns true with probability p.
func (l *link) withProbability(p float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rand.Float64() < p
}

// drawDelay returns the delay of one packet, with random jitter.
func (l *link) drawDelay(r Rule) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return r.Delay.Std() + time.Duration(l.rand.Float64()*float64(r.Jitter))
}

// track registers c to be closed with the link. When the link is already closed
// it closes c and returns false.
func (l *link) track(c io.Closer) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closeCalled {
		_ = c.Close()
		return false
	}
	l.closers[c] = true
	return true
}

func (l *link) closeTracked(c io.Closer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.closers, c)
	_ = c.Close()
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closeCalled {
		return
	}
	l.closeCalled = true
	close(l.closed)
	for c := range l.closers {
		_ = c.Close()
	}
}
