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
		return firstNonEmpty(badKey(c.Key), badDigest(c.Digest), badOwner(c.Owner), badAgents(c.Agents))
	case TakeJob:
		return firstNonEmpty(badKey(c.Key), badOwner(c.Owner))
	case AddAgents:
		return firstNonEmpty(badKey(c.Key), badOwner(c.Owner), badAgents(c.Agents))
	case FinishJob:
		return firstNonEmpty(badKey(c.Key), badOwner(c.Owner), badEnd(c))
	case OpenClaim:
		return firstNonEmpty(badKey(c.Key), badDigest(c.Digest), badOwner(c.Owner), badName("claim", c.ID))
	case FinishClaim:
		if (c.Complete == nil) == (c.Failed == nil) {
			return "exactly one of complete and failed is allowed"
		}
		return firstNonEmpty(badKey(c.Key), badOwner(c.Owner), badName("claim", c.ID), badOutcome(c))
	case ReleaseClaim:
		return firstNonEmpty(badKey(c.Key), badOwner(c.Owner), badName("claim", c.ID))
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

func badSize(what string, n, low, high int) string {
	if n < low || n > high {
		return fmt.Sprintf("%s of %d bytes, allowed are %d to %d", what, n, low, high)
	}
	return ""
}

func badKey(k string) string { return badSize("key", len(k), 1, model.MaxKeyLen) }

func badDigest(d []byte) string { return badSize("digest", len(d), 1, MaxDigest) }

func badName(what, n string) string { return badSize(what, len(n), 1, MaxName) }

func badOwner(o Owner) string { return badName("entry", o.Entry) }

func badAgents(names []string) string {
	if len(names) > MaxAgents {
		return fmt.Sprintf("%d agents, at most %d are allowed", len(names), MaxAgents)
	}
	for _, n := range names {
		if r := badName("agent", n); r != "" {
			return r
		}
	}
	return ""
}

func badEnd(c FinishJob) string {
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

func badOutcome(c FinishClaim) string {
	if c.Failed != nil {
		return firstNonEmpty(badSize("reason", len(c.Failed.Reason), 0, 1024), badSize("target", len(c.Failed.Target), 0, MaxName))
	}
	return firstNonEmpty(badSize("type", len(c.Complete.Type), 0, MaxName), badSize("target", len(c.Complete.Target), 0, MaxName))
}
