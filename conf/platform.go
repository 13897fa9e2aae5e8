package conf

import "cyclamenrelay.example/keys"

// Platform are the settings for running behind the users' platform, whose
// protocol package platform translates.
type Platform struct {
	// Enabled has the roles speak the platform's protocol in place of the
	// project's own HTTP.
	Enabled bool `json:"enabled"`
	// Callers is the IP address and TCP port of an entry's callers.
	Callers string `json:"callers"`
	// Ready is where the platform asks an entry whether it takes new connections.
	Ready string `json:"ready"`
	// Control is where operators reach a keeper, and a target its agent.
	Control string `json:"control"`
	// HoldLimit is the longest lease that a target grants to what runs on it.
	HoldLimit Duration `json:"holdLimit"`
	// ResendAfter is how soon callers may send an unanswered job again.
	ResendAfter Duration `json:"resendAfter"`
	// GracePeriod is the time between a request to stop and a kill.
	GracePeriod Duration `json:"gracePeriod"`
}

func defaultPlatform() Platform {
	return Platform{HoldLimit: millis(1000), ResendAfter: millis(1300), GracePeriod: seconds(6)}
}

func (p Platform) check(c *checker, n Node) {
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
	c.duration("platform.holdLimit", p.HoldLimit, millis(100), seconds(60))
	c.duration("platform.resendAfter", p.ResendAfter, millis(100), seconds(60))
	c.duration("platform.gracePeriod", p.GracePeriod, seconds(1), seconds(600))
}
