package conf

// Freshness bounds how old the configuration may be that a process acts on.
type Freshness struct {
	// Lease is how long a process acts on its configuration without hearing
	// that it is still the newest.
	Lease Duration `json:"lease"`
	// Heartbeat is the time between proofs of freshness and between announcements.
	Heartbeat Duration `json:"heartbeat"`
	// ServeStale lets the process serve on after the lease. A target that is
	// leaving, or work that a rule forbids, may then get through.
	ServeStale bool `json:"serveStale"`
}

// heartbeatsPerLease is the fewest heartbeats in a lease, so that one lost
// message does not end it.
const heartbeatsPerLease = 3

func defaultFreshness() Freshness {
	return Freshness{Lease: seconds(4), Heartbeat: millis(500)}
}

func (f Freshness) check(c *checker) {
	c.duration("freshness.lease", f.Lease, millis(500), seconds(60))
	c.duration("freshness.heartbeat", f.Heartbeat, millis(20), max(f.Lease/heartbeatsPerLease, millis(20)))
}
