package main

import (
	"time"

	"cyclamenrelay.example/assign"
	"cyclamenrelay.example/broker"
	"cyclamenrelay.example/conf"
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/leader"
	"cyclamenrelay.example/meter"
	"cyclamenrelay.example/platform"
	"cyclamenrelay.example/porter"
	"cyclamenrelay.example/spread"
)

// leaseShare is the part of the time after which callers send a job again that
// an entry's lease on its runs takes, and that a target's lease takes. Both end,
// one after the other, before the job can be there twice.
const leaseShare = 0.38

// endShare is the part of that time after which an entry's runs have certainly
// ended: both leases, and what their ends may take longer.
const endShare = 0.86

// operatorTry bounds one call for an operator, who turns to another node after a
// second: it leaves time for a second try.
const operatorTry = 400 * time.Millisecond

// closeShare is the part of the grace period, 1/closeShare, in which the last
// answers to other nodes may arrive: what the callers' answers leave of it.
const closeShare = 12

// closeWait returns how long links wait for the last answers, 0 for their default.
func closeWait(s conf.Settings) time.Duration {
	if !s.Platform.Enabled {
		return 0
	}
	return time.Duration(s.Platform.GracePeriod) / closeShare
}

// platformServices adds the services that speak the platform's protocol.
func (b *builder) platformServices() {
	p := b.s.Platform
	if b.s.Node.Has(keys.Entry) {
		b.platformEntry()
	}
	if b.s.Node.Has(keys.Agent) {
		lease := time.Duration(leaseShare * float64(p.ResendAfter))
		po := porter.New(porter.Options{
			Driver: platform.NewTarget(), TargetLease: min(lease, time.Duration(p.HoldLimit)), EntryLease: lease,
			DrainTimeout: time.Duration(p.GracePeriod) / 2, Clock: b.clock, Log: b.log,
		})
		b.k.Add(po)
		b.k.Add(&platform.Control{Listen: p.Control, Log: b.log})
	}
	if b.s.Node.Has(keys.Keeper) {
		b.k.Add(&platform.Control{
			Listen: p.Control, Log: b.log,
			Keepers: &leader.Client{
				Node: b.node, Finder: b.finder, Clock: b.clock, Log: b.log, Groups: b.s.Keeper.Groups,
				Beside: b.s.Node.Advertise, TryTimeout: operatorTry,
			},
		})
	}
}

func (b *builder) platformEntry() {
	p := b.s.Platform
	b.view.ServeStale()
	b.watchView()
	if !b.s.Node.Has(keys.Keeper) {
		b.finder.Answer()
	}
	b.k.Add(b.follower())
	br := broker.New(broker.Options{
		Name: b.s.Node.Name, DataCentre: b.s.Node.DataCentre, Admission: assign.DefaultSettings(), Clock: b.clock, Log: b.log,
		RunsEnd: time.Duration(endShare * float64(p.ResendAfter)),
	})
	b.k.Add(br)
	meter.Gauge("relay_jobs_in_progress", func() float64 { return float64(br.InProgress()) })
	b.k.Add(&platform.Front{
		Callers: p.Callers, Ready: p.Ready, GracePeriod: time.Duration(p.GracePeriod), View: b.view, Clock: b.clock, Log: b.log,
	})
}

// follower returns the service that keeps the view up to date.
func (b *builder) follower() *spread.Follower {
	return &spread.Follower{
		View: b.view, Node: b.node, Clock: b.clock, Log: b.log,
		Keepers: func() []string { return b.finder.Addresses(keys.Keeper) },
	}
}
