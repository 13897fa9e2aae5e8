package record

import (
	"slices"

	"cyclamenrelay.example/ledger"
	"cyclamenrelay.example/wire"
)

// JobState returns the state of a job from its record, with the results if answer
// is set and they were kept.
func JobState(rec ledger.Job, answer bool) wire.JobState {
	s := wire.JobState{Key: rec.Key, State: wire.JobOpen, Tasks: rec.Tasks, Owner: rec.Owner.Entry}
	switch {
	case rec.Status == ledger.Open:
		return s
	case rec.Status == ledger.Complete:
		s.State = wire.JobComplete
	case neverRan(rec.Outcomes):
		s.State = wire.JobNotRun
	default:
		s.State = wire.JobFailed
	}
	s.Ended = rec.Tasks
	if !answer {
		return s
	}
	if !rec.AnswerKept {
		s.Reason = "the answer was too large for the ledger, and its entry no longer has it or is gone"
		return s
	}
	if err := wire.UnmarshalValue(rec.Answer, &s.Results); err != nil {
		s.Reason = "cannot decode the recorded answer: " + err.Error()
	}
	return s
}

func neverRan(outcomes []byte) bool {
	return !slices.ContainsFunc(outcomes, func(o byte) bool { return ledger.Status(o) != ledger.NotRun })
}
