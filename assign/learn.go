package assign

import (
	"time"
)

const (
	// learnWeight is the inverse weight of a new run in the moving average of a queue's
	// run times.
	learnWeight = 32
	// learnFirst is the number of runs from which a queue's mean is used: those of one
	// job.
	learnFirst = 8
	// callerWeight is the weight of the caller's own estimate in the estimate that is
	// used: both the caller's estimate and the mean are wrong by about 0.4.
	callerWeight = 0.5
)

// Learner estimates the run times of each queue's tasks from those of earlier tasks.
type Learner struct{ queues map[string]*mean }

// mean is the moving average of a queue's run times.
type mean struct {
	n    int     // number of runs
	took float64 // nanoseconds
}

// NewLearner returns a Learner without observations.
func NewLearner() *Learner { return &Learner{queues: map[string]*mean{}} }

// Ran records the run time of a task that was done.
func (l *Learner) Ran(queue string, took time.Duration) {
	m := l.queues[queue]
	if m == nil {
		m = &mean{}
		l.queues[queue] = m
	}
	m.n++
	m.took += (float64(took) - m.took) / float64(min(m.n, learnWeight))
}

// Estimate returns the expected run time of a task of the queue, given its caller's
// estimate. Callers' estimates are often wrong by half, in either direction.
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
