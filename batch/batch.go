// Package batch defines jobs of parallel tasks: their steps, the resources that a task
// needs on a target, and how a run of a task can end.
package batch

import (
	"strconv"
	"time"
)

// Resources are amounts of the resources of a target: a capacity, or a part of it.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU int64 `cbor:"1,keyasint,omitempty"`
	// Memory is in megabytes.
	Memory int64 `cbor:"2,keyasint,omitempty"`
	// Accelerators is the number of accelerator devices.
	Accelerators int64 `cbor:"3,keyasint,omitempty"`
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.Memory + o.Memory, r.Accelerators + o.Accelerators}
}

// Minus returns r less o; the amounts may be negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.Memory - o.Memory, r.Accelerators - o.Accelerators}
}

// Half returns half of each amount, rounded toward zero.
func (r Resources) Half() Resources { return Resources{r.CPU / 2, r.Memory / 2, r.Accelerators / 2} }

// Fits reports whether each amount of r is at most that of available.
func (r Resources) Fits(available Resources) bool {
	return r.CPU <= available.CPU && r.Memory <= available.Memory && r.Accelerators <= available.Accelerators
}

// Share returns the largest ratio of an amount of r to that of the capacity. Amounts of
// 0 or less on either side count as a ratio of 0.
func (r Resources) Share(capacity Resources) float64 {
	ratio := func(a, b int64) float64 {
		if a <= 0 || b <= 0 {
			return 0
		}
		return float64(a) / float64(b)
	}
	return max(ratio(r.CPU, capacity.CPU), ratio(r.Memory, capacity.Memory), ratio(r.Accelerators, capacity.Accelerators))
}

// Step is a part of a job. Its tasks run in parallel.
type Step struct {
	// Count is the number of tasks.
	Count int
	// Need is the amount of resources that each task uses on its target.
	Need Resources
	// Estimate is the caller's estimate of a task's run time.
	Estimate time.Duration
	// After holds the indices of the steps that must be done before this step starts.
	After []int
	// Label is a label that the target must have, empty for any target.
	Label string
	// Rack is the label of the rack that holds the data, empty for any rack.
	Rack string
}

// Job is a submission of one or more steps.
type Job struct {
	// ID is chosen by the caller; a job that is sent again has the same ID.
	ID string
	// Spec tells the target what to run.
	Spec  string
	Steps []Step
	// Transient jobs exist only while their caller waits, and are not recorded.
	Transient bool
	// Unsupported names a feature that the job requests and the system lacks, empty for
	// none.
	Unsupported string
}

// Tasks returns the number of tasks.
func (j Job) Tasks() int {
	n := 0
	for _, s := range j.Steps {
		n += s.Count
	}
	return n
}

// CriticalPath returns the length of the critical path: the longest sum of estimates over steps
// that depend on each other. Steps must come after those that they depend on.
func (j Job) CriticalPath(estimate func(Step) time.Duration) time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i, s := range j.Steps {
		for _, dep := range s.After {
			ends[i] = max(ends[i], ends[dep])
		}
		ends[i] += estimate(s)
		longest = max(longest, ends[i])
	}
	return longest
}

// TaskName returns the name of a task, given the indices of its step and of the task in
// the step.
func TaskName(job string, step, index int) string {
	return job + ".0." + strconv.Itoa(step) + "." + strconv.Itoa(index)
}
