package main

import (
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"cyclamenrelay.example/agent"
	"cyclamenrelay.example/claims"
	"cyclamenrelay.example/conf"
	"cyclamenrelay.example/entry"
	"cyclamenrelay.example/evac"
	"cyclamenrelay.example/guard"
	"cyclamenrelay.example/jobs"
	"cyclamenrelay.example/keeper"
	"cyclamenrelay.example/kernel"
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/leader"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/member"
	"cyclamenrelay.example/meter"
	"cyclamenrelay.example/opsvc"
	"cyclamenrelay.example/place"
	"cyclamenrelay.example/record"
	"cyclamenrelay.example/repair"
	"cyclamenrelay.example/route"
	"cyclamenrelay.example/watch"
	"cyclamenrelay.example/wire"
	"cyclamenrelay.example/worker"
)

// builder creates the services of a process from its settings and adds them to
// the kernel.
type builder struct {
	settings conf.Settings
	id       *keys.Identity
	plan     guard.Plan
	clock    clockwork.Clock
	log      *zap.Logger
	services *kernel.Kernel
	node     *link.Node
	finder   *member.Finder
	view     *watch.View
	// readyChecks holds the readiness checks of the roles.
	readyChecks []func() bool
}

func (b *builder) isReady() bool {
	return !slices.ContainsFunc(b.readyChecks, func(f func() bool) bool { return !f() })
}

// bytesPerMegabit converts rates of links.
const bytesPerMegabit = 1e6 / 8

// monitorView makes readiness depend on the local copy of the configuration,
// which entries and agents act by, and exports its version and usability as metrics.
func (b *builder) monitorView() {
	b.readyChecks = append(b.readyChecks, b.view.Usable)
	meter.Gauge("relay_config_version", func() float64 { return float64(b.view.Config().Version()) })
	meter.Gauge("relay_evacuations", func() float64 { return float64(len(evac.FromConfig(b.view.Config()).Orders())) })
	meter.Gauge("relay_config_age_seconds", func() float64 {
		if age := b.view.Status().Age; age >= 0 {
			return age.Seconds()
		}
		return -1
	})
	meter.Gauge("relay_config_usable", func() float64 {
		if b.view.Usable() {
			return 1
		}
		return 0
	})
}

// linkRate returns the rate of an entry's link in bytes a second, 0 if it is unknown. Only
// entries send so much that what they send waits on the link.
func linkRate(s conf.Settings) float64 {
	if !s.Node.Has(keys.Entry) {
		return 0
	}
	return float64(s.Limits.Link) * bytesPerMegabit
}

// build returns a builder whose kernel holds all services that the settings enable.
func build(s conf.Settings, id *keys.Identity, plan guard.Plan, log *zap.Logger) *builder {
	clock := clockwork.NewRealClock()
	b := &builder{settings: s, id: id, plan: plan, clock: clock, log: log, services: kernel.New(log)}
	b.node = link.New(link.Options{
		Address: s.Node.Listen, Keys: id, CloseWait: closeWait(s), Messages: plan.Messages(log), Rate: linkRate(s), Log: log, Clock: clock,
	})
	self := wire.Node{
		Name: s.Node.Name, Address: s.Node.Advertise, DataCentre: s.Node.DataCentre, Roles: s.Node.Roles,
		Incarnation: uint64(clock.Now().UnixNano()), Size: float64(s.Node.Size),
	}
	b.finder = member.NewFinder(b.node, clock, log, self, s.Join.Addresses)
	b.view = watch.NewView(clock, time.Duration(s.Freshness.Lease))
	if s.Freshness.ServeStale {
		b.view.ServeStale()
	}
	b.services.Add(b.finder)
	if s.Node.Has(keys.Keeper) {
		b.keeper()
	}
	if s.Platform.Enabled {
		b.platformServices()
	} else {
		b.nativeServices()
	}
	b.services.Add(&meter.Server{Listen: s.Metrics.Listen, Profiles: s.Metrics.Profiles, Ready: b.isReady, Plan: plan, Log: log})
	// The link starts last, when all handlers are registered.
	b.services.Add(b.node)
	return b
}

// nativeServices adds the entry and agent services for the project's own HTTP
// protocol, used when the platform's protocol is off.
func (b *builder) nativeServices() {
	if b.settings.Node.Has(keys.Entry) {
		b.entry()
	}
	if b.settings.Node.Has(keys.Agent) {
		b.agent()
	}
}

func (b *builder) keeper() {
	var initial []keeper.InitialMember
	for _, m := range b.settings.Keeper.InitialMembers {
		initial = append(initial, keeper.InitialMember{Name: m.Name, Address: m.Address})
	}
	kp := keeper.New(keeper.Options{
		Folder: b.settings.Node.DataFolder, Groups: b.settings.Keeper.Groups, InitialMembers: initial,
		Retention: time.Duration(b.settings.Keeper.Retention), SnapshotEntries: b.settings.Keeper.SnapshotEntries,
		AutoMembers: b.settings.Keeper.AutoMembers,
		Limits:      repair.Limits{Tolerance: b.settings.Keeper.Tolerance, CatchUp: time.Duration(b.settings.Keeper.CatchUp), SpreadVoters: b.settings.Keeper.ToleratedDataCentres > 0},
		Clock:       b.clock, Log: b.log,
	})
	b.services.Add(kp)
	b.readyChecks = append(b.readyChecks, func() bool { return kp.Ready(time.Duration(b.settings.Freshness.Lease)) })
	meter.Gauge("relay_groups_led", func() float64 { return float64(kp.LedGroups()) })
}

func (b *builder) entry() {
	b.monitorView()
	if !b.settings.Node.Has(keys.Keeper) {
		b.finder.ServeNodes()
	}
	b.services.Add(b.follower())
	p := place.DefaultSettings()
	p.Policy = policyByName(b.settings.Entry.Policy)
	p.DataCentres = []string{b.settings.Node.DataCentre}
	p.NoTargetWait = time.Duration(b.settings.Entry.NoTargetWait)
	router := route.New(route.Options{Place: p, Clock: b.clock, Log: b.log, View: b.view})
	b.services.Add(router)
	meter.Gauge("relay_tasks_pending", func() float64 {
		all, _ := router.Pending()
		return float64(all)
	})
	meter.Gauge("relay_tasks_queued", func() float64 {
		_, queued := router.Pending()
		return float64(queued)
	})
	client := &leader.Client{Node: b.node, Finder: b.finder, Clock: b.clock, Log: b.log, Groups: b.settings.Keeper.Groups}
	store := record.Store{Ledger: client, Finder: b.finder, Clock: b.clock, Log: b.log}
	b.services.Add(claims.New(store, router))
	b.services.Add(jobs.New(store, router))
	b.services.Add(entry.New(entry.Options{
		Listen: b.settings.Entry.Callers, MaxBody: int64(b.settings.Entry.MaxBody), MaxBytes: int64(b.settings.Entry.MaxBytes),
		RequestTimeout: time.Duration(b.settings.Entry.RequestTimeout),
		Clock:          b.clock, Log: b.log, View: b.view, Plan: b.plan,
	}))
	b.services.Add(opsvc.New(opsvc.Options{
		Listen: b.settings.Entry.Operators, Identity: b.id, Keepers: client, Clock: b.clock, Log: b.log, View: b.view, Plan: b.plan,
	}))
}

func (b *builder) agent() {
	b.monitorView()
	a := agent.New(agent.Options{
		Listen: b.settings.Agent.Targets, TargetLease: time.Duration(b.settings.Agent.TargetLease), Plan: b.plan, Clock: b.clock, Log: b.log, View: b.view,
		Platform: worker.New(b.settings.Agent.Platform), Scheduler: shareSettings(b.settings.Agent.Policy),
	})
	b.services.Add(a)
	meter.Gauge("relay_slots_offered", func() float64 {
		offered, _ := a.Slots()
		return float64(offered)
	})
	meter.Gauge("relay_slots_running", func() float64 {
		_, running := a.Slots()
		return float64(running)
	})
}
