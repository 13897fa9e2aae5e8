// Package cancel remembers which jobs were cancelled, and divides the entries that have to
// know of it. It does no I/O.
package cancel

import "time"

const (
	// TTL is how long a cancelled job is remembered. A copy of it that comes later is
	// not recognised.
	TTL = time.Minute
	// MaxJobs bounds the remembered jobs. Their IDs take about 7 MB.
	MaxJobs = 1 << 16
	// Fanout is the largest number of entries that one entry sends a cancel to.
	Fanout = 16
	// intervalPerEntry times the number of entries is the shortest interval between
	// two rounds of messages of one entry. So, an entry gets at most 1,000 of them a second
	// if all others send as many as they may. With 2,000 entries a cancel waits up to 2 s.
	intervalPerEntry = time.Millisecond
)

// Jobs are the cancelled jobs. The zero value has none.
type Jobs struct {
	until map[string]time.Time // by job ID
	added []job                // oldest first
}

type job struct {
	id    string
	until time.Time
}

// Add remembers a job until TTL after now. It reports whether there was room for it.
func (j *Jobs) Add(id string, now time.Time) bool {
	j.expire(now)
	if len(j.added) >= MaxJobs {
		return false
	}
	if j.until == nil {
		j.until = map[string]time.Time{}
	}
	until := now.Add(TTL)
	j.until[id] = until
	j.added = append(j.added, job{id, until})
	return true
}

// Has reports whether the job was cancelled.
func (j *Jobs) Has(id string, now time.Time) bool {
	until, ok := j.until[id]
	return ok && now.Before(until)
}

// expire forgets the jobs whose time has passed.
func (j *Jobs) expire(now time.Time) {
	n := 0
	for n < len(j.added) && !now.Before(j.added[n].until) {
		if a := j.added[n]; j.until[a.id].Equal(a.until) {
			delete(j.until, a.id)
		}
		n++
	}
	j.added = j.added[n:]
}

// Interval returns the shortest interval between two rounds of messages of one entry.
func Interval(entries int) time.Duration { return time.Duration(entries) * intervalPerEntry }

// Split divides the entries into at most Fanout parts of similar size. The first entry of
// each part passes a cancel on to the others of its part.
func Split[T any](entries []T) [][]T {
	parts := make([][]T, 0, Fanout)
	for n := min(Fanout, len(entries)); n > 0; n-- {
		size := (len(entries) + n - 1) / n
		parts = append(parts, entries[:size])
		entries = entries[size:]
	}
	return parts
}
