package main

import (
	"time"

	"go.uber.org/zap"

	"cyclamenrelay.example/assign"
	"cyclamenrelay.example/broker"
	"cyclamenrelay.example/conf"
	"cyclamenrelay.example/evac"
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/leader"
	"cyclamenrelay.example/meter"
	"cyclamenrelay.example/peers"
	"cyclamenrelay.example/platform"
	"cyclamenrelay.example/polls"
	"cyclamenrelay.example/runner"
	"cyclamenrelay.example/sched"
	"cyclamenrelay.example/watch"
	"cyclamenrelay.example/wire"
)

// leaseFraction is the length of an entry's lease on its runs, and of a target's
// lease, as a fraction of the time after which callers resend a job
// (ResendAfter). The two leases expire one after the other, and both must have
// expired before a resend can put the job into the cluster twice.
const leaseFraction = 0.38

// runsEndFraction is the fraction of ResendAfter after which all runs of an entry have
// certainly ended: both leases, and a margin for ending the runs after they expire.
const runsEndFraction = 0.86

// operatorCallTimeout is the time-out of one call to a keeper for an operator. Operators
// turn to another node after a second, so it leaves time for a second attempt.
const operatorCallTimeout = 400 * time.Millisecond

// closeWaitDivisor divides the grace period: on shutdown, links wait 1/closeWaitDivisor of it
// for the last answers to other nodes. The rest of it is for answers to callers.
const closeWaitDivisor = 12

// closeWait returns how long links wait for the last answers on shutdown; 0 means
// the default of package link.
func closeWait(s conf.Settings) time.Duration {
	if !s.Platform.Enabled {
		return 0
	}
	return time.Duration(s.Platform.GracePeriod) / closeWaitDivisor
}

// entryLease returns the length of an entry's lease on its runs.
func entryLease(p conf.Platform) time.Duration {
	return time.Duration(leaseFraction * float64(p.ResendAfter))
}

// platformServices adds the entry, agent and control services for the platform's protocol.
func (b *builder) platformServices() {
	p := b.settings.Platform
	if b.settings.Node.Has(keys.Entry) {
		b.platformEntry()
	}
	if b.settings.Node.Has(keys.Agent) {
		lease := entryLease(p)
		po := runner.New(runner.Options{
			Driver: platform.NewTarget(), TargetLease: min(lease, time.Duration(p.HoldLimit)), MaxTargetLease: time.Duration(p.HoldLimit), Timing: peers.NewTiming(lease),
			Evacuation:   evac.NewTiming(time.Duration(p.EvacuationLimit)),
			DrainTimeout: time.Duration(p.GracePeriod) / 2, Backfill: sched.Backfill{MaxDelay: time.Duration(p.Backfill)}, Clock: b.clock, Log: b.log,
		})
		b.services.Add(po)
		meter.Gauge("relay_target_run_ratio", po.RunRatio)
		meter.Gauge("relay_evacuations", func() float64 {
			if po.IsEvacuated() {
				return 1
			}
			return 0
		})
		b.services.Add(&platform.ControlServer{Listen: p.Control, Clock: b.clock, Log: b.log, Plan: b.plan})
	}
	if b.settings.Node.Has(keys.Keeper) {
		b.services.Add(&platform.ControlServer{
			Listen: p.Control, DataCentres: p.DataCentres, Clock: b.clock, Log: b.log, Plan: b.plan,
			Keepers: &leader.Client{
				Node: b.node, Finder: b.finder, Clock: b.clock, Log: b.log, Groups: b.settings.Keeper.Groups,
				LocalKeeper: b.settings.Node.Advertise, TryTimeout: operatorCallTimeout,
			},
		})
	}
}

func (b *builder) platformEntry() {
	p := b.settings.Platform
	b.view.ServeStale()
	b.monitorView()
	if !b.settings.Node.Has(keys.Keeper) {
		b.finder.ServeNodes()
	}
	b.services.Add(b.follower())
	br := broker.New(broker.Options{
		Name: b.settings.Node.Name, DataCentre: b.settings.Node.DataCentre, Admission: assign.DefaultSettings(), FairAdmission: p.FairAdmission, Clock: b.clock, Log: b.log,
		Timing: peers.NewTiming(entryLease(p)), Entries: func() []wire.Node { return b.finder.Nodes(keys.Entry) },
		View:             b.view,
		FarFactor:        float64(p.FarFactor),
		MaxOrphanRunTime: time.Duration(runsEndFraction * float64(p.ResendAfter)),
	})
	b.services.Add(br)
	meter.Gauge("relay_jobs_in_progress", func() float64 { return float64(br.InProgress()) })
	b.services.Add(&platform.CallerServer{
		Callers: p.Callers, Ready: p.Ready, GracePeriod: time.Duration(p.GracePeriod), View: b.view, Clock: b.clock, Log: b.log,
		Plan: b.plan,
	})
}

// follower returns the service that keeps the local copy of the configuration up to date.
func (b *builder) follower() *watch.Follower {
	limits := polls.Limits{InForce: time.Duration(b.settings.Freshness.InForce), Tolerance: b.settings.Keeper.Tolerance, Lease: time.Duration(b.settings.Freshness.Lease)}
	if err := limits.Check(); err != nil {
		b.log.Warn("a change of the configuration may be in force too late", zap.Error(err))
	}
	return &watch.Follower{
		Limits: limits,
		View:   b.view, Node: b.node, Clock: b.clock, Log: b.log,
		Keepers: func() []string { return b.finder.Addresses(keys.Keeper) },
	}
}
