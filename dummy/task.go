package dummy

import (
	"math"
	"sync"
	"time"

	"cyclamenrelay.example/units"

	"github.com/jonboulle/clockwork"
)

// Spec is what a task's body may ask of the target, as JSON.
type Spec struct {
	// RunTime is how long the task runs, the target's default when absent.
	RunTime *units.Duration `json:"runTime,omitempty"`
	// AnswerBytes is the least size of the answer.
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
	spec Spec

	mu      sync.Mutex
	started time.Time
	ended   time.Time // zero while it runs
	updated time.Time // when left was computed
	left    time.Duration
	work    time.Duration // run time at full speed
	share   float64       // of the processors, set by a throttle
	speed   float64       // set by the target's mode, 0 when frozen
	expires time.Time     // end of the lease, zero for none
	stopped bool
	changed chan struct{} // closed at a change of the fields above
}

func newTask(id string, now time.Time, work time.Duration, speed float64) *task {
	return &task{
		id: id, started: now, updated: now, left: work, work: work,
		share: 1, speed: speed, changed: make(chan struct{}),
	}
}

// change applies f under the lock after accounting the progress so far.
func (t *task) change(now time.Time, f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	f()
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *task) advance(now time.Time) {
	t.left -= time.Duration(float64(now.Sub(t.updated)) * t.share * t.speed)
	t.updated = now
}

// done returns how much of the work is done, 0 to 1.
func (t *task) done(now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	if t.work <= 0 || t.left <= 0 {
		return 1
	}
	return 1 - float64(t.left)/float64(t.work)
}

// next returns how the task ended, or else how long to wait for its next
// event and the channel that is closed before that when the task changes.
func (t *task) next(now time.Time) (end string, wait time.Duration, changed <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	switch {
	case t.stopped:
		return endStopped, 0, nil
	case t.left <= 0 && t.speed > 0:
		return endComplete, 0, nil
	case !t.expires.IsZero() && !now.Before(t.expires):
		return endExpired, 0, nil
	}
	wait = time.Hour
	if rate := t.share * t.speed; rate > 0 {
		wait = min(wait, time.Duration(math.Ceil(float64(t.left)/rate)))
	}
	if !t.expires.IsZero() {
		wait = min(wait, t.expires.Sub(now))
	}
	return "", wait, t.changed
}

// run waits until the task has ended and returns how.
func (t *task) run(c clockwork.Clock) string {
	for {
		end, wait, changed := t.next(c.Now())
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

// usageAt returns the processor time used by the time at, and false when the
// task was not running then.
func (t *task) usageAt(at time.Time) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.Before(t.started) || (!t.ended.IsZero() && !t.ended.After(at)) {
		return 0, false
	}
	return time.Duration(float64(at.Sub(t.started)) * t.share), true
}
