package record_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/ledger"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/record"
	"cyclamenrelay.example/wire"
)

func TestStateOfARecord(t *testing.T) {
	notRun, failed := byte(ledger.NotRun), byte(ledger.Failed)
	for _, c := range []struct {
		rec  ledger.Job
		want string
	}{
		{ledger.Job{Status: ledger.Open}, wire.JobOpen},
		{ledger.Job{Status: ledger.Complete}, wire.JobComplete},
		{ledger.Job{Status: ledger.Failed, Outcomes: []byte{notRun, failed}}, wire.JobFailed},
		{ledger.Job{Status: ledger.Failed, Outcomes: []byte{notRun, notRun}}, wire.JobNotRun},
	} {
		assert.Equal(t, record.JobState(c.rec, false).State, c.want)
	}
}

func TestAnswerOfARecord(t *testing.T) {
	results := []wire.Result{wire.ResultOf("k/0", model.Complete{Status: 200, Body: []byte("x")})}
	b, err := wire.MarshalValue(results)
	assert.NilError(t, err)
	s := record.JobState(ledger.Job{Status: ledger.Complete, Answer: b, AnswerKept: true}, true)
	assert.DeepEqual(t, s.Results, results)
	s = record.JobState(ledger.Job{Status: ledger.Complete}, true)
	assert.Assert(t, s.Reason != "" && s.Results == nil, "an answer that was not kept must have a reason and no results")
}
