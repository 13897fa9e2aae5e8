package fake

import (
	"math"
	"sync"
	"time"

	"cyclamenrelay.example/units"

	"github.com/jonboulle/clockwork"
)

// TaskBody is the JSON body of a task: how the target is to run and answer it.
type TaskBody struct {
	// RunTime is the run time of the task, the target's default when absent.
	RunTime *units.Duration `json:"runTime,omitempty"`
	// AnswerBytes is the minimum size of the answer.
	AnswerBytes int `json:"answerBytes,omitempty"`
	// Fail makes the task fail at its end.
	Fail bool `json:"fail,omitempty"`
	// Request is the caller's own identifier; it is copied to the start log.
	Request string `json:"request,omitempty"`
}

// The ways in which a task ends.
const (
	endComplete = "complete"
	endFailed   = "failed"
	endStopped  = "stopped"
	endExpired  = "expired"
)

// task is a running or an ended task.
type task struct {
	id   string
	job  string
	spec TaskBody

	mu          sync.Mutex
	started     time.Time
	ended       time.Time // zero while it runs
	accountedAt time.Time // when remaining was computed
	remaining   time.Duration
	totalWork   time.Duration // run time at full speed; remaining is the part not yet done
	cpuShare    float64       // share of the processors, set by a throttle request
	speed       float64       // factor set by the target's mode, 0 when frozen
	expires     time.Time     // end of the lease, zero for none
	stopped     bool
	changed     chan struct{} // closed at a change of the fields above
}

func newTask(id string, now time.Time, work time.Duration, speed float64) *task {
	return &task{
		id: id, started: now, accountedAt: now, remaining: work, totalWork: work,
		cpuShare: 1, speed: speed, changed: make(chan struct{}),
	}
}

// update accounts the progress so far, applies f under the lock and wakes waitForEnd.
func (t *task) update(now time.Time, f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.accountProgress(now)
	f()
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *task) accountProgress(now time.Time) {
	t.remaining -= time.Duration(float64(now.Sub(t.accountedAt)) * t.cpuShare * t.speed)
	t.accountedAt = now
}

// progress returns the share of the work that is done, 0 to 1.
func (t *task) progress(now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.accountProgress(now)
	if t.totalWork <= 0 || t.remaining <= 0 {
		return 1
	}
	return 1 - float64(t.remaining)/float64(t.totalWork)
}

// nextEvent returns how the task ended. While it runs, end is empty, wait is the
// time until it completes or its lease expires at the present speed, and changed
// is closed when the speed, the lease or the stop flag changes.
func (t *task) nextEvent(now time.Time) (end string, wait time.Duration, changed <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.accountProgress(now)
	switch {
	case t.stopped:
		return endStopped, 0, nil
	case t.remaining <= 0 && t.speed > 0:
		return endComplete, 0, nil
	case !t.expires.IsZero() && !now.Before(t.expires):
		return endExpired, 0, nil
	}
	wait = time.Hour
	if rate := t.cpuShare * t.speed; rate > 0 {
		wait = min(wait, time.Duration(math.Ceil(float64(t.remaining)/rate)))
	}
	if !t.expires.IsZero() {
		wait = min(wait, t.expires.Sub(now))
	}
	return "", wait, t.changed
}

// waitForEnd waits until the task has ended and returns how, one of the end constants.
func (t *task) waitForEnd(c clockwork.Clock) string {
	for {
		end, wait, changed := t.nextEvent(c.Now())
		if end != "" {
			return end
		}
		timer := c.NewTimer(wait)
		select {
		case <-timer.Chan():
		case <-changed:
		}
		timer.Stop()
	}
}

// usageAt returns the processor time that the task had used at the time at, and
// false when it was not running then.
func (t *task) usageAt(at time.Time) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.Before(t.started) || (!t.ended.IsZero() && !t.ended.After(at)) {
		return 0, false
	}
	return time.Duration(float64(at.Sub(t.started)) * t.cpuShare), true
}
