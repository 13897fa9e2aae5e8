package evac

import "time"

const (
	// firstShare is the share of its capacity that a cold target gets at the end of an
	// evacuation: enough for it to warm up by real work.
	firstShare = 0.25
	// maxRecovery bounds the time for which a target that says it is cold gets less than
	// its capacity.
	maxRecovery = 15 * time.Second
)

// Recovery is the return of load to a target after an evacuation that ended at Ended. The
// zero value stands for a target that was not evacuated.
type Recovery struct{ Ended time.Time }

// Share returns the share of its capacity that the target offers now, if it is warm at the
// given time by its own report. It grows evenly, and is 1 for a target that is warm.
func (r Recovery) Share(warmAt, now time.Time) float64 {
	if r.IsOver(now) || !warmAt.After(now) {
		return 1
	}
	end := r.Ended.Add(maxRecovery)
	if warmAt.Before(end) {
		end = warmAt
	}
	return firstShare + (1-firstShare)*float64(now.Sub(r.Ended))/float64(end.Sub(r.Ended))
}

// IsOver reports whether the target offers its whole capacity from now on.
func (r Recovery) IsOver(now time.Time) bool {
	return r.Ended.IsZero() || now.Sub(r.Ended) >= maxRecovery
}
