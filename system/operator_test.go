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

	"cyclamenrelay.example/admin"
	"cyclamenrelay.example/client"
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/leader"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/member"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/state"
	"cyclamenrelay.example/wire"
)

const (
	// failoverTimeout is a time-out longer than a leader election and the repair after it.
	failoverTimeout = 20 * time.Second
	// configLease is the default of freshness.lease. effectLimit is the time within which a
	// change must take effect, the "few seconds" of the requirements.
	configLease = 4 * time.Second
	effectLimit = 10 * time.Second
)

// operator changes the configuration and records which changes were acknowledged.
type operator struct {
	d      *deployment
	node   *link.Node
	client *leader.Client
	https  *client.Client // if set, changes go through the HTTPS API

	mu           sync.Mutex
	seq          int
	acknowledged map[string]model.Item // by name, in the section of teams
	version      uint64
}

func (d *deployment) operator() *operator {
	d.t.Helper()
	d.issueCert("tester", keys.Entry)
	id, err := keys.Load(d.path("ca.pem"), d.path("tester.pem"), d.path("tester-key.pem"))
	assert.NilError(d.t, err)
	clock := clockwork.NewRealClock()
	n := link.New(link.Options{Address: "127.0.0.1:0", Keys: id, Log: zap.NewNop(), Clock: clock})
	assert.NilError(d.t, n.Start(nil))
	d.t.Cleanup(func() { _ = n.Close() })
	f := member.NewFinder(n, clock, zap.NewNop(), wire.Node{Name: "tester"}, d.join)
	return &operator{
		d: d, node: n, acknowledged: map[string]model.Item{},
		client: &leader.Client{Node: n, Finder: f, Clock: clock, Log: zap.NewNop(), Groups: 4},
	}
}

// useHTTPS makes later changes go through the operators' HTTPS API of all entries.
func (o *operator) useHTTPS() {
	id, err := keys.Load(o.d.path("ca.pem"), o.d.path("operator.pem"), o.d.path("operator-key.pem"))
	assert.NilError(o.d.t, err)
	opts := client.Options{Identity: id, Attempts: 10, AttemptTimeout: 5 * time.Second, Clock: clockwork.NewRealClock()}
	for i := range o.d.spec.entries {
		opts.Servers = append(opts.Servers, "https://"+o.d.operatorsAddr(i+1))
	}
	o.https, err = client.New(opts)
	assert.NilError(o.d.t, err)
}

// propose sends a change, retrying until it is answered or the limit has passed.
func (o *operator) propose(c model.Change, limit time.Duration) (model.ChangeResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if o.https != nil {
		a, err := o.https.Change(ctx, admin.ChangeRequest{
			ID: c.ID, Section: c.Key.Section, Name: c.Key.Name, Expected: c.Expected, Value: c.Value,
		})
		item := model.Item{Key: c.Key, Count: a.Item.Count, Version: a.Item.Version, Value: a.Item.Value}
		return model.ChangeResult{Accepted: a.Accepted, Item: item, Version: a.Version, Reason: a.Reason}, err
	}
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

// change changes a team. Every fourth change is resent with the same ID and must get
// the same answer. It must be called by one goroutine at a time.
func (o *operator) change(name string) {
	o.mu.Lock()
	o.seq++
	c := model.Change{
		ID: changeID(o.seq), Operator: "tester", Key: model.ItemKey{Section: model.SectionTeam, Name: name},
		Expected: o.acknowledged[name].Count, Value: fmt.Appendf(nil, `{"quota":%d,"weight":1}`, o.seq),
	}
	o.mu.Unlock()
	r, err := o.propose(c, failoverTimeout)
	if !assert.Check(o.d.t, err, "change %s", c.ID) {
		return
	}
	assert.Check(o.d.t, r.Accepted, "change %s: %s", c.ID, r.Reason)
	o.mu.Lock()
	assert.Check(o.d.t, r.Version > o.version, "version %d after %d", r.Version, o.version)
	o.acknowledged[name], o.version = r.Item, r.Version
	o.mu.Unlock()
	if o.seq%4 == 0 {
		again, err := o.propose(c, failoverTimeout)
		assert.Check(o.d.t, err)
		assert.Check(o.d.t, again.Accepted && again.Version == r.Version, "a resend of %s got %+v after %+v", c.ID, again, r)
	}
}

// drain adds or removes a drain of the targets that a selector matches.
func (o *operator) drain(name, selector string, add bool) {
	o.d.t.Helper()
	key := model.ItemKey{Section: model.SectionDrain, Name: name}
	o.mu.Lock()
	o.seq++
	c := model.Change{ID: changeID(o.seq), Operator: "tester", Key: key, Expected: o.acknowledged[name].Count}
	o.mu.Unlock()
	if add {
		c.Value = fmt.Appendf(nil, `{"targets":%q}`, selector)
	}
	r, err := o.propose(c, failoverTimeout)
	assert.NilError(o.d.t, err)
	assert.Assert(o.d.t, r.Accepted, r.Reason)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.acknowledged[name], o.version = r.Item, r.Version
}

// checkConfig compares the keepers' configuration with the acknowledged changes.
func (o *operator) checkConfig() {
	o.d.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), failoverTimeout)
	defer cancel()
	b, err := o.client.Query(ctx, leader.ConfigGroup, state.ConfigQueries.MustEncode(state.GetDelta{}))
	assert.NilError(o.d.t, err)
	a, err := state.ConfigAnswers.Decode(b)
	assert.NilError(o.d.t, err)
	got := a.(state.Delta).Delta
	assert.Equal(o.d.t, got.To, o.version)
	n := 0
	for _, i := range got.Items {
		want, ok := o.acknowledged[i.Key.Name]
		assert.Assert(o.d.t, ok, "item %q was never acknowledged", i.Key.Name)
		assert.Equal(o.d.t, i.Count, want.Count, i.Key.Name)
		assert.Assert(o.d.t, bytes.Equal(i.Value, want.Value), "%s is %s, acknowledged %s", i.Key.Name, i.Value, want.Value)
		n++
	}
	assert.Equal(o.d.t, n, len(o.acknowledged))
}

// keeperState returns the state that a keeper reports, and false if it does not answer.
func (o *operator) keeperState(keeper int) (wire.KeeperState, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	a, err := o.node.Call(ctx, link.Dest{Address: o.d.join[keeper], Role: keys.Keeper}, wire.GetKeeperState{})
	s, ok := a.(wire.KeeperState)
	return s, err == nil && ok
}

// waitLeader waits until a group has a leader and returns the name of that keeper.
func (o *operator) waitLeader(group uint64) string {
	o.d.t.Helper()
	var name string
	poll.WaitOn(o.d.t, func(poll.LogT) poll.Result {
		best := uint64(0)
		for i := range o.d.join {
			s, ok := o.keeperState(i)
			if ok && s.Groups[group].IsLeader && s.Groups[group].Term > best {
				name, best = s.Self.Name, s.Groups[group].Term
			}
		}
		if best > 0 {
			return poll.Success()
		}
		return poll.Continue("group %d has no leader", group)
	}, poll.WithTimeout(failoverTimeout), poll.WithDelay(50*time.Millisecond))
	return name
}

// waitRepaired waits until the members of each group are exactly the replicas that the
// keepers run now, all of them voters and so caught up.
func (o *operator) waitRepaired() {
	o.d.t.Helper()
	poll.WaitOn(o.d.t, func(poll.LogT) poll.Result {
		states := map[string]wire.KeeperState{}
		for i := range o.d.join {
			s, ok := o.keeperState(i)
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

// scrape reads a node's configuration version and usability from its metrics; ok is
// false if they cannot be read.
func (d *deployment) scrape(name string) (version uint64, usable, ok bool) {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + d.metricsAddr(name) + "/metrics")
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

// watchVersions checks until stop or the test's end that the configuration version of
// no entry or agent goes back, not even across restarts: a usable configuration is
// never older than an earlier usable one. In a node's metrics usable stands before
// version.
func (d *deployment) watchVersions() (stop func()) {
	var wg sync.WaitGroup
	done := make(chan struct{})
	for name := range d.linkAddrs {
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

// waitInForce waits until every entry and agent has the version, or a newer one, as a
// usable configuration.
func (d *deployment) waitInForce(version uint64) {
	d.t.Helper()
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		for name := range d.linkAddrs {
			if strings.HasPrefix(name, "keeper") {
				continue
			}
			if v, usable, ok := d.scrape(name); !ok || !usable || v < version {
				return poll.Continue("%s is at version %d, usable %v, want version %d", name, v, usable, version)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(effectLimit), poll.WithDelay(50*time.Millisecond))
}

// repeatInBackground calls f repeatedly in the background until stop is called or the test ends.
func (d *deployment) repeatInBackground(f func()) (stop func()) {
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

// changeID returns a change ID in the form that the operators' HTTPS API requires, a UUID.
func changeID(seq int) string { return fmt.Sprintf("00000000-0000-4000-8000-%012d", seq) }
