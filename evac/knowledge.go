package evac

import "time"

// Verdict says whether a task may start in an agent's data centre.
type Verdict int

// The verdicts.
const (
	// Permitted means that tasks may start.
	Permitted Verdict = iota
	// Evacuated means that the data centre is evacuated.
	Evacuated
	// Starting means that the agent has started a moment ago and has not been told yet.
	Starting
	// Outdated means that the agent must ask keepers before it starts a task.
	Outdated
)

// String returns the verdict as a reason for logs and answers.
func (v Verdict) String() string {
	return map[Verdict]string{
		Permitted: "permitted", Evacuated: "the data centre is evacuated",
		Starting: "the agent has not been told yet whether its data centre is evacuated",
		Outdated: "the agent has outdated information on evacuations",
	}[v]
}

// Notice is what an entry or a keeper says about a data centre.
type Notice struct {
	// Version is the version of the sender's configuration.
	Version uint64
	// Age is the time since a quorum has confirmed it as the newest, negative when none has.
	Age       time.Duration
	Evacuated bool
}

// Knowledge is what an agent knows about its own data centre. Its version never decreases.
// All times are by the agent's monotonic clock.
type Knowledge struct {
	timing    Timing
	startedAt time.Time
	version   uint64
	evacuated bool
	// told is set once a notice was recent enough to start tasks by it, or came from a
	// configuration that no quorum has confirmed since its sender started.
	told bool
	// confirmedAt is the last time at which no quorum knew a newer version, the zero time
	// when unknown.
	confirmedAt time.Time
	// unanswered has the times at which the agent began its last two questions to keepers
	// without a recent answer, the older one first.
	unanswered [2]time.Time
}

// NewKnowledge returns the knowledge of an agent that starts now.
func NewKnowledge(t Timing, now time.Time) Knowledge { return Knowledge{timing: t, startedAt: now} }

// With returns k with a notice that answers a message sent at the given time. The age counts
// from then, since the notice may have been made at any time after it. A confirmation of an
// earlier version holds for the present one too.
func (k Knowledge) With(n Notice, sent time.Time) Knowledge {
	if n.Version > k.version {
		k.version, k.evacuated = n.Version, n.Evacuated
	}
	if n.Age < 0 {
		// Entries too act by a configuration from a keeper's disk until a quorum has confirmed
		// one. Waiting for a quorum would add a second to the outage after each power loss.
		k.told = k.told || n.Version > 0
		return k
	}
	if at := sent.Add(-n.Age); at.After(k.confirmedAt) {
		k.confirmedAt = at
	}
	k.told = k.told || n.Age <= k.timing.MaxAge
	return k
}

// WithUnanswered returns k after the agent has asked keepers, from the given time, and none
// has answered with recent information.
func (k Knowledge) WithUnanswered(began time.Time) Knowledge {
	k.unanswered = [2]time.Time{k.unanswered[1], began}
	return k
}

// Version returns the highest version known.
func (k Knowledge) Version() uint64 { return k.version }

// Age returns the time since the last confirmation, and since the agent's start when there
// was none.
func (k Knowledge) Age(now time.Time) time.Duration {
	if k.confirmedAt.IsZero() {
		return now.Sub(k.startedAt)
	}
	return now.Sub(k.confirmedAt)
}

// Pause returns the shortest pause before the next question to keepers, after the last one had
// no recent answer. The second question follows soon, before the information is too old.
func (k Knowledge) Pause(now time.Time) time.Duration {
	if now.Sub(k.unanswered[0]) <= k.timing.UnansweredFor {
		return k.timing.AskPause
	}
	return k.timing.CheckInterval
}

// MustAsk reports whether the agent should ask keepers.
func (k Knowledge) MustAsk(now time.Time) bool {
	return k.timing.Limit > 0 && (!k.told || k.Age(now) > k.timing.RefreshAge)
}

// Verdict returns whether a task may start now. When no keeper answers, the last known state
// holds: refusing all work whenever the keepers are down would serve nobody.
func (k Knowledge) Verdict(now time.Time) Verdict {
	switch {
	case k.evacuated:
		return Evacuated
	case k.timing.Limit == 0 || k.told && k.Age(now) <= k.timing.MaxAge:
		return Permitted
	case !k.told && now.Sub(k.startedAt) <= k.timing.RefreshAge:
		return Starting
	case !k.unanswered[0].IsZero() && now.Sub(k.unanswered[0]) <= k.timing.UnansweredFor:
		return Permitted
	}
	return Outdated
}
