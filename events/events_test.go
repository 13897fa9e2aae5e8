package events_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/fs"

	"cyclamenrelay.example/events"
)

const entryLog = `
  0.1 frontend-1 time=2026-01-31T12:10:40.500Z level=info event="job ended" node=10.1.0.1 job=aa11 queue=q outcome=broken reason="the caller left" took=0.4
time=2026-01-31T12:10:40.300Z level=info event="run not done" node=10.1.0.1 task=aa11.0.0.1 run=1 agent=10.2.0.9 end=stopped
time=2026-01-31T12:10:40.310Z level=info event="run not done" node=10.1.0.1 task=aa112.0.0.1 run=1 agent=10.2.0.8 end=stopped
time=2026-01-31T12:10:39.900Z level=info event="configuration in force" node=10.1.0.1 number=7
time=2026-01-31T12:09:00.000Z level=info event=starting node=10.1.0.1
panic: not a line of ours
time=yesterday node=10.1.0.1 job=aa11
`

const agentLog = `
time=2026-01-31T12:10:40.290Z level=warn event="target lost" node=10.2.0.9 target=i-7
time=2026-01-31T12:10:40.295Z level=warn event="start unanswered" node=10.2.0.9 task=bb22.0.0.1
time=2026-01-31T12:10:40.295Z level=warn event="target lost" node=10.2.0.8 target=i-8
`

func readLogs(t *testing.T, logs ...string) (all []events.Event, skipped int) {
	for _, l := range logs {
		list, n, err := events.Read(strings.NewReader(l))
		assert.NilError(t, err)
		all, skipped = append(all, list...), skipped+n
	}
	return all, skipped
}

func nodesAndEvents(list []events.Event) string {
	var out []string
	for _, e := range list {
		out = append(out, e.Node+" "+e.Fields["event"])
	}
	return strings.Join(out, ", ")
}

func TestEventsOfARequest(t *testing.T) {
	all, skipped := readLogs(t, entryLog, agentLog)
	assert.Equal(t, skipped, 2)
	s := events.ForRequest("aa11", all, 2*time.Second)
	assert.Equal(t, nodesAndEvents(s.Lines), "10.1.0.1 run not done, 10.1.0.1 job ended")
	assert.Equal(t, nodesAndEvents(s.Around), "10.1.0.1 configuration in force, 10.2.0.9 target lost")
	assert.Assert(t, strings.HasPrefix(s.Lines[1].Text, "time="), "the log collector's prefix was not removed: %s", s.Lines[1].Text)
	assert.Equal(t, len(events.ForRequest("cc33", all, time.Second).Lines), 0)
}

func TestTooLongLineIsAnError(t *testing.T) {
	_, _, err := events.Read(strings.NewReader("time=" + strings.Repeat("x", 2<<20)))
	assert.Assert(t, err != nil)
}

func TestReadFilesAndWrite(t *testing.T) {
	dir := fs.NewDir(t, "logs", fs.WithFile("entry.log", entryLog), fs.WithFile("agent.log", agentLog))
	skipped := map[string]int{}
	all, err := events.ReadFiles([]string{dir.Join("agent.log"), dir.Join("entry.log")}, func(name string, n int) { skipped[name] = n })
	assert.NilError(t, err)
	assert.DeepEqual(t, skipped, map[string]int{dir.Join("entry.log"): 2})
	var b strings.Builder
	assert.NilError(t, events.ForRequest("aa11", all, 2*time.Second).Write(&b))
	assert.Assert(t, strings.Index(b.String(), "job ended") < strings.Index(b.String(), "target lost"), b.String())
	_, err = events.ReadFiles([]string{dir.Join("none.log")}, nil)
	assert.Assert(t, trace.IsNotFound(err), "%v", err)
}

func FuzzRead(f *testing.F) {
	f.Add(entryLog)
	f.Add("time=\"")
	f.Fuzz(func(t *testing.T, text string) {
		list, _, err := events.Read(strings.NewReader(text))
		if err != nil {
			return
		}
		for _, e := range list {
			assert.Assert(t, !e.At.IsZero() || e.Fields["time"] != "", "%q", e.Text)
		}
	})
}

func ExampleForRequest() {
	list, _, err := events.Read(strings.NewReader(entryLog))
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, e := range events.ForRequest("aa11", list, time.Second).Lines {
		fmt.Printf("%s: %s\n", e.Fields["event"], e.Fields["end"]+e.Fields["outcome"])
	}
	// Output:
	// run not done: stopped
	// job ended: broken
}
