package peers

import (
	"time"

	"github.com/gravitational/trace"
)

const (
	// MaxLinks is the number of entries that one agent has links with at most.
	MaxLinks = 16
	// HomeEntries is the number of entries that an agent reports to without being asked.
	// With more of them, the entries know less of each other's placements on a target and
	// choose the same ones (TestFewEntriesShareATarget in package assign).
	HomeEntries = 4
	// reportSpacing times the number of links is the minimum interval between two reports
	// to one entry, so that the reports of an agent do not grow with its links.
	reportSpacing = 30 * time.Millisecond
)

// Timing holds the intervals that depend on each other between agents and entries. An
// agent and an entry derive it from the same lease.
type Timing struct {
	// Lease is how long an entry's runs may go on after the agent has sent the last
	// report that the entry has answered. No entry may give up a run for the agent's
	// silence before that time.
	Lease time.Duration
	// BusyInterval is the greatest interval between two reports to an entry that has runs
	// on the target, whose lease they renew. IdleInterval is the interval otherwise.
	BusyInterval, IdleInterval time.Duration
	// ReportTimeout bounds the wait for the answer to a report.
	ReportTimeout time.Duration
	// MaxReportAge is the age of a report above which its target gets no new work.
	MaxReportAge time.Duration
}

// NewTiming returns the intervals for a lease: a lease lasts while one of two reports is
// lost, and a target gets work between two reports that come in time.
func NewTiming(lease time.Duration) Timing {
	return Timing{
		Lease: lease, BusyInterval: lease / 4, IdleInterval: lease / 2, ReportTimeout: lease / 2, MaxReportAge: lease * 4 / 5,
	}
}

// Pause returns the minimum interval between two reports to one entry, for an agent with
// that many links.
func (t Timing) Pause(links int) time.Duration {
	return min(reportSpacing*time.Duration(max(links, 1)), t.BusyInterval)
}

// Validate checks that the intervals fit each other. The error is a trace.BadParameter.
func (t Timing) Validate() error {
	switch {
	case t.Lease <= 0 || t.BusyInterval <= 0 || t.IdleInterval <= 0 || t.ReportTimeout <= 0:
		return trace.BadParameter("the intervals of reports must be positive: %+v", t)
	case t.MaxReportAge > t.Lease:
		return trace.BadParameter("a target would get work for %v after its last report, longer than the entry's lease of %v", t.MaxReportAge, t.Lease)
	case t.IdleInterval >= t.MaxReportAge:
		return trace.BadParameter("reports may be %v apart, but a target gets no work %v after the last one", t.IdleInterval, t.MaxReportAge)
	case t.BusyInterval+t.ReportTimeout+t.Pause(MaxLinks) > t.Lease:
		return trace.BadParameter("one lost report, noticed after %v, would end the entry's lease of %v", t.BusyInterval+t.ReportTimeout, t.Lease)
	}
	return nil
}
