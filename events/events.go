// Package events finds what the processes' logs say of one request: its own
// lines, and what happened meanwhile on the nodes that took part.
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
	// timeFormat is the format of the logs' times.
	timeFormat = "2006-01-02T15:04:05.000Z0700"
	// maxLine bounds a line, in bytes; longer ones end the reading of their source.
	maxLine = 1 << 20
)

// Event is one line of a log.
type Event struct {
	// At is by the clock of the node that wrote the line.
	At     time.Time
	Node   string
	Level  string
	Fields map[string]string
	// Text is the line from its time on, without what a collector put before it.
	Text string
}

// Read reads the lines of a log. Lines that are not key=value pairs with a time
// are passed over and counted. The error is of the source.
func Read(r io.Reader) (list []Event, unread int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		if len(bytes.TrimSpace(s.Bytes())) == 0 {
			continue
		}
		e, ok := parse(s.Text())
		if !ok {
			unread++
			continue
		}
		list = append(list, e)
	}
	return list, unread, trace.Wrap(s.Err())
}

// ReadFiles reads the logs of the files, and tells of each with lines that were
// passed over. The error is of the first file that cannot be read.
func ReadFiles(names []string, passedOver func(name string, lines int)) (all []Event, err error) {
	for _, name := range names {
		f, err := os.Open(name)
		if err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		list, unread, err := Read(f)
		_ = f.Close() // was only read
		if err != nil {
			return nil, trace.Wrap(err, "reading %s", name)
		}
		if unread > 0 {
			passedOver(name, unread)
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

// concerns reports whether the event is of the request or one of its tasks,
// whose names begin with the request's ID.
func (e Event) concerns(id string) bool {
	for _, v := range e.Fields {
		if v == id || strings.HasPrefix(v, id+".") {
			return true
		}
	}
	return false
}

// Story is what is known of one request, in the order of time.
type Story struct {
	// Lines are the request's own.
	Lines []Event
	// Around are the warnings and changes of state on the nodes that took part,
	// from a time before the first line to one after the last.
	Around []Event
}

// requestFields mark events of single requests: those of others explain nothing.
var requestFields = []string{"job", "task"}

// Of returns the story of a request. Around looks as far before and after the
// request as margin says; clocks of nodes may differ, so it should not be 0.
func Of(id string, all []Event, margin time.Duration) Story {
	var s Story
	nodes := map[string]bool{}
	for _, e := range all {
		if !e.concerns(id) {
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
	sorted(s.Lines)
	from, to := s.Lines[0].At.Add(-margin), s.Lines[len(s.Lines)-1].At.Add(margin)
	for _, e := range all {
		if nodes[e.Node] && !e.At.Before(from) && !e.At.After(to) && !e.ofRequest() {
			s.Around = append(s.Around, e)
		}
	}
	sorted(s.Around)
	return s
}

func (e Event) ofRequest() bool {
	return slices.ContainsFunc(requestFields, func(k string) bool { return e.Fields[k] != "" })
}

func sorted(list []Event) {
	slices.SortStableFunc(list, func(a, b Event) int { return a.At.Compare(b.At) })
}

// Write writes the story as text, the request's own lines first.
func (s Story) Write(w io.Writer) error {
	lines := func(title string, list []Event) string {
		for _, e := range list {
			title += "\n  " + e.Text
		}
		return title + "\n"
	}
	text := lines("the request", s.Lines)
	if len(s.Around) > 0 {
		text += lines("\nmeanwhile on its nodes", s.Around)
	}
	_, err := io.WriteString(w, text)
	return trace.ConvertSystemError(err)
}
