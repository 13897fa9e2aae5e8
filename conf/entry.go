package conf

import (
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/model"
)

// The placement policies.
const (
	PolicyJoinIdle   = "joinIdle"   // an idle target, else queue at the entry until an agent grants a slot
	PolicyTwoChoices = "twoChoices" // the less loaded of two random targets
	PolicyRandom     = "random"     // a random target, with a first-in, first-out queue there
	PolicyLeast      = "least"      // the least loaded target, with a first-in, first-out queue there
	PolicyStrict     = "strict"     // joinIdle, but slots go by urgency alone
)

// maxBytesLimit is the upper limit of the setting entry.maxBytes.
const maxBytesLimit = 64 << 30

// policies are the valid values of a policy. All nodes must have the same one.
var policies = []string{PolicyJoinIdle, PolicyTwoChoices, PolicyRandom, PolicyLeast, PolicyStrict}

// Entry holds the settings of the role entry.
type Entry struct {
	// Callers is the IP address and TCP port of the HTTP server for callers.
	Callers string `json:"callers"`
	// Operators is the IP address and TCP port of the HTTPS server for operators.
	Operators string `json:"operators"`
	// MaxBody bounds a task's body, in bytes.
	MaxBody int `json:"maxBody"`
	// MaxBytes bounds the bodies of all requests in progress at the entry, in bytes.
	MaxBytes int `json:"maxBytes"`
	// Policy is the placement policy: joinIdle, or another one for comparison.
	Policy string `json:"policy"`
	// NoTargetWait is how long work waits for a matching target to appear.
	NoTargetWait Duration `json:"noTargetWait"`
	// RequestTimeout is the time until the deadline of work that states none.
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
	ownHTTP := s.Node.Has(keys.Entry) && !s.Platform.Enabled
	if ownHTTP || e.Callers != "" {
		c.listen("entry.callers", e.Callers)
	}
	if ownHTTP || e.Operators != "" {
		c.listen("entry.operators", e.Operators)
	}
	c.number("entry.maxBody", e.MaxBody, 1, model.MaxBody)
	c.number("entry.maxBytes", e.MaxBytes, e.MaxBody, maxBytesLimit)
	c.oneOf("entry.policy", e.Policy, policies...)
	c.duration("entry.noTargetWait", e.NoTargetWait, 0, seconds(60))
	c.duration("entry.requestTimeout", e.RequestTimeout, millis(10), Duration(model.MaxTimeToLive))
	c.duration("entry.drainTimeout", e.DrainTimeout, 0, Duration(model.MaxTimeToLive))
}
