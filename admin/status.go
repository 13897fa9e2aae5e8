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
	// Version is the configuration's version, Fresh whether it may be acted on
	// and Age how long ago a quorum confirmed it.
	Version uint64        `json:"version"`
	Fresh   bool          `json:"fresh"`
	Age     conf.Duration `json:"age"`
	Keepers NodeCounts    `json:"keepers"`
	Entries NodeCounts    `json:"entries"`
	Agents  NodeCounts    `json:"agents"`
	Targets TargetCounts  `json:"targets"`
	Queue   QueueCounts   `json:"queue"`
	// CertificateEnds is when the entry's own certificate expires.
	CertificateEnds time.Time `json:"certificateEnds"`
	// Problems are the most urgent first.
	Problems []Problem `json:"problems"`
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

// QueueCounts counts the work of the entry.
type QueueCounts struct {
	Tasks    int           `json:"tasks"`
	Oldest   conf.Duration `json:"oldest"`
	NoTarget int           `json:"noTarget"` // tasks that no target matches
	// Refused counts the tasks answered as not run in the last minute.
	Refused int `json:"refused"`
	Jobs    int `json:"jobs"`
}

// Problem is one thing that an operator should look at.
type Problem struct {
	// Severe problems stop work or put it in danger.
	Severe bool `json:"severe"`
	// What is wrong and Do what to do about it.
	What string `json:"what"`
	Do   string `json:"do"`
}

// certificateWarning is how long before its end a certificate should be renewed.
const certificateWarning = 14 * 24 * time.Hour

// Diagnose returns what is wrong in the status at the time now, the severe first.
func Diagnose(s Status, now time.Time) []Problem {
	var severe, other []Problem
	bad := func(do, format string, args ...any) {
		severe = append(severe, Problem{Severe: true, What: fmt.Sprintf(format, args...), Do: do})
	}
	warn := func(do, format string, args ...any) {
		other = append(other, Problem{What: fmt.Sprintf(format, args...), Do: do})
	}
	if !s.Fresh {
		bad("check the keepers and the network to them", "no fresh configuration at %s for %v: new work is refused as notRun", s.Entry, s.Age)
	}
	diagnoseKeepers(s.Keepers, bad, warn)
	diagnoseTargets(s, bad, warn)
	if n := s.Entries.Known - s.Entries.Up; n > 0 {
		warn("start them again or take them from the balancer", "%d of %d entries are down", n, s.Entries.Known)
	}
	if s.Queue.Refused > 0 {
		warn("look at rules list and targets list", "%d tasks were refused in the last minute", s.Queue.Refused)
	}
	switch left := s.CertificateEnds.Sub(now); {
	case s.CertificateEnds.IsZero():
	case left <= 0:
		bad("relctl keys renew, then SIGHUP", "the certificate of %s has expired", s.Entry)
	case left < certificateWarning:
		warn("relctl keys renew, then SIGHUP", "the certificate of %s expires at %s", s.Entry, s.CertificateEnds.Format(time.RFC3339))
	}
	return append(severe, other...)
}

type report func(do, format string, args ...any)

func diagnoseKeepers(k NodeCounts, bad, warn report) {
	const repair = "start the lost keeper again, with an empty data folder if its disk is lost; if its host is gone, relctl members replace"
	lost := k.Known - k.Up
	switch {
	case k.Known == 0:
		bad("check join.addresses and the network", "no keeper is known")
	case k.Up <= k.Known/2:
		bad(repair, "%d of %d keepers are down: no majority, no change and no job is accepted", lost, k.Known)
	case lost > 0 && k.Up-1 <= k.Known/2:
		bad(repair, "%d of %d keepers are down: one more loss ends the majority", lost, k.Known)
	case lost > 0:
		warn(repair, "%d of %d keepers are down", lost, k.Known)
	}
}

func diagnoseTargets(s Status, bad, warn report) {
	t := s.Targets
	if t.Up+t.Probation == 0 {
		bad("relctl drains list; check the agents", "no target takes work (%d draining, %d lost)", t.Draining, t.Lost)
	}
	if t.Lost > 0 {
		warn("check the agents' hosts", "%d targets are lost", t.Lost)
	}
	if t.Probation > 0 {
		warn("relctl targets list --state probation", "%d targets fail what they start and are on probation", t.Probation)
	}
	if s.Queue.NoTarget > 0 {
		warn("relctl select --work; correct the rules or labels", "%d queued tasks match no target", s.Queue.NoTarget)
	}
	if t.Slots > 0 && t.Free == 0 && s.Queue.Tasks > 0 {
		warn("look at the weights by relctl rules list", "all %d slots are taken and %d tasks wait, the oldest for %v",
			t.Slots, s.Queue.Tasks, s.Queue.Oldest)
	}
}
