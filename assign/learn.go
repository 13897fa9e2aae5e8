package assign

import (
	"time"
)

const (
	// meanWindow is the number of runs over which a queue's run times are averaged: once
	// there are as many, each new run has the weight 1/meanWindow.
	meanWindow = 32
	// minRuns is the number of runs that a queue needs before its mean is used: as many
	// as one job has.
	minRuns = 8
	// callerWeight is the weight of the caller's estimate in the combined estimate, the
	// rest is that of the mean: both have an error of about 0.4.
	callerWeight = 0.5
)

// Learner estimates the run times of each queue's tasks from those of earlier tasks.
type Learner struct{ queues map[string]*runTimeMean }

// runTimeMean is the moving average of a queue's run times.
type runTimeMean struct {
	runs  int     // number of runs
	value float64 // nanoseconds
}

// NewLearner returns a Learner without observations.
func NewLearner() *Learner { return &Learner{queues: map[string]*runTimeMean{}} }

// RecordRunTime adds the run time of a completed task to the queue's mean.
func (l *Learner) RecordRunTime(queue string, took time.Duration) {
	m := l.queues[queue]
	if m == nil {
		m = &runTimeMean{}
		l.queues[queue] = m
	}
	m.runs++
	m.value += (float64(took) - m.value) / float64(min(m.runs, meanWindow))
}

// Estimate returns the expected run time of a task of the queue: the weighted mean of
// the caller's estimate and the queue's mean, or the one that is known. Callers'
// estimates are often wrong by half, in either direction.
func (l *Learner) Estimate(queue string, callerEstimate time.Duration) time.Duration {
	m := l.queues[queue]
	switch {
	case m == nil || m.runs < minRuns:
		return callerEstimate
	case callerEstimate <= 0:
		return time.Duration(m.value)
	}
	return time.Duration(callerWeight*float64(callerEstimate) + (1-callerWeight)*m.value)
}
