// Package events extracts the events of one request from the processes' logs: its
// own lines, and other events of the participating nodes at about the same time.
package events

import (
	"bufio"
	"bytes"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/gravitational/trace"
)

const (
	// timeFormat is the format of the time field in logs.
	timeFormat = "2006-01-02T15:04:05.000Z0700"
	// maxLineBytes is the maximum length of a line in bytes; a longer one ends the reading
	// of its log with an error.
	maxLineBytes = 1 << 20
)

// Event is one parsed line of a log.
type Event struct {
	// At is the time of the event by the clock of the node that wrote it.
	At     time.Time
	Node   string
	Level  string
	Fields map[string]string
	// Text is the line from its time field on, without the prefix of a log collector.
	Text string
}

// Read parses the lines of a log. Lines that are not key=value pairs with a time are
// skipped and counted. The error is that of reading r.
func Read(r io.Reader) (list []Event, skipped int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		if len(bytes.TrimSpace(s.Bytes())) == 0 {
			continue
		}
		e, ok := parse(s.Text())
		if !ok {
			skipped++
			continue
		}
		list = append(list, e)
	}
	return list, skipped, trace.Wrap(s.Err())
}

// ReadFiles parses the logs in the files, and calls onSkipped for each file with
// skipped lines. The error is that of the first file that cannot be read.
func ReadFiles(names []string, onSkipped func(name string, lines int)) (all []Event, err error) {
	for _, name := range names {
		f, err := os.Open(name)
		if err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		list, skipped, err := Read(f)
		_ = f.Close() // was only read
		if err != nil {
			return nil, trace.Wrap(err, "reading %s", name)
		}
		if skipped > 0 {
			onSkipped(name, skipped)
		}
		all = append(all, list...)
	}
	return all, nil
}

func parse(line string) (Event, bool) {
	i := strings.Index(line, "time=")
	if i < 0 || i > 0 && line[i-1] != ' ' {
		return Event{}, false
	}
	e := Event{Text: line[i:], Fields: map[string]string{}}
	d := logfmt.NewDecoder(strings.NewReader(e.Text))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			e.Fields[string(d.Key())] = string(d.Value())
		}
	}
	if d.Err() != nil {
		return Event{}, false
	}
	at, err := time.Parse(timeFormat, e.Fields["time"])
	if err != nil {
		return Event{}, false
	}
	e.At, e.Node, e.Level = at, e.Fields["node"], e.Fields["level"]
	return e, true
}

// belongsTo reports whether the event belongs to the request or one of its tasks,
// whose names begin with the request's ID and a dot.
func (e Event) belongsTo(id string) bool {
	for _, v := range e.Fields {
		if v == id || strings.HasPrefix(v, id+".") {
			return true
		}
	}
	return false
}

// RequestEvents is the events of one request, in order of time.
type RequestEvents struct {
	// Lines are the events of the request itself.
	Lines []Event
	// Around are the events of the participating nodes that belong to no single
	// request, such as warnings and state changes, from the margin before the first
	// line to the margin after the last.
	Around []Event
}

// requestFields are the fields that mark an event of a single request. Events of
// other requests are left out because they explain nothing.
var requestFields = []string{"job", "task"}

// ForRequest returns the events of the request with the ID. Around extends by margin before
// and after the request; it should not be 0, because the nodes' clocks may differ.
func ForRequest(id string, all []Event, margin time.Duration) RequestEvents {
	var s RequestEvents
	nodes := map[string]bool{}
	for _, e := range all {
		if !e.belongsTo(id) {
			continue
		}
		s.Lines = append(s.Lines, e)
		nodes[e.Node] = true
		if a := e.Fields["agent"]; a != "" {
			nodes[a] = true
		}
	}
	if len(s.Lines) == 0 {
		return s
	}
	sortByTime(s.Lines)
	from, to := s.Lines[0].At.Add(-margin), s.Lines[len(s.Lines)-1].At.Add(margin)
	for _, e := range all {
		if nodes[e.Node] && !e.At.Before(from) && !e.At.After(to) && !e.hasRequest() {
			s.Around = append(s.Around, e)
		}
	}
	sortByTime(s.Around)
	return s
}

func (e Event) hasRequest() bool {
	return slices.ContainsFunc(requestFields, func(k string) bool { return e.Fields[k] != "" })
}

func sortByTime(list []Event) {
	slices.SortStableFunc(list, func(a, b Event) int { return a.At.Compare(b.At) })
}

// Write writes the events as text, the request's own lines first.
func (s RequestEvents) Write(w io.Writer) error {
	section := func(title string, list []Event) string {
		for _, e := range list {
			title += "\n  " + e.Text
		}
		return title + "\n"
	}
	text := section("events of the request", s.Lines)
	if len(s.Around) > 0 {
		text += section("\nother events of its nodes at that time", s.Around)
	}
	_, err := io.WriteString(w, text)
	return trace.ConvertSystemError(err)
}
