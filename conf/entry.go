package conf

import (
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/model"
)

// The placement policies.
const (
	PolicyJoinIdle   = "joinIdle"   // an idle target's slot, else queue at the entry until an agent pulls
	PolicyTwoChoices = "twoChoices" // the less loaded of two random targets
	PolicyRandom     = "random"     // a random target, queued there in the order of arrival
	PolicyLeast      = "least"      // the least loaded target, queued there in the order of arrival
	PolicyStrict     = "strict"     // as joinIdle, but the most urgent work always goes first
)

// maxBytes is the most that entry.maxBytes may allow.
const maxBytes = 64 << 30

// policies are the allowed values of a policy; the same is set on all nodes.
var policies = []string{PolicyJoinIdle, PolicyTwoChoices, PolicyRandom, PolicyLeast, PolicyStrict}

// Entry are the settings of the role entry.
type Entry struct {
	// Callers is the IP address and TCP port of the callers' HTTP.
	Callers string `json:"callers"`
	// Operators is the IP address and TCP port of the operators' HTTPS.
	Operators string `json:"operators"`
	// MaxBody bounds a task's body, in bytes.
	MaxBody int `json:"maxBody"`
	// MaxBytes bounds the bodies of all requests in progress at the entry, in bytes.
	MaxBytes int `json:"maxBytes"`
	// Policy is the placement policy: joinIdle, or another one to compare with.
	Policy string `json:"policy"`
	// NoTargetWait is how long work waits for a matching target to appear.
	NoTargetWait Duration `json:"noTargetWait"`
	// RequestTimeout is the deadline of work that states none.
	RequestTimeout Duration `json:"requestTimeout"`
	// DrainTimeout is how long a shutdown waits for requests in progress.
	DrainTimeout Duration `json:"drainTimeout"`
}

func defaultEntry() Entry {
	return Entry{
		MaxBody:        model.MaxBody,
		MaxBytes:       8 * model.MaxBody,
		Policy:         PolicyJoinIdle,
		NoTargetWait:   seconds(2),
		RequestTimeout: seconds(30),
		DrainTimeout:   seconds(60),
	}
}

func (e Entry) check(c *checker, s Settings) {
	own := s.Node.Has(keys.Entry) && !s.Platform.Enabled
	if own || e.Callers != "" {
		c.listen("entry.callers", e.Callers)
	}
	if own || e.Operators != "" {
		c.listen("entry.operators", e.Operators)
	}
	c.number("entry.maxBody", e.MaxBody, 1, model.MaxBody)
	c.number("entry.maxBytes", e.MaxBytes, e.MaxBody, maxBytes)
	c.oneOf("entry.policy", e.Policy, policies...)
	c.duration("entry.noTargetWait", e.NoTargetWait, 0, seconds(60))
	c.duration("entry.requestTimeout", e.RequestTimeout, millis(10), Duration(model.MaxTimeToLive))
	c.duration("entry.drainTimeout", e.DrainTimeout, 0, Duration(model.MaxTimeToLive))
}
