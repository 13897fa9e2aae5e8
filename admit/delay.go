package admit

import (
	"math"
	"time"
)

const (
	// priorTasks is the weight, in tasks, of the assumption that waits are as expected. It
	// is the number of tasks of a wide job, so that one late job does not decide alone.
	priorTasks = 8
	// maxExcess bounds the excess delay of one task, so that a task that was held up by a
	// failure does not count for many others.
	maxExcess = time.Second
	// spreadPart is the weight of the spread in the margin. With 0 the tasks of wide jobs are
	// late more often than those of narrow ones, with 1 too many wide jobs are refused.
	spreadPart = 0.5
)

// delay holds by how much the tasks of a queue started later than expected, as moving sums
// in seconds.
type delay struct{ tasks, excess, square average }

func (d *delay) record(excess time.Duration, now time.Time) {
	x := min(max(excess, -maxExcess), maxExcess).Seconds()
	d.tasks.add(1, now, recentWindow)
	d.excess.add(x, now, recentWindow)
	d.square.add(x*x, now, recentWindow)
}

// margin returns by how much the last of several tasks will probably start later than
// expected: the mean, and a part of the spread that grows with the number of tasks as the
// maximum of as many normal variables does. It returns to 0 when no tasks end.
func (d *delay) margin(tasks int, now time.Time) time.Duration {
	n := d.tasks.value(now, recentWindow) + priorTasks
	mean := d.excess.value(now, recentWindow) / n
	deviation := math.Sqrt(max(0, d.square.value(now, recentWindow)/n-mean*mean))
	later := mean + spreadPart*deviation*math.Sqrt(2*math.Log(float64(max(1, tasks))))
	return time.Duration(max(0, later) * float64(time.Second))
}
