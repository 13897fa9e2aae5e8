package conf

import "cyclamenrelay.example/keys"

// Platform holds the settings for running behind an outside platform, whose protocol
// package platform translates.
type Platform struct {
	// Enabled makes the process use the platform's protocol in place of the project's
	// own HTTP interfaces.
	Enabled bool `json:"enabled"`
	// Callers is the IP address and TCP port of an entry's server for callers.
	Callers string `json:"callers"`
	// Ready is the IP address and TCP port of an entry's server for readiness checks.
	Ready string `json:"ready"`
	// Control is the IP address and TCP port of the server for operators at a keeper,
	// and for the target at an agent.
	Control string `json:"control"`
	// HoldLimit is the longest lease that a target grants to the tasks running on it.
	HoldLimit Duration `json:"holdLimit"`
	// ResendAfter is the shortest time after which callers may send an unanswered job
	// again.
	ResendAfter Duration `json:"resendAfter"`
	// GracePeriod is the time from the platform's request to stop until it kills the
	// process.
	GracePeriod Duration `json:"gracePeriod"`
	// EvacuationLimit is the time after the acknowledgement of an evacuation from which no
	// task may start in the data centre. With 0, agents obey evacuations but never wait for
	// information on them.
	EvacuationLimit Duration `json:"evacuationLimit"`
	// DataCentres are the names of all data centres. An evacuation of another one is
	// refused as unknown; with an empty list, any name is taken.
	DataCentres []string `json:"dataCentres,omitempty"`
	// FarFactor is the run time of a task away from the rack of its data, as a multiple of the
	// one at that rack. Unset, half an estimate is added to the cost of a placement there, and
	// the expected run time is the same everywhere.
	FarFactor Number `json:"farFactor"`
	// Backfill is the longest time for which an agent may start other tasks before a waiting
	// one that does not fit into the free capacity of its target, 0 for never.
	Backfill Duration `json:"backfill"`
}

func defaultPlatform() Platform {
	return Platform{HoldLimit: millis(1000), ResendAfter: millis(1300), GracePeriod: seconds(6)}
}

func (p Platform) check(c *checker, n Node) {
	c.optional("platform.farFactor", p.FarFactor, 1, 10)
	if !p.Enabled {
		return
	}
	if n.Has(keys.Entry) {
		c.listen("platform.callers", p.Callers)
		c.listen("platform.ready", p.Ready)
	}
	if n.Has(keys.Keeper) || n.Has(keys.Agent) {
		c.listen("platform.control", p.Control)
	}
	for i, name := range p.DataCentres {
		c.name(indexPath("platform.dataCentres", i), name, keys.ValidName)
	}
	c.duration("platform.holdLimit", p.HoldLimit, millis(100), seconds(60))
	c.duration("platform.resendAfter", p.ResendAfter, millis(100), seconds(60))
	if p.EvacuationLimit != 0 {
		c.duration("platform.evacuationLimit", p.EvacuationLimit, seconds(2), seconds(600))
	}
	c.duration("platform.gracePeriod", p.GracePeriod, seconds(1), seconds(600))
	c.duration("platform.backfill", p.Backfill, 0, seconds(1))
}
