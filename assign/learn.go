package assign

import (
	"time"
)

const (
	// learnWeight is the weight of one more run in a queue's mean, 1/learnWeight.
	learnWeight = 32
	// learnFirst is how many runs of a queue make its mean worth using: one job's.
	learnFirst = 8
	// callerWeight is the part of the caller's own estimate in the estimate used:
	// both it and the mean are off by about 0.4.
	callerWeight = 0.5
)

// Learner knows how long the tasks of each queue run.
type Learner struct{ queues map[string]*mean }

type mean struct {
	n    int
	took float64 // nanoseconds
}

// NewLearner returns a learner that knows nothing.
func NewLearner() *Learner { return &Learner{queues: map[string]*mean{}} }

// Ran takes the run time of a task that was done.
func (l *Learner) Ran(queue string, took time.Duration) {
	m := l.queues[queue]
	if m == nil {
		m = &mean{}
		l.queues[queue] = m
	}
	m.n++
	m.took += (float64(took) - m.took) / float64(min(m.n, learnWeight))
}

// Estimate returns how long a task of the queue probably runs, given what its
// caller says. Callers are often off by half, in either direction.
func (l *Learner) Estimate(queue string, said time.Duration) time.Duration {
	m := l.queues[queue]
	switch {
	case m == nil || m.n < learnFirst:
		return said
	case said <= 0:
		return time.Duration(m.took)
	}
	return time.Duration(callerWeight*float64(said) + (1-callerWeight)*m.took)
}
