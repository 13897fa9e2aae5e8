package detect

import "time"

// The parameters of Reputation, from Véron, Marin, Monnet and Sens, "RepFD -
// Using reputation systems to detect failures in large dynamic networks",
// section IV-A: alpha is 0, beta 0.8, gamma 0.2 and the threshold 700.
const (
	reputationMax       = 1000
	reputationBeta      = 0.8
	reputationGamma     = 0.2
	reputationThreshold = 700
	// punishAfter is how many intervals without a heartbeat are punished (task T3).
	punishAfter = 2
)

// Reputation suspects a process by its reputation: heartbeats raise it, missing
// ones lower it, and the opinions of other watchers weigh in.
type Reputation struct {
	// Interval is the interval between heartbeats as sent.
	Interval time.Duration
	// Threshold is the reputation up to which a process is suspected, 0 for the paper's.
	Threshold float64

	value, integral float64
	last, checked   time.Time
}

// Heard implements Detector.
func (r *Reputation) Heard(now time.Time) {
	r.punish(now)
	r.last, r.checked = now, now
	r.assess(reputationMax)
}

// Opinion returns the reputation to tell other watchers, 0 to 1000.
func (r *Reputation) Opinion(now time.Time) float64 {
	r.punish(now)
	return r.value
}

// Told takes the opinion of another watcher.
func (r *Reputation) Told(now time.Time, opinion float64) {
	r.punish(now)
	r.assess(opinion)
}

// Suspected implements Detector.
func (r *Reputation) Suspected(now time.Time) bool {
	r.punish(now)
	if r.Threshold > 0 {
		return r.value <= r.Threshold
	}
	return r.value <= reputationThreshold
}

// punish assesses each span of punishAfter intervals that passed unheard.
func (r *Reputation) punish(now time.Time) {
	span := punishAfter * r.Interval
	for !r.checked.IsZero() && now.Sub(r.checked) > span {
		r.checked = r.checked.Add(span)
		r.assess(0)
	}
}

// assess is the paper's simplified PID formula with alpha 0.
func (r *Reputation) assess(a float64) {
	r.integral = (r.integral + a) / 2
	v := reputationBeta*r.integral + reputationGamma*(a-r.value)
	r.value = min(max(v, 0), reputationMax)
}

func (*Reputation) detector() {}
