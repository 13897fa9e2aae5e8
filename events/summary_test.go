package events_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/events"
)

const jobsLog = `
time=2026-01-31T12:10:40.500Z event="job ended" node=e1 job=a queue=q tasks=8 outcome=complete took=0.4 objective=0.3 lastWaited=0.1 lastRan=0.25
time=2026-01-31T12:10:40.700Z event="job ended" node=e1 job=b queue=q tasks=7 outcome=complete took=0.2 objective=0.3 lastWaited=0 lastRan=0.15
time=2026-01-31T12:10:41.700Z event="job ended" node=e2 job=c queue=r tasks=40 outcome=refused reason="it would end too late" took=0.001
time=2026-01-31T12:10:41.800Z event="run not done" node=e2 task=c.0.0.0
`

func TestSummaryOfJobs(t *testing.T) {
	all, _ := readLogs(t, jobsLog)
	s := events.Summarize(all)
	assert.DeepEqual(t, s.Queues, []events.JobStats{
		{Group: "q", Jobs: 2, Late: 1, Complete: 2, Waited: 50 * time.Millisecond, Ran: 200 * time.Millisecond, Other: 50 * time.Millisecond},
		{Group: "r", Jobs: 1, Refused: 1},
	})
	assert.Equal(t, s.Widths[0].Group, "q up to  8")
	assert.Equal(t, s.Widths[1].Group, "r over 32")
	assert.Equal(t, len(s.Nodes), 2)
	assert.Equal(t, len(s.Seconds), 2)
	assert.Equal(t, s.Reasons[0].Group, "refused: it would end too late")
	var b strings.Builder
	assert.NilError(t, s.Write(&b))
	assert.Assert(t, strings.Contains(b.String(), "it would end too late"), b.String())
}
