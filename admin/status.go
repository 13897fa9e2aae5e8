package admin

import (
	"fmt"
	"time"

	"cyclamenrelay.example/conf"
)

// Status is one entry's view of the whole deployment.
type Status struct {
	Entry      string `json:"entry"`
	DataCentre string `json:"dataCentre"`
	// Version is the configuration's version, Fresh whether the entry may act by it,
	// and Age how long ago a quorum of keepers confirmed it.
	Version uint64        `json:"version"`
	Fresh   bool          `json:"fresh"`
	Age     conf.Duration `json:"age"`
	Keepers NodeCounts    `json:"keepers"`
	Entries NodeCounts    `json:"entries"`
	Agents  NodeCounts    `json:"agents"`
	Targets TargetCounts  `json:"targets"`
	Queue   QueueCounts   `json:"queue"`
	// Evacuations are the evacuations in force, in the order of the data centres' names.
	Evacuations []Evacuation `json:"evacuations,omitempty"`
	// CertificateEnds is when the entry's own certificate expires.
	CertificateEnds time.Time `json:"certificateEnds"`
	// Problems lists the severe problems first.
	Problems []Problem `json:"problems"`
}

// Evacuation is an evacuated data centre.
type Evacuation struct {
	DataCentre string `json:"dataCentre"`
	// Operator requested the evacuation from Address at Requested, and it has been in force
	// since the configuration's version Version.
	Operator  string    `json:"operator"`
	Address   string    `json:"address,omitempty"`
	Requested time.Time `json:"requested"`
	Version   uint64    `json:"version"`
}

// NodeCounts counts the nodes of a role.
type NodeCounts struct {
	Known int `json:"known"`
	Up    int `json:"up"`
}

// TargetCounts counts targets by state, and their slots.
type TargetCounts struct {
	Up        int `json:"up"`
	Draining  int `json:"draining"`
	Probation int `json:"probation"`
	Lost      int `json:"lost"`
	Slots     int `json:"slots"`
	Free      int `json:"free"`
}

// QueueCounts counts the entry's queued tasks, refused tasks and jobs. Oldest is
// how long the oldest task has been queued.
type QueueCounts struct {
	Tasks     int           `json:"tasks"`
	Oldest    conf.Duration `json:"oldest"`
	Unmatched int           `json:"noTarget"` // tasks that no target matches
	// Refused counts the tasks answered as not run in the last minute.
	Refused int `json:"refused"`
	Jobs    int `json:"jobs"`
}

// Problem is a condition that an operator should look into.
type Problem struct {
	// Severe is whether the problem stops work or puts it at risk.
	Severe bool `json:"severe"`
	// Description describes the problem, Remedy what to do about it.
	Description string `json:"what"`
	Remedy      string `json:"do"`
}

// certificateWarning is how long before its expiry a certificate is reported for renewal.
const certificateWarning = 14 * 24 * time.Hour

// Diagnose returns the problems in the status at the time now, the severe ones first.
func Diagnose(s Status, now time.Time) []Problem {
	var severe, warnings []Problem
	addSevere := func(do, format string, args ...any) {
		severe = append(severe, Problem{Severe: true, Description: fmt.Sprintf(format, args...), Remedy: do})
	}
	addWarning := func(do, format string, args ...any) {
		warnings = append(warnings, Problem{Description: fmt.Sprintf(format, args...), Remedy: do})
	}
	if !s.Fresh {
		addSevere("check the keepers and the network to them", "no fresh configuration at %s for %v: new work is refused as notRun", s.Entry, s.Age)
	}
	diagnoseKeepers(s.Keepers, addSevere, addWarning)
	diagnoseTargets(s, addSevere, addWarning)
	if n := s.Entries.Known - s.Entries.Up; n > 0 {
		addWarning("restart them or take them out of the load balancer", "%d of %d entries are down", n, s.Entries.Known)
	}
	if s.Queue.Refused > 0 {
		addWarning("check relctl rules list and relctl targets list", "%d tasks were refused in the last minute", s.Queue.Refused)
	}
	switch left := s.CertificateEnds.Sub(now); {
	case s.CertificateEnds.IsZero():
	case left <= 0:
		addSevere("relctl keys renew, then SIGHUP", "the certificate of %s has expired", s.Entry)
	case left < certificateWarning:
		addWarning("relctl keys renew, then SIGHUP", "the certificate of %s expires at %s", s.Entry, s.CertificateEnds.Format(time.RFC3339))
	}
	return append(severe, warnings...)
}

// addProblem adds a problem: what to do about it, and its description as a format with arguments.
type addProblem func(do, format string, args ...any)

func diagnoseKeepers(k NodeCounts, addSevere, addWarning addProblem) {
	const remedy = "restart the lost keeper, with an empty data folder if its disk is lost; if its host is gone, relctl members replace"
	lost := k.Known - k.Up
	switch {
	case k.Known == 0:
		addSevere("check join.addresses and the network", "no keeper is known")
	case k.Up <= k.Known/2:
		addSevere(remedy, "%d of %d keepers are down: no majority, no change and no job is accepted", lost, k.Known)
	case lost > 0 && k.Up-1 <= k.Known/2:
		addSevere(remedy, "%d of %d keepers are down: one more loss ends the majority", lost, k.Known)
	case lost > 0:
		addWarning(remedy, "%d of %d keepers are down", lost, k.Known)
	}
}

func diagnoseTargets(s Status, addSevere, addWarning addProblem) {
	t := s.Targets
	if t.Up+t.Probation == 0 {
		addSevere("relctl drains list; check the agents", "no target takes work (%d draining, %d lost)", t.Draining, t.Lost)
	}
	if t.Lost > 0 {
		addWarning("check the agents' hosts", "%d targets are lost", t.Lost)
	}
	if t.Probation > 0 {
		addWarning("relctl targets list --state probation", "%d targets are on probation because their work fails", t.Probation)
	}
	if s.Queue.Unmatched > 0 {
		addWarning("relctl select --work; correct the rules or labels", "%d queued tasks match no target", s.Queue.Unmatched)
	}
	if t.Slots > 0 && t.Free == 0 && s.Queue.Tasks > 0 {
		addWarning("check the weights with relctl rules list", "all %d slots are in use and %d tasks are queued, the oldest for %v",
			t.Slots, s.Queue.Tasks, s.Queue.Oldest)
	}
}
