package ledger

import (
	"fmt"

	"cyclamenrelay.example/model"
)

// invalidReason validates a command independently of the ledger's state. It
// returns "" for a valid one.
func invalidReason(c Command) string {
	switch c := c.(type) {
	case OpenJob:
		if c.Tasks < 1 || c.Tasks > model.MaxJobTasks {
			return fmt.Sprintf("a job of %d tasks, allowed are 1 to %d", c.Tasks, model.MaxJobTasks)
		}
		return firstNonEmpty(checkKey(c.Key), checkDigest(c.Digest), checkOwner(c.Owner), checkAgents(c.Agents))
	case TakeJob:
		return firstNonEmpty(checkKey(c.Key), checkOwner(c.Owner))
	case AddAgents:
		return firstNonEmpty(checkKey(c.Key), checkOwner(c.Owner), checkAgents(c.Agents))
	case FinishJob:
		return firstNonEmpty(checkKey(c.Key), checkOwner(c.Owner), checkEnd(c))
	case OpenClaim:
		return firstNonEmpty(checkKey(c.Key), checkDigest(c.Digest), checkOwner(c.Owner), checkName("claim", c.ID))
	case FinishClaim:
		if (c.Complete == nil) == (c.Failed == nil) {
			return "exactly one of complete and failed is allowed"
		}
		return firstNonEmpty(checkKey(c.Key), checkOwner(c.Owner), checkName("claim", c.ID), checkOutcome(c))
	case ReleaseClaim:
		return firstNonEmpty(checkKey(c.Key), checkOwner(c.Owner), checkName("claim", c.ID))
	case SetLimits:
		if l := c.Limits; l.Finished <= 0 || l.Open < l.Finished || l.Records < 1 || l.Bytes < 1 {
			return "all limits are above 0, and open records are kept at least as long as finished ones"
		}
	}
	return ""
}

func firstNonEmpty(reasons ...string) string {
	for _, r := range reasons {
		if r != "" {
			return r
		}
	}
	return ""
}

// checkSize returns the reason why a size in bytes is invalid, or "", as do the
// check functions below for their values.
func checkSize(name string, n, low, high int) string {
	if n < low || n > high {
		return fmt.Sprintf("%s of %d bytes, allowed are %d to %d", name, n, low, high)
	}
	return ""
}

func checkKey(k string) string { return checkSize("key", len(k), 1, model.MaxKeyLen) }

func checkDigest(d []byte) string { return checkSize("digest", len(d), 1, MaxDigest) }

func checkName(kind, n string) string { return checkSize(kind, len(n), 1, MaxName) }

func checkOwner(o Owner) string { return checkName("entry", o.Entry) }

func checkAgents(names []string) string {
	if len(names) > MaxAgents {
		return fmt.Sprintf("%d agents, at most %d are allowed", len(names), MaxAgents)
	}
	for _, n := range names {
		if r := checkName("agent", n); r != "" {
			return r
		}
	}
	return ""
}

func checkEnd(c FinishJob) string {
	if c.Status != Complete && c.Status != Failed {
		return fmt.Sprintf("a job cannot finish with status %d", c.Status)
	}
	for _, o := range c.Outcomes {
		if Status(o) < Complete || Status(o) > NotRun {
			return fmt.Sprintf("a task cannot finish with status %d", o)
		}
		if c.Status == Complete && Status(o) != Complete {
			return "a complete job has only complete tasks"
		}
	}
	return ""
}

func checkOutcome(c FinishClaim) string {
	if c.Failed != nil {
		return firstNonEmpty(checkSize("reason", len(c.Failed.Reason), 0, 1024), checkSize("target", len(c.Failed.Target), 0, MaxName))
	}
	return firstNonEmpty(checkSize("type", len(c.Complete.Type), 0, MaxName), checkSize("target", len(c.Complete.Target), 0, MaxName))
}
