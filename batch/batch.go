// Package batch holds what a job of parallel tasks is: its steps, what a task
// needs of a target, and how a run of a task ends.
package batch

import (
	"strconv"
	"time"
)

// Resources are an amount of what a target has room for.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU int64 `cbor:"1,keyasint,omitempty"`
	// Memory is in megabytes.
	Memory int64 `cbor:"2,keyasint,omitempty"`
	// Accelerators is a number of devices.
	Accelerators int64 `cbor:"3,keyasint,omitempty"`
}

// Plus returns the sum.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.Memory + o.Memory, r.Accelerators + o.Accelerators}
}

// Minus returns the difference; parts of it may be negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.Memory - o.Memory, r.Accelerators - o.Accelerators}
}

// Half returns half of each part, rounded down.
func (r Resources) Half() Resources { return Resources{r.CPU / 2, r.Memory / 2, r.Accelerators / 2} }

// Fits reports whether r is within the room in every part.
func (r Resources) Fits(room Resources) bool {
	return r.CPU <= room.CPU && r.Memory <= room.Memory && r.Accelerators <= room.Accelerators
}

// Share returns the largest part of r against the capacity, 0 for none.
func (r Resources) Share(capacity Resources) float64 {
	part := func(a, b int64) float64 {
		if a <= 0 || b <= 0 {
			return 0
		}
		return float64(a) / float64(b)
	}
	return max(part(r.CPU, capacity.CPU), part(r.Memory, capacity.Memory), part(r.Accelerators, capacity.Accelerators))
}

// Step is a part of a job whose tasks run in parallel.
type Step struct {
	// Count is the number of tasks.
	Count int
	// Need is what each task takes of a target.
	Need Resources
	// Estimate is the caller's guess of a task's run time.
	Estimate time.Duration
	// After are the numbers of the steps whose tasks must all be done before.
	After []int
	// Label is one that the target must have, empty for any.
	Label string
	// Rack is the label of the rack where the data is, empty for anywhere.
	Rack string
}

// Job is a submission of steps.
type Job struct {
	// ID is the caller's; a resent job has the same.
	ID string
	// Spec is what targets are told to run.
	Spec  string
	Steps []Step
	// Transient jobs live as long as their caller waits, and are not recorded.
	Transient bool
	// Unsupported names what the job asks for and the system cannot do, empty for nothing.
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

// Chain returns the longest sum of estimates over steps that wait for each other.
func (j Job) Chain(estimate func(Step) time.Duration) time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i, s := range j.Steps {
		for _, a := range s.After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += estimate(s)
		longest = max(longest, ends[i])
	}
	return longest
}

// TaskName returns the name of a task of a job.
func TaskName(job string, step, index int) string {
	return job + ".0." + strconv.Itoa(step) + "." + strconv.Itoa(index)
}
