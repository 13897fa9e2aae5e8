package system_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/leader"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/member"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/state"
	"cyclamenrelay.example/wire"
)

const (
	// takeOver is longer than an election and the repair after it.
	takeOver = 20 * time.Second
	// freshLease is the default of freshness.lease, soon the brief's "a few seconds".
	freshLease = 4 * time.Second
	soon       = 10 * time.Second
)

// operator changes the configuration and remembers what was acknowledged.
type operator struct {
	d      *deployment
	node   *link.Node
	client *leader.Client

	mu      sync.Mutex
	seq     int
	acked   map[string]model.Item // by name, in the section of teams
	version uint64
}

func (d *deployment) operator() *operator {
	d.t.Helper()
	d.cert("tester", keys.Entry)
	id, err := keys.Load(d.path("ca.pem"), d.path("tester.pem"), d.path("tester-key.pem"))
	assert.NilError(d.t, err)
	clock := clockwork.NewRealClock()
	n := link.New(link.Options{Address: "127.0.0.1:0", Keys: id, Log: zap.NewNop(), Clock: clock})
	assert.NilError(d.t, n.Start(nil))
	d.t.Cleanup(func() { _ = n.Close() })
	f := member.NewFinder(n, clock, zap.NewNop(), wire.Node{Name: "tester"}, d.join)
	return &operator{
		d: d, node: n, acked: map[string]model.Item{},
		client: &leader.Client{Node: n, Finder: f, Clock: clock, Log: zap.NewNop(), Groups: 4},
	}
}

// propose sends a change until it is answered or the limit has passed.
func (o *operator) propose(c model.Change, limit time.Duration) (model.ChangeResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	b, err := o.client.Propose(ctx, leader.ConfigGroup, state.ConfigCommands.MustEncode(state.Change{Change: c}))
	if err != nil {
		return model.ChangeResult{}, err
	}
	a, err := state.ConfigAnswers.Decode(b)
	if err != nil {
		return model.ChangeResult{}, err
	}
	return a.(state.Changed).Result, nil
}

// change makes a change to a team and resends it by its ID: the answer is the
// same. It must be called by one goroutine at a time.
func (o *operator) change(name string) {
	o.mu.Lock()
	o.seq++
	c := model.Change{
		ID: fmt.Sprintf("change-%d", o.seq), Operator: "tester", Key: model.ItemKey{Section: model.SectionTeam, Name: name},
		Expected: o.acked[name].Count, Value: fmt.Appendf(nil, `{"quota":%d,"weight":1}`, o.seq),
	}
	o.mu.Unlock()
	r, err := o.propose(c, takeOver)
	if !assert.Check(o.d.t, err, "change %s", c.ID) {
		return
	}
	assert.Check(o.d.t, r.Accepted, "change %s: %s", c.ID, r.Reason)
	o.mu.Lock()
	assert.Check(o.d.t, r.Version > o.version, "version %d after %d", r.Version, o.version)
	o.acked[name], o.version = r.Item, r.Version
	o.mu.Unlock()
	if o.seq%4 == 0 {
		again, err := o.propose(c, takeOver)
		assert.Check(o.d.t, err)
		assert.Check(o.d.t, again.Accepted && again.Version == r.Version, "a resend of %s got %+v after %+v", c.ID, again, r)
	}
}

// drain adds or removes a drain of the targets that a selector matches.
func (o *operator) drain(name, selector string, on bool) {
	o.d.t.Helper()
	key := model.ItemKey{Section: model.SectionDrain, Name: name}
	o.mu.Lock()
	o.seq++
	c := model.Change{ID: fmt.Sprintf("change-%d", o.seq), Operator: "tester", Key: key, Expected: o.acked[name].Count}
	o.mu.Unlock()
	if on {
		c.Value = fmt.Appendf(nil, `{"targets":%q}`, selector)
	}
	r, err := o.propose(c, takeOver)
	assert.NilError(o.d.t, err)
	assert.Assert(o.d.t, r.Accepted, r.Reason)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.acked[name], o.version = r.Item, r.Version
}

// check compares the configuration with what was acknowledged.
func (o *operator) check() {
	o.d.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), takeOver)
	defer cancel()
	b, err := o.client.Query(ctx, leader.ConfigGroup, state.ConfigQueries.MustEncode(state.Since{}))
	assert.NilError(o.d.t, err)
	a, err := state.ConfigAnswers.Decode(b)
	assert.NilError(o.d.t, err)
	got := a.(state.Delta).Delta
	assert.Equal(o.d.t, got.To, o.version)
	n := 0
	for _, i := range got.Items {
		want, ok := o.acked[i.Key.Name]
		assert.Assert(o.d.t, ok, "item %q was never acknowledged", i.Key.Name)
		assert.Equal(o.d.t, i.Count, want.Count, i.Key.Name)
		assert.Assert(o.d.t, bytes.Equal(i.Value, want.Value), "%s is %s, acknowledged %s", i.Key.Name, i.Value, want.Value)
		n++
	}
	assert.Equal(o.d.t, n, len(o.acked))
}

// ask returns what a keeper says of itself, false when it does not answer.
func (o *operator) ask(keeper int) (wire.KeeperState, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	a, err := o.node.Call(ctx, link.To{Address: o.d.join[keeper], Role: keys.Keeper}, wire.AskKeeper{})
	s, ok := a.(wire.KeeperState)
	return s, err == nil && ok
}

// leads waits until a group has a leader and returns the keeper's name.
func (o *operator) leads(group uint64) string {
	o.d.t.Helper()
	var name string
	poll.WaitOn(o.d.t, func(poll.LogT) poll.Result {
		best := uint64(0)
		for i := range o.d.join {
			s, ok := o.ask(i)
			if ok && s.Groups[group].Leads && s.Groups[group].Term > best {
				name, best = s.Self.Name, s.Groups[group].Term
			}
		}
		if best > 0 {
			return poll.Success()
		}
		return poll.Continue("group %d has no leader", group)
	}, poll.WithTimeout(takeOver), poll.WithDelay(50*time.Millisecond))
	return name
}

// repaired waits until each group has exactly the replicas that the keepers run
// now as voters, all of them caught up.
func (o *operator) repaired() {
	o.d.t.Helper()
	poll.WaitOn(o.d.t, func(poll.LogT) poll.Result {
		states := map[string]wire.KeeperState{}
		for i := range o.d.join {
			s, ok := o.ask(i)
			if !ok {
				return poll.Continue("keeper %d does not answer", i+1)
			}
			states[s.Self.Name] = s
		}
		for _, s := range states {
			for _, g := range s.Groups {
				if len(g.Members) != len(states) {
					return poll.Continue("%s has %d members in group %d", s.Self.Name, len(g.Members), g.Group)
				}
				for _, m := range g.Members {
					if m.ID != states[m.ID.Name].Self || !m.Voter {
						return poll.Continue("%s has %v in group %d", s.Self.Name, m, g.Group)
					}
				}
			}
		}
		return poll.Success()
	}, poll.WithTimeout(startLimit), poll.WithDelay(100*time.Millisecond))
}

// scrape returns the version of a node's configuration and whether it is usable.
func (d *deployment) scrape(name string) (version uint64, usable, ok bool) {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + d.metrics(name) + "/metrics")
	if err != nil {
		return 0, false, false
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, false, false
	}
	for line := range strings.SplitSeq(string(b), "\n") {
		if v, is := strings.CutPrefix(line, "relay_config_usable "); is {
			usable = v == "1"
		}
		if v, is := strings.CutPrefix(line, "relay_config_version "); is {
			f, err := strconv.ParseFloat(v, 64)
			version, ok = uint64(f), err == nil
		}
	}
	return version, usable, ok
}

// watchVersions checks until the test's end that no entry or agent goes back,
// across its restarts too: a usable configuration is never older than an earlier
// usable one. Usable stands before version in a node's metrics.
func (d *deployment) watchVersions() (stop func()) {
	var wg sync.WaitGroup
	done := make(chan struct{})
	for name := range d.real {
		if strings.HasPrefix(name, "keeper") {
			continue
		}
		wg.Go(func() {
			newest := uint64(0)
			for {
				v, usable, ok := d.scrape(name)
				if ok && usable {
					assert.Check(d.t, v >= newest, "%s went from version %d back to %d", name, newest, v)
					newest = max(newest, v)
				}
				select {
				case <-done:
					return
				case <-time.After(50 * time.Millisecond):
				}
			}
		})
	}
	stop = sync.OnceFunc(func() { close(done); wg.Wait() })
	d.t.Cleanup(stop)
	return stop
}

// inForce waits until every entry and agent acts on the version.
func (d *deployment) inForce(version uint64) {
	d.t.Helper()
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		for name := range d.real {
			if strings.HasPrefix(name, "keeper") {
				continue
			}
			if v, usable, ok := d.scrape(name); !ok || !usable || v < version {
				return poll.Continue("%s is at version %d, usable %v, of %d", name, v, usable, version)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(soon), poll.WithDelay(50*time.Millisecond))
}

// during calls f again and again until stop is called or the test ends.
func (d *deployment) during(f func()) (stop func()) {
	var wg sync.WaitGroup
	done := make(chan struct{})
	wg.Go(func() {
		for {
			select {
			case <-done:
				return
			default:
				f()
			}
		}
	})
	stop = sync.OnceFunc(func() { close(done); wg.Wait() })
	d.t.Cleanup(stop)
	return stop
}
