package conf

// Freshness limits the age of the configuration that a process may act on.
type Freshness struct {
	// Lease is how long a process may act on its configuration without a confirmation
	// that it is still the newest.
	Lease Duration `json:"lease"`
	// InForce is the time after the acknowledgement of a change from which entries must decide
	// by it.
	InForce Duration `json:"inForce"`
	// Heartbeat is the interval of the confirmations and of announcements.
	Heartbeat Duration `json:"heartbeat"`
	// ServeStale lets the process serve on after the lease has ended. Tasks may then
	// go to a target that is leaving, or run although a rule forbids them.
	ServeStale bool `json:"serveStale"`
}

// heartbeatsPerLease is the minimum number of heartbeats in a lease, so that one lost
// message does not end the lease.
const heartbeatsPerLease = 3

func defaultFreshness() Freshness {
	return Freshness{Lease: seconds(4), InForce: seconds(10), Heartbeat: millis(500)}
}

func (f Freshness) check(c *checker) {
	c.duration("freshness.lease", f.Lease, millis(500), seconds(60))
	c.duration("freshness.inForce", f.InForce, millis(500), seconds(600))
	c.duration("freshness.heartbeat", f.Heartbeat, millis(20), max(f.Lease/heartbeatsPerLease, millis(20)))
}
