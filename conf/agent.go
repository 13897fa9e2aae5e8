package conf

import "cyclamenrelay.example/keys"

// Agent holds the settings of the role agent.
type Agent struct {
	// Targets is the IP address and TCP port that the target announces itself to.
	Targets string `json:"targets"`
	// Platform is the base URL of the platform's interface on this worker, empty for
	// none.
	Platform string `json:"platform"`
	// TargetLease is the longest lease that a target may ask for.
	TargetLease Duration `json:"targetLease"`
	// Policy is the placement policy of the entries. It determines whether starts may
	// wait at the agent for a free slot.
	Policy string `json:"policy"`
	// RefuseAfter is the time without a confirmation of the configuration after which
	// the agent refuses new work. It is at most freshness.lease; 0 means
	// freshness.lease.
	RefuseAfter Duration `json:"refuseAfter"`
}

func defaultAgent() Agent { return Agent{TargetLease: seconds(5), Policy: PolicyJoinIdle} }

func (a Agent) check(c *checker, s Settings) {
	if s.Node.Has(keys.Agent) && !s.Platform.Enabled || a.Targets != "" {
		c.listen("agent.targets", a.Targets)
	}
	if a.Platform != "" {
		c.httpURL("agent.platform", a.Platform)
	}
	c.oneOf("agent.policy", a.Policy, policies...)
	c.duration("agent.targetLease", a.TargetLease, millis(200), seconds(60))
	c.duration("agent.refuseAfter", a.RefuseAfter, 0, s.Freshness.Lease)
}
