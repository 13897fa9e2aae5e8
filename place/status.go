package place

import (
	"time"

	"cyclamenrelay.example/fleet"
	"cyclamenrelay.example/model"
)

// QueuedTask is a queued task.
type QueuedTask struct {
	Labels   model.Labels
	Selector string
	Urgency  int
	// Waited is the time since the task arrived.
	Waited time.Duration
	// NoTarget is set while no target may take the task.
	NoTarget bool
}

// Targets returns the state of the targets for operators.
func (c *Core) Targets() []fleet.View { return c.fleet.Views(c.now) }

// QueuedTasks returns the queued tasks in no particular order.
func (c *Core) QueuedTasks() []QueuedTask {
	out := make([]QueuedTask, 0, c.queue.Len())
	for _, r := range c.requests {
		if r.item.Queued() {
			out = append(out, QueuedTask{
				Labels: r.task.Labels, Selector: r.task.Selector, Urgency: r.item.Urgency,
				Waited: c.now.Sub(r.arrived), NoTarget: r.item.Class.Size() == 0,
			})
		}
	}
	return out
}
