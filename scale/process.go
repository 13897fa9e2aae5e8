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
	idleSettleTime    = 15 * time.Second
	idleTime          = 10 * time.Second
	loadTime          = 5 * time.Second
	concurrentCallers = 32
	changeCount       = 20
	changeInterval    = 500 * time.Millisecond
	proposeTimeout    = 10 * time.Second
	versionMetric     = "relay_config_version"
)

// measureAgents measures real processes for several numbers of agents.
func measureAgents(ctx context.Context, o options, r *report) error {
	for _, n := range o.Agents {
		d, err := deploy(ctx, o.Relayd, deploymentSize{keepers: 3, entries: 2, agents: n, groups: 4})
		if err != nil {
			return err
		}
		err = d.measureAtSize(ctx, r, float64(n))
		d.stop()
		if err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) measureAtSize(ctx context.Context, r *report, n float64) error {
	if err := d.measureIdle(ctx, r, "agents", n); err != nil {
		return err
	}
	if err := d.measureTasks(ctx, r, n); err != nil {
		return err
	}
	return d.measureChanges(ctx, r, n)
}

// measureEntries measures idle real processes for several numbers of entries.
func measureEntries(ctx context.Context, o options, r *report) error {
	for _, n := range []int{1, 2, 4, 8} {
		d, err := deploy(ctx, o.Relayd, deploymentSize{keepers: 3, entries: n, agents: 20, groups: 4})
		if err != nil {
			return err
		}
		err = d.measureIdle(ctx, r, "entries", float64(n))
		d.stop()
		if err != nil {
			return err
		}
	}
	return nil
}

// measureIdle measures processor time, memory and traffic of the processes
// without load; x names the size that is varied and n is its value.
func (d *deployment) measureIdle(ctx context.Context, r *report, x string, n float64) error {
	if err := d.sleep(ctx, idleSettleTime); err != nil {
		return err
	}
	type sample struct {
		use                   usage
		bytes, packets        float64 // between the processes and the entries
		toKeepers, keeperPkts float64
	}
	roles := map[string][]*process{"keeper": d.keepers, "entry": d.entries, "agent": d.agents}
	takeSample := func(ps []*process) (s sample) {
		s.use = usageOf(ps)
		s.bytes, s.packets = trafficBetween(d.entries, ps)
		s.toKeepers, s.keeperPkts = trafficBetween(d.keepers, ps)
		return s
	}
	before := map[string]sample{}
	for name, ps := range roles {
		before[name] = takeSample(ps)
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
		b, a := before[name], takeSample(ps)
		processSeconds := d.clock.Since(began).Seconds() * float64(len(ps))
		label := name + " against " + x + ": "
		r.add(label+"processor", x, "us/s", n, float64((a.use.cpu-b.use.cpu).Microseconds())/processSeconds)
		r.add(label+"memory", x, "MB", n, a.use.memory/1e6)
		if name == "agent" {
			r.add(label+"traffic with entries", x, "B/s", n, (a.bytes-b.bytes)/processSeconds)
			r.add(label+"packets with entries", x, "1/s", n, (a.packets-b.packets)/processSeconds)
		}
		r.add(label+"traffic to keepers", x, "B/s", n, (a.toKeepers-b.toKeepers)/processSeconds)
	}
	return nil
}

// measureTasks measures the cost of a task at entries and agents under load.
func (d *deployment) measureTasks(ctx context.Context, r *report, n float64) error {
	entriesBefore, agentsBefore := usageOf(d.entries), usageOf(d.agents)
	done, failed := d.runLoad(ctx)
	if done == 0 {
		return trace.ConnectionProblem(nil, "no task was answered, %d failed", failed)
	}
	entriesAfter, agentsAfter := usageOf(d.entries), usageOf(d.agents)
	per := float64(done)
	r.add("task at an entry: processor", "agents", "us", n, float64((entriesAfter.cpu-entriesBefore.cpu).Microseconds())/per)
	r.add("task at an entry: allocations", "agents", "1", n, (entriesAfter.allocs-entriesBefore.allocs)/per)
	r.add("task at an agent: processor", "agents", "us", n, float64((agentsAfter.cpu-agentsBefore.cpu).Microseconds())/per)
	r.add("task at an agent: allocations", "agents", "1", n, (agentsAfter.allocs-agentsBefore.allocs)/per)
	r.add("tasks", "agents", "1/s", n, per/loadTime.Seconds())
	r.add("tasks that were not complete", "agents", "1", n, float64(failed))
	return ctx.Err()
}

func (d *deployment) runLoad(ctx context.Context) (done, failed int64) {
	ctx, cancel := context.WithTimeout(ctx, loadTime)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: concurrentCallers}}
	defer client.CloseIdleConnections()
	var wg sync.WaitGroup
	var ok, bad atomic.Int64
	for i := range concurrentCallers {
		to := "http://" + d.entries[i%len(d.entries)].httpAddress + "/v1/requests"
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

// newProbeClient returns a client of the log groups that runs in this process. It
// has an entry's certificate, but the other nodes don't treat it as an entry.
func (d *deployment) newProbeClient(groups int) (*leader.Client, func(), error) {
	folder := keys.Folder(d.dir + "/tls")
	if err := folder.Issue(d.ca, "probe", []keys.Role{keys.Entry}, d.clock.Now(), certValidity, host); err != nil {
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
	finder := member.NewFinder(node, d.clock, zap.NewNop(), wire.Node{Name: "probe"}, d.joinAddresses)
	return &leader.Client{Node: node, Finder: finder, Clock: d.clock, Log: zap.NewNop(), Groups: groups}, cancel, nil
}

// measureChanges measures the cost of a configuration change at each role, less
// the idle cost, and the time until every agent has the change.
func (d *deployment) measureChanges(ctx context.Context, r *report, n float64) error {
	c, stop, err := d.newProbeClient(4)
	if err != nil {
		return err
	}
	defer stop()
	if _, err := d.makeChange(ctx, c, 0); err != nil {
		return err
	}
	roles := [][]*process{d.keepers, d.entries, d.agents}
	idle, err := d.consumptionDuring(ctx, roles, func() error { return d.sleep(ctx, changeCount*changeInterval) })
	if err != nil {
		return err
	}
	busy, err := d.consumptionDuring(ctx, roles, func() error {
		for i := range changeCount {
			if _, err := d.makeChange(ctx, c, i+1); err != nil {
				return err
			}
			if err := d.sleep(ctx, changeInterval); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	for i, name := range []string{"keeper", "entry", "agent"} {
		each := changeCount * float64(len(roles[i]))
		r.add("change at a "+name+": processor", "agents", "us", n, (busy[i].cpu-idle[i].cpu)/each)
		if name == "agent" {
			r.add("change at an agent: traffic", "agents", "B", n, (busy[i].bytes-idle[i].bytes)/each)
		}
	}
	return d.measureChangeSpread(ctx, c, r, n)
}

type consumption struct{ cpu, bytes float64 } // microseconds, bytes

// consumptionDuring returns what each role consumed while f ran.
func (d *deployment) consumptionDuring(ctx context.Context, roles [][]*process, f func() error) ([]consumption, error) {
	out := make([]consumption, len(roles))
	for i, ps := range roles {
		b, _ := trafficBetween(slices.Concat(d.entries, d.keepers), ps)
		out[i] = consumption{-float64(usageOf(ps).cpu.Microseconds()), -b}
	}
	if err := f(); err != nil {
		return nil, err
	}
	for i, ps := range roles {
		b, _ := trafficBetween(slices.Concat(d.entries, d.keepers), ps)
		out[i].cpu += float64(usageOf(ps).cpu.Microseconds())
		out[i].bytes += b
	}
	return out, ctx.Err()
}

// makeChange proposes a change of the configuration and returns its version. A
// refused change is a trace.BadParameter.
func (d *deployment) makeChange(ctx context.Context, c *leader.Client, i int) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
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

// measureChangeSpread measures the time from an accepted change until the last
// agent has it, the maximum of three changes.
func (d *deployment) measureChangeSpread(ctx context.Context, c *leader.Client, r *report, n float64) error {
	const repeats = 3
	var maxSpread time.Duration
	for i := range repeats {
		v, err := d.makeChange(ctx, c, changeCount+1+i)
		if err != nil {
			return err
		}
		began := d.clock.Now()
		var wg sync.WaitGroup
		var slowest atomic.Int64
		for _, p := range d.agents {
			wg.Go(func() {
				_ = d.waitUntil(ctx, func() bool { return p.metric(versionMetric) >= float64(v) })
				took := int64(d.clock.Since(began))
				for old := slowest.Load(); took > old && !slowest.CompareAndSwap(old, took); old = slowest.Load() {
				}
			})
		}
		wg.Wait()
		maxSpread = max(maxSpread, time.Duration(slowest.Load()))
	}
	r.add("change until the last agent has it", "agents", "ms", n, float64(maxSpread.Milliseconds()))
	return ctx.Err()
}

// measureGroups measures three keepers for several numbers of ledger groups.
func measureGroups(ctx context.Context, o options, r *report) error {
	for _, n := range []int{1, 4, 8, 16} {
		d, err := deploy(ctx, o.Relayd, deploymentSize{keepers: 3, groups: n})
		if err != nil {
			return err
		}
		err = d.measureLedgerJobs(ctx, r, n)
		d.stop()
		if err != nil {
			return err
		}
	}
	return nil
}

// measureLedgerJobs measures the keepers while concurrent writers open and finish
// jobs in the ledger.
func (d *deployment) measureLedgerJobs(ctx context.Context, r *report, groups int) error {
	c, stop, err := d.newProbeClient(groups)
	if err != nil {
		return err
	}
	defer stop()
	if err := d.waitUntil(ctx, func() bool { return d.proposeSucceeds(ctx, c, "first", openJob("first")) }); err != nil {
		return trace.Wrap(err, "%s", d.outputs())
	}
	if err := d.measureIdle(ctx, r, "groups", float64(groups)); err != nil {
		return err
	}
	for _, writers := range []int{16, 64, 256} {
		before, clientBefore := usageOf(d.keepers), ownCPU()
		done, err := d.runLedgerJobs(ctx, c, writers)
		if err != nil {
			return err
		}
		after := usageOf(d.keepers)
		x := fmt.Sprintf("%d writers", writers)
		r.add("jobs opened and finished, "+x, "groups", "1/s", float64(groups), done/loadTime.Seconds())
		r.add("job at three keepers, "+x+": processor", "groups", "us", float64(groups), float64((after.cpu-before.cpu).Microseconds())/done)
		r.add("job at its entry's client, "+x+": processor", "groups", "us", float64(groups), float64((ownCPU()-clientBefore).Microseconds())/done)
	}
	return nil
}

func (d *deployment) runLedgerJobs(ctx context.Context, c *leader.Client, writers int) (float64, error) {
	var wg sync.WaitGroup
	var done atomic.Int64
	began := d.clock.Now()
	run := began.UnixNano()
	for w := range writers {
		wg.Go(func() {
			for i := 0; ctx.Err() == nil && d.clock.Since(began) < loadTime; i++ {
				key := fmt.Sprintf("%d-%d-%d", run, w, i)
				if d.proposeSucceeds(ctx, c, key, openJob(key)) && d.proposeSucceeds(ctx, c, key, finishJob(key, 0)) {
					done.Add(1)
				}
			}
		})
	}
	wg.Wait()
	if done.Load() == 0 {
		return 0, trace.ConnectionProblem(ctx.Err(), "no job was opened and finished in the ledger")
	}
	return float64(done.Load()), nil
}

func (d *deployment) proposeSucceeds(ctx context.Context, c *leader.Client, key string, command []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	a, err := c.Propose(ctx, c.GroupOf(key), command)
	if err != nil {
		return false
	}
	res, err := ledger.Results.Decode(a)
	j, ok := res.(ledger.JobResult)
	return err == nil && ok && j.Verdict == ledger.Done
}
