package events

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
)

// JobStats counts the jobs of one group by their outcome.
type JobStats struct {
	// Group is the name of a queue or node, a width in tasks, a second, or a reason.
	Group string `json:"group"`
	Jobs  int    `json:"jobs"`
	// Late counts complete jobs that took longer than their objective.
	Late     int `json:"late"`
	Refused  int `json:"refused"`
	Failed   int `json:"failed"`
	Broken   int `json:"broken"`
	Complete int `json:"complete"`
	// Waited, Ran and Other are the mean times of complete jobs: the wait at the agent and the
	// run time of the task that ended last, and the rest of the job's time.
	Waited time.Duration `json:"waited"`
	Ran    time.Duration `json:"ran"`
	Other  time.Duration `json:"other"`
}

// JobSummary groups the jobs that the logs of entries show as ended.
type JobSummary struct {
	Queues  []JobStats `json:"queues"`
	Widths  []JobStats `json:"widths"`
	Nodes   []JobStats `json:"nodes"`
	Seconds []JobStats `json:"seconds"`
	// Reasons groups the jobs that were not complete by the reason that was logged.
	Reasons []JobStats `json:"reasons"`
}

// widths are the upper bounds of the groups of jobs by their number of tasks.
var widths = []int{1, 2, 4, 8, 16, 32}

// Summarize groups the jobs in the events of entries.
func Summarize(all []Event) JobSummary {
	queues, byWidth, nodes, seconds, reasons := map[string]*JobStats{}, map[string]*JobStats{}, map[string]*JobStats{}, map[string]*JobStats{}, map[string]*JobStats{}
	for _, e := range all {
		if e.Fields["event"] != "job ended" {
			continue
		}
		queue := e.Fields["queue"]
		add(queues, queue, e)
		add(byWidth, queue+" "+widthGroup(e.Fields["tasks"]), e)
		add(nodes, e.Node, e)
		add(seconds, e.At.Format("15:04:05"), e)
		if e.Fields["outcome"] != "complete" {
			add(reasons, e.Fields["outcome"]+": "+e.Fields["reason"], e)
		}
	}
	return JobSummary{sorted(queues), sorted(byWidth), sorted(nodes), sorted(seconds), sorted(reasons)}
}

// widthGroup returns the name of the group for a number of tasks.
func widthGroup(tasks string) string {
	n, _ := strconv.Atoi(tasks) // 0 for a line without the field
	for _, w := range widths {
		if n <= w {
			return fmt.Sprintf("up to %2d", w)
		}
	}
	return fmt.Sprintf("over %2d", widths[len(widths)-1])
}

// add counts the job that ended with the event in its group.
func add(groups map[string]*JobStats, group string, e Event) {
	s := groups[group]
	if s == nil {
		s = &JobStats{Group: group}
		groups[group] = s
	}
	s.Jobs++
	switch e.Fields["outcome"] {
	case "complete":
		s.Complete++
		took, waited, ran := e.seconds("took"), e.seconds("lastWaited"), e.seconds("lastRan")
		if took > e.seconds("objective") {
			s.Late++
		}
		// The sums become means in sorted.
		s.Waited += waited
		s.Ran += ran
		s.Other += took - waited - ran
	case "refused":
		s.Refused++
	case "failed":
		s.Failed++
	default:
		s.Broken++
	}
}

// seconds returns a field that holds a number of seconds, 0 when it is missing.
func (e Event) seconds(field string) time.Duration {
	x, _ := strconv.ParseFloat(e.Fields[field], 64)
	return time.Duration(x * float64(time.Second))
}

// sorted returns the groups by name, with mean times.
func sorted(groups map[string]*JobStats) []JobStats {
	var out []JobStats
	for _, s := range groups {
		if n := time.Duration(s.Complete); n > 0 {
			s.Waited, s.Ran, s.Other = s.Waited/n, s.Ran/n, s.Other/n
		}
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b JobStats) int { return cmp.Compare(a.Group, b.Group) })
	return out
}

// Write writes the summary as tables.
func (s JobSummary) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, part := range []struct {
		title string
		rows  []JobStats
	}{{"queue", s.Queues}, {"width", s.Widths}, {"entry", s.Nodes}, {"second", s.Seconds}, {"not complete", s.Reasons}} {
		_, _ = fmt.Fprintf(t, "%s\tjobs\tcomplete\tlate\trefused\tfailed\tbroken\twaited\tran\tother\t\n", part.title)
		for _, r := range part.rows {
			_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%v\t%v\t%v\t\n", r.Group, r.Jobs, r.Complete, r.Late, r.Refused, r.Failed, r.Broken,
				r.Waited.Round(time.Millisecond), r.Ran.Round(time.Millisecond), r.Other.Round(time.Millisecond))
		}
		_, _ = fmt.Fprintln(t)
	}
	return trace.ConvertSystemError(t.Flush()) // errors of the lines before appear here too
}
