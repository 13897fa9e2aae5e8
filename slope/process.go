package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/leader"
	"cyclamenrelay.example/ledger"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/member"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/state"
	"cyclamenrelay.example/wire"
)

const (
	settle       = 15 * time.Second
	idleTime     = 10 * time.Second
	loadTime     = 5 * time.Second
	callers      = 32
	changes      = 20
	changePause  = 500 * time.Millisecond
	proposeLimit = 10 * time.Second
	versionName  = "relay_config_version"
)

// measureAgents measures real processes against the number of agents.
func measureAgents(ctx context.Context, o options, r *report) error {
	for _, n := range o.Agents {
		d, err := deploy(ctx, o.Relayd, size{keepers: 3, entries: 2, agents: n, groups: 4})
		if err != nil {
			return err
		}
		err = d.agentCosts(ctx, r, float64(n))
		d.stop()
		if err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) agentCosts(ctx context.Context, r *report, n float64) error {
	if err := d.idle(ctx, r, "agents", n); err != nil {
		return err
	}
	if err := d.tasks(ctx, r, n); err != nil {
		return err
	}
	return d.changes(ctx, r, n)
}

// measureEntries measures real processes against the number of entries.
func measureEntries(ctx context.Context, o options, r *report) error {
	for _, n := range []int{1, 2, 4, 8} {
		d, err := deploy(ctx, o.Relayd, size{keepers: 3, entries: n, agents: 20, groups: 4})
		if err != nil {
			return err
		}
		err = d.idle(ctx, r, "entries", float64(n))
		d.stop()
		if err != nil {
			return err
		}
	}
	return nil
}

// idle measures what the processes use without work.
func (d *deployment) idle(ctx context.Context, r *report, x string, n float64) error {
	if err := d.sleep(ctx, settle); err != nil {
		return err
	}
	type sample struct {
		use                   usage
		bytes, packets        float64 // between it and the entries
		toKeepers, keeperPkts float64
	}
	roles := map[string][]*process{"keeper": d.keepers, "entry": d.entries, "agent": d.agents}
	take := func(ps []*process) (s sample) {
		s.use = use(ps)
		s.bytes, s.packets = traffic(d.entries, ps)
		s.toKeepers, s.keeperPkts = traffic(d.keepers, ps)
		return s
	}
	before := map[string]sample{}
	for name, ps := range roles {
		before[name] = take(ps)
	}
	began := d.clock.Now()
	if err := d.sleep(ctx, idleTime); err != nil {
		return err
	}
	for _, name := range []string{"agent", "entry", "keeper"} {
		ps := roles[name]
		if len(ps) == 0 {
			continue
		}
		b, a := before[name], take(ps)
		each := d.clock.Since(began).Seconds() * float64(len(ps))
		label := name + " against " + x + ": "
		r.add(label+"processor", x, "us/s", n, float64((a.use.cpu-b.use.cpu).Microseconds())/each)
		r.add(label+"memory", x, "MB", n, a.use.memory/1e6)
		if name == "agent" {
			r.add(label+"traffic with entries", x, "B/s", n, (a.bytes-b.bytes)/each)
			r.add(label+"packets with entries", x, "1/s", n, (a.packets-b.packets)/each)
		}
		r.add(label+"traffic to keepers", x, "B/s", n, (a.toKeepers-b.toKeepers)/each)
	}
	return nil
}

// tasks measures entries and agents under load.
func (d *deployment) tasks(ctx context.Context, r *report, n float64) error {
	entries, agents := use(d.entries), use(d.agents)
	done, failed := d.load(ctx)
	if done == 0 {
		return trace.ConnectionProblem(nil, "no task was answered, %d failed", failed)
	}
	e, a := use(d.entries), use(d.agents)
	per := float64(done)
	r.add("task at an entry: processor", "agents", "us", n, float64((e.cpu-entries.cpu).Microseconds())/per)
	r.add("task at an entry: allocations", "agents", "1", n, (e.allocs-entries.allocs)/per)
	r.add("task at an agent: processor", "agents", "us", n, float64((a.cpu-agents.cpu).Microseconds())/per)
	r.add("task at an agent: allocations", "agents", "1", n, (a.allocs-agents.allocs)/per)
	r.add("tasks", "agents", "1/s", n, per/loadTime.Seconds())
	r.add("tasks that were not complete", "agents", "1", n, float64(failed))
	return ctx.Err()
}

func (d *deployment) load(ctx context.Context) (done, failed int64) {
	ctx, cancel := context.WithTimeout(ctx, loadTime)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	defer client.CloseIdleConnections()
	var wg sync.WaitGroup
	var ok, bad atomic.Int64
	for i := range callers {
		to := "http://" + d.entries[i%len(d.entries)].http + "/v1/requests"
		wg.Go(func() {
			for ctx.Err() == nil {
				req, err := http.NewRequestWithContext(ctx, http.MethodPost, to, strings.NewReader("{}"))
				if err != nil {
					return
				}
				req.Header.Set("Relay-Labels", "kind=kind-1,team=team-1")
				resp, err := client.Do(req)
				if err != nil {
					continue
				}
				_ = resp.Body.Close()
				if resp.Header.Get("Relay-Outcome") == "complete" {
					ok.Add(1)
				} else {
					bad.Add(1)
				}
			}
		})
	}
	wg.Wait()
	return ok.Load(), bad.Load()
}

// probe returns a client of the log groups that is no entry to the others.
func (d *deployment) probe(groups int) (*leader.Client, func(), error) {
	folder := keys.Folder(d.dir + "/tls")
	if err := folder.Issue(d.ca, "probe", []keys.Role{keys.Entry}, d.clock.Now(), certLife, host); err != nil {
		return nil, nil, err
	}
	id, err := keys.Load(folder.Cert("ca"), folder.Cert("probe"), folder.Key("probe"))
	if err != nil {
		return nil, nil, err
	}
	node := link.New(link.Options{Address: host + ":0", Keys: id, Log: zap.NewNop(), Clock: d.clock})
	if err := node.Start(nil); err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = node.Run(ctx) }()
	finder := member.NewFinder(node, d.clock, zap.NewNop(), wire.Node{Name: "probe"}, d.join)
	return &leader.Client{Node: node, Finder: finder, Clock: d.clock, Log: zap.NewNop(), Groups: groups}, cancel, nil
}

// changes measures changes of the configuration and the time until every agent has one.
func (d *deployment) changes(ctx context.Context, r *report, n float64) error {
	c, stop, err := d.probe(4)
	if err != nil {
		return err
	}
	defer stop()
	if _, err := d.change(ctx, c, 0); err != nil {
		return err
	}
	roles := [][]*process{d.keepers, d.entries, d.agents}
	idle, err := d.during(ctx, roles, func() error { return d.sleep(ctx, changes*changePause) })
	if err != nil {
		return err
	}
	busy, err := d.during(ctx, roles, func() error {
		for i := range changes {
			if _, err := d.change(ctx, c, i+1); err != nil {
				return err
			}
			if err := d.sleep(ctx, changePause); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	for i, name := range []string{"keeper", "entry", "agent"} {
		each := changes * float64(len(roles[i]))
		r.add("change at a "+name+": processor", "agents", "us", n, (busy[i].cpu-idle[i].cpu)/each)
		if name == "agent" {
			r.add("change at an agent: traffic", "agents", "B", n, (busy[i].bytes-idle[i].bytes)/each)
		}
	}
	return d.spread(ctx, c, r, n)
}

type spent struct{ cpu, bytes float64 } // microseconds, bytes

func (d *deployment) during(ctx context.Context, roles [][]*process, f func() error) ([]spent, error) {
	out := make([]spent, len(roles))
	for i, ps := range roles {
		b, _ := traffic(slices.Concat(d.entries, d.keepers), ps)
		out[i] = spent{-float64(use(ps).cpu.Microseconds()), -b}
	}
	if err := f(); err != nil {
		return nil, err
	}
	for i, ps := range roles {
		b, _ := traffic(slices.Concat(d.entries, d.keepers), ps)
		out[i].cpu += float64(use(ps).cpu.Microseconds())
		out[i].bytes += b
	}
	return out, ctx.Err()
}

// change makes a change and returns its version.
func (d *deployment) change(ctx context.Context, c *leader.Client, i int) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeLimit)
	defer cancel()
	v, err := json.Marshal(model.Rule{Work: fmt.Sprint("kind=none-", i), Weight: 1})
	if err != nil {
		return 0, trace.Wrap(err)
	}
	a, err := c.Propose(ctx, leader.ConfigGroup, state.ConfigCommands.MustEncode(state.Change{Change: model.Change{
		ID: fmt.Sprint("change-", i), Operator: "probe", Key: model.ItemKey{Section: model.SectionRule, Name: fmt.Sprint("none-", i)}, Value: v,
	}}))
	if err != nil {
		return 0, err
	}
	res, err := state.ConfigAnswers.Decode(a)
	if err != nil {
		return 0, err
	}
	changed, ok := res.(state.Changed)
	if !ok || !changed.Result.Accepted {
		return 0, trace.BadParameter("change refused: %+v", res)
	}
	return changed.Result.Version, nil
}

// spread measures the time from an accepted change until each agent has it.
func (d *deployment) spread(ctx context.Context, c *leader.Client, r *report, n float64) error {
	const repeats = 3
	var worst time.Duration
	for i := range repeats {
		v, err := d.change(ctx, c, changes+1+i)
		if err != nil {
			return err
		}
		began := d.clock.Now()
		var wg sync.WaitGroup
		var late atomic.Int64
		for _, p := range d.agents {
			wg.Go(func() {
				_ = d.until(ctx, func() bool { return p.metric(versionName) >= float64(v) })
				took := int64(d.clock.Since(began))
				for old := late.Load(); took > old && !late.CompareAndSwap(old, took); old = late.Load() {
				}
			})
		}
		wg.Wait()
		worst = max(worst, time.Duration(late.Load()))
	}
	r.add("change until the last agent has it", "agents", "ms", n, float64(worst.Milliseconds()))
	return ctx.Err()
}

// measureGroups measures three keepers against the number of ledger groups.
func measureGroups(ctx context.Context, o options, r *report) error {
	for _, n := range []int{1, 4, 8, 16} {
		d, err := deploy(ctx, o.Relayd, size{keepers: 3, groups: n})
		if err != nil {
			return err
		}
		err = d.records(ctx, r, n)
		d.stop()
		if err != nil {
			return err
		}
	}
	return nil
}

// records measures jobs that are opened and finished by many writers at once.
func (d *deployment) records(ctx context.Context, r *report, groups int) error {
	c, stop, err := d.probe(groups)
	if err != nil {
		return err
	}
	defer stop()
	if err := d.until(ctx, func() bool { return d.propose(ctx, c, "first", openJob("first")) }); err != nil {
		return trace.Wrap(err, "%s", d.outputs())
	}
	if err := d.idle(ctx, r, "groups", float64(groups)); err != nil {
		return err
	}
	for _, writers := range []int{16, 64, 256} {
		before, own := use(d.keepers), ownCPU()
		done, err := d.jobs(ctx, c, writers)
		if err != nil {
			return err
		}
		after := use(d.keepers)
		x := fmt.Sprintf("%d writers", writers)
		r.add("jobs opened and finished, "+x, "groups", "1/s", float64(groups), done/loadTime.Seconds())
		r.add("job at three keepers, "+x+": processor", "groups", "us", float64(groups), float64((after.cpu-before.cpu).Microseconds())/done)
		r.add("job at its entry's client, "+x+": processor", "groups", "us", float64(groups), float64((ownCPU()-own).Microseconds())/done)
	}
	return nil
}

func (d *deployment) jobs(ctx context.Context, c *leader.Client, writers int) (float64, error) {
	var wg sync.WaitGroup
	var done atomic.Int64
	began := d.clock.Now()
	run := began.UnixNano()
	for w := range writers {
		wg.Go(func() {
			for i := 0; ctx.Err() == nil && d.clock.Since(began) < loadTime; i++ {
				key := fmt.Sprintf("%d-%d-%d", run, w, i)
				if d.propose(ctx, c, key, openJob(key)) && d.propose(ctx, c, key, finishJob(key, 0)) {
					done.Add(1)
				}
			}
		})
	}
	wg.Wait()
	if done.Load() == 0 {
		return 0, trace.ConnectionProblem(ctx.Err(), "no job was recorded")
	}
	return float64(done.Load()), nil
}

func (d *deployment) propose(ctx context.Context, c *leader.Client, key string, command []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, proposeLimit)
	defer cancel()
	a, err := c.Propose(ctx, c.GroupOf(key), command)
	if err != nil {
		return false
	}
	res, err := ledger.Results.Decode(a)
	j, ok := res.(ledger.JobResult)
	return err == nil && ok && j.Verdict == ledger.Done
}
